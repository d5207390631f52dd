//go:build uncontrolled

package flooder

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/jackc/pgx/v5"
)

// postgresObjects is the published configuration. The crowd uses the open route, so
// that it needs no key; the ordinary clients use the other one.
const postgresObjects = `[
  {"kind": "limit", "name": "usual", "rate": 100000, "burst": 100000, "max_queued": 10000, "max_connections": 10000},
  {"kind": "customer", "name": "ordinary", "limit": "usual"},
  {"kind": "customer", "name": "crowd", "limit": "usual"},
  {"kind": "key", "name": "k1", "customer": "ordinary", "verifier": "SCRAM-SHA-256$4096:QF+nwYyuhCJ/N0gjdmyj+w==$9MvRle0AaJ7sIanmxMFc2o8wb8ArEX1ae/ePpionzEM=:wmStQCpvVI/5N0vnzacLKFIrYYU1sigtJSCzxFc2hbA="},
  {"kind": "data_centre", "name": "dc1", "region": "r1"},
  {"kind": "service", "name": "ledger", "endpoint_user": "proxy", "endpoint_database": "ledger"},
  {"kind": "route", "name": "main", "service": "ledger", "customers": ["ordinary"]},
  {"kind": "route", "name": "open", "service": "ledger", "open_as": "crowd"},
  {"kind": "database", "name": "ledger-1", "service": "ledger", "data_centre": "dc1", "address": %q, "slots": 5, "connections": 30}
]`

// A postgresHost is a host for PostgreSQL clients, "endiveturn serve", with the
// stand-ins of the store and of a database group.
type postgresHost struct {
	*process
	client, peer, http string
}

func startPostgresHost(t *testing.T) *postgresHost {
	t.Helper()
	addresses := reserveAddresses(t, 5)
	store, database := addresses[0], addresses[1]
	h := &postgresHost{client: addresses[2], peer: addresses[3], http: addresses[4]}
	group := writeJSON(t, "group.json", map[string]any{
		"service": "ledger", "user": "proxy", "password": "endpoint-password",
		"members": []map[string]any{{"name": "ledger-1", "data_centre": "dc1", "address": database, "slots": 5, "connections": 30}},
	})
	startProcess(t, "store", nil, "standin", "store", "--address", store)
	startProcess(t, "group", nil, "standin", "group", group)
	objects := t.TempDir()
	if err := os.WriteFile(filepath.Join(objects, "all.json"), fmt.Appendf(nil, postgresObjects, database), 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "publication", func() error {
		return exec.CommandContext(t.Context(), program, "publish", objects, "--store", store).Run()
	})
	settings := writeJSON(t, "settings.json", postgresSettings(map[string]any{
		"host": "h1", "data_centre": "dc1", "caller_address": h.client, "peer_address": h.peer, "http_address": h.http,
		"store_addresses": []string{store}, "endpoint_password": "endpoint-password", "admin_password": "endpoint-password",
	}))
	h.process = startProcess(t, "host", addresses[2:], "serve", settings)
	h.awaitServing(t)
	return h
}

// postgresSettings adds the settings of the machine's limits. That of descriptors is the
// process's own.
func postgresSettings(settings map[string]any) map[string]any {
	settings["memory_mb"] = machineMemory
	return settings
}

// writeJSON writes a file with a value and returns its path.
func writeJSON(t *testing.T, name string, value any) string {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (h *postgresHost) url() string {
	return "postgres://k1:secret-of-c1-long@" + h.client + "/main?sslmode=disable"
}

// awaitServing waits until a new client's request is answered.
func (h *postgresHost) awaitServing(t *testing.T) {
	t.Helper()
	eventually(t, "ordinary request on a new connection", func() error {
		ctx, cancel := context.WithTimeout(t.Context(), maxWait)
		defer cancel()
		conn, err := pgx.Connect(ctx, h.url())
		if err != nil {
			return err
		}
		defer conn.Close(ctx)
		return selectOne(ctx, conn)
	})
}

func selectOne(ctx context.Context, conn *pgx.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	var one int
	return conn.QueryRow(ctx, "SELECT 1").Scan(&one)
}

// flood lets a crowd in. Ordinary clients that are connected before, on other
// connections, must be answered meanwhile, and a new one afterwards.
func (h *postgresHost) flood(t *testing.T, c crowd) {
	t.Helper()
	const ordinary = 5
	var clients []*pgx.Conn
	for range ordinary {
		conn, err := pgx.Connect(t.Context(), h.url())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close(context.Background())
		clients = append(clients, conn)
	}
	c.run(t, func() {
		for _, client := range clients {
			eventually(t, "ordinary request while the crowd is there", func() error { return selectOne(t.Context(), client) })
		}
		h.check(t)
	})
	h.awaitServing(t)
	h.check(t)
}

// startPostgres is the startup message of a member of the crowd.
var startPostgres = postgresStartup("open")

// postgresStartup returns a startup message for a route.
func postgresStartup(route string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	body = append(body, "user\x00crowd\x00database\x00"+route+"\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)
}

// postgresMessage returns a message of a kind with a body.
func postgresMessage(kind byte, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// postgresParse returns a Parse message with a text of the given size.
func postgresParse(name string, size int) []byte {
	text := append([]byte("SELECT '"), bytes.Repeat([]byte("x"), size)...)
	return postgresMessage('P', append(append([]byte(name+"\x00"), text...), "'\x00\x00\x00"...))
}

// postgresQuery returns a Query message.
func postgresQuery(text string) []byte { return postgresMessage('Q', []byte(text+"\x00")) }
