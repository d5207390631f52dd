//go:build uncontrolled

package flooder

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/endiveturn/endiveturn/platform/standin"
)

// A platformHost is a host of the platform, "endiveturn host", with its stand-ins.
type platformHost struct {
	*process
	client, readiness, peer, metrics string
}

func startPlatformHost(t *testing.T) *platformHost {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	for i, role := range []string{"primary", "replica", "replica"} {
		database, err := standin.NewDatabase(fmt.Sprint("d", i), role)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(database.Close)
		store.Register(database, fmt.Sprint("z", i))
	}
	store.PutConfiguration(standin.Configuration)
	addresses := reserveAddresses(t, 4)
	h := &platformHost{client: addresses[0], readiness: addresses[1], peer: addresses[2], metrics: addresses[3]}
	settings, err := json.Marshal(map[string]any{
		"host": "h1", "data_centre": "z0", "client_address": h.client, "readiness_address": h.readiness,
		"peer_address": h.peer, "metrics_address": h.metrics, "store_address": store.Address(),
		"promotion_address": store.Address(), "stop_timeout_s": 6, "memory_mb": machineMemory,
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	h.process = startProcess(t, "host", addresses, "host", "--settings", path)
	h.awaitServing(t)
	return h
}

// awaitServing waits until a new client's request is answered.
func (h *platformHost) awaitServing(t *testing.T) {
	t.Helper()
	eventually(t, "ordinary request on a new connection", func() error {
		client, err := dialOrdinary(h.client)
		if err != nil {
			return err
		}
		defer client.Close()
		return client.Query("READ one")
	})
}

// flood lets a crowd in. Ordinary clients that are connected before, on other
// connections, must be answered meanwhile, and a new one afterwards.
func (h *platformHost) flood(t *testing.T, c crowd) {
	t.Helper()
	const ordinary = 5
	var clients []*standin.Client
	for range ordinary {
		client, err := dialOrdinary(h.client)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		clients = append(clients, client)
	}
	c.run(t, func() {
		for _, client := range clients {
			eventually(t, "ordinary request while the crowd is there", func() error { return client.Query("READ one") })
		}
		h.check(t)
	})
	h.awaitServing(t)
	h.check(t)
}

// dialOrdinary connects as an ordinary client, whose waits are bounded by maxWait.
func dialOrdinary(address string) (*standin.Client, error) {
	return standin.Dial(address, standin.OrdinaryKey, maxWait)
}
