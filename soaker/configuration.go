package soaker

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/acceptor"
)

// Names and secrets of the configuration under which a soak runs.
const (
	serviceName      = "ledger"
	mainRoute        = "main"
	foreignRoute     = "other"
	firstCustomer    = "c1"
	secondCustomer   = "c2"
	probeKey         = "probe"
	endpointUser     = "proxy"
	endpointPassword = "endpoint-password"
	adminUser        = "group_admin"
	databaseSlots    = 5
	databaseConns    = 30
	applyLag         = 20 * time.Millisecond
	verifierRounds   = 4096
	// hostStopTimeout is the stop timeout in the settings of the hosts.
	hostStopTimeout = 10 * time.Second
)

// keyOwners holds the customer of each key. The key probe is withdrawn and granted
// again during a run.
var keyOwners = []struct{ key, customer string }{
	{"k1", firstCustomer}, {"k2", secondCustomer}, {probeKey, secondCustomer},
}

func hostName(i int) string       { return fmt.Sprintf("h%d", i+1) }
func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i+1) }
func databaseName(i int) string   { return fmt.Sprintf("%s-%d", serviceName, i+1) }
func secretOf(key string) string  { return "secret-of-" + key + "-long" }

// An object is one object of a JSON document.
type object map[string]any

// writeJSON writes a value to a file in JSON.
func writeJSON(path string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return errors.Wrap(os.WriteFile(path, content, 0o600), "write file")
}

// writeHost writes the settings of host i.
func (f *fleet) writeHost(i int) error {
	var seeds []string
	h := f.hosts[i]
	for _, link := range h.peerLinks {
		if link != nil && len(seeds) < 3 {
			seeds = append(seeds, link.Listener.Addr().String())
		}
	}
	return writeJSON(f.path(h.name+".json"), object{
		"host": h.name, "data_centre": dataCentreName(i), "caller_address": h.clientLink.Target, "peer_address": h.peerAddress,
		"store_addresses": []string{h.storeLink.Listener.Addr().String()}, "seeds": seeds,
		"endpoint_password": endpointPassword, "admin_password": endpointPassword, "log_level": "debug",
		"stop_timeout": hostStopTimeout.String(),
	})
}

// writeGroup writes the description of the databases.
func (f *fleet) writeGroup() error {
	var members []object
	for i, link := range f.databaseLinks {
		members = append(members, object{
			"name": databaseName(i), "data_centre": dataCentreName(i), "address": link.Target,
			"slots": databaseSlots, "connections": databaseConns, "apply_lag": applyLag.String(),
		})
	}
	return writeJSON(f.path("group.json"), object{
		"service": serviceName, "user": endpointUser, "password": endpointPassword, "members": members,
	})
}

// writeConfiguration writes the configuration objects to a new directory, which it
// returns. What is out of service stays so.
func (f *fleet) writeConfiguration(probeWithdrawn bool, takenOut map[string]bool) (string, error) {
	objects := []object{
		{"kind": "limit", "name": "usual", "rate": 5000, "burst": 1000},
		{"kind": "customer", "name": firstCustomer, "limit": "usual"},
		{"kind": "customer", "name": secondCustomer, "limit": "usual"},
		{"kind": "service", "name": serviceName, "endpoint_user": endpointUser, "endpoint_database": serviceName},
		{"kind": "route", "name": mainRoute, "service": serviceName, "customers": []string{firstCustomer, secondCustomer}},
		{"kind": "route", "name": foreignRoute, "service": serviceName, "customers": []string{secondCustomer}},
	}
	for _, k := range keyOwners {
		salt := sha256.Sum256([]byte(k.key))
		objects = append(objects, object{
			"kind": "key", "name": k.key, "customer": k.customer, "withdrawn": probeWithdrawn && k.key == probeKey,
			"verifier": acceptor.MakeVerifier(secretOf(k.key), salt[:16], verifierRounds),
		})
	}
	for i := range max(len(f.hosts), len(f.databaseLinks)) {
		name := dataCentreName(i)
		objects = append(objects, object{"kind": "data_centre", "name": name, "region": "r1", "taken_out": takenOut[name]})
	}
	for i, link := range f.databaseLinks {
		objects = append(objects, object{
			"kind": "database", "name": databaseName(i), "service": serviceName, "data_centre": dataCentreName(i),
			"address": link.Listener.Addr().String(), "slots": databaseSlots, "connections": databaseConns,
			"taken_out": takenOut[databaseName(i)],
		})
	}
	for _, h := range f.hosts {
		if takenOut[h.name] {
			objects = append(objects, object{"kind": "host", "name": h.name, "taken_out": true})
		}
	}
	dir, err := os.MkdirTemp(f.dir, "configuration-")
	if err != nil {
		return "", errors.Wrap(err, "create directory")
	}
	return dir, writeJSON(filepath.Join(dir, "all.json"), objects)
}
