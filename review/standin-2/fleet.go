package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// A host is one process of the system.
type host struct {
	name     string
	settings map[string]any
	command  *exec.Cmd
}

func (h *host) clients() string { return h.settings["client_address"].(string) }

// A fleet is the hosts and the stand-ins of one run.
type fleet struct {
	dir    string
	store  *store
	group  *group
	record *record
	hosts  []*host
}

// zones are the zones of the hosts, as on the site ubuntu-rosters.
var zones = []string{"gt-midrand", "gt-midrand", "gt-germiston", "gt-germiston", "gt-soweto", "gt-soweto", "gt-pretoria"}

// newFleet starts the store, the promotions and the databases, but no hosts.
func newFleet(r *record, promoteDelay time.Duration) (*fleet, string, string, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, "", "", err
	}
	f := &fleet{dir: dir, store: newStore(), record: r}
	f.group = &group{store: f.store, record: r, promoteDelay: promoteDelay}
	kv, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", "", err
	}
	cloud, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", "", err
	}
	go f.store.serve(kv)
	go f.group.servePromotions(cloud)
	return f, kv.Addr().String(), cloud.Addr().String(), nil
}

// firstPort and ports are the range from which hosts get their ports. It is below the one from
// which the kernel takes those of outgoing connections.
const (
	firstPort = 12000
	ports     = 18000
)

// freeAddresses returns addresses that were free a moment ago.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range 100 * n {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer listener.Close()
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.New("no free ports")
}

// startHosts starts the hosts with the command of the deploy file.
func (f *fleet) startHosts(binary, storeAddress, promotionAddress string) error {
	addresses, err := freeAddresses(4 * len(zones))
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range zones {
		a := addresses[4*i : 4*i+4]
		h := &host{name: fmt.Sprintf("frontend-%s-%d", zone, i+1)}
		h.settings = map[string]any{
			"host": h.name, "data_centre": zone, "client_address": a[0], "readiness_address": a[1], "peer_address": a[2], "metrics_address": a[3],
			"store_address": storeAddress, "promotion_address": promotionAddress, "stop_timeout_s": 6, "memory_mb": 284, "max_descriptors": 4200,
			"file_descriptors": 200, "client_memory_share": 0.3, "idle_when_short_s": 60, "startup_timeout_s": 5, "message_timeout_s": 15,
			"write_timeout_s": 5, "http_timeout_s": 5, "max_http_header_bytes": 8192, "processor_share": 0.4, "link_megabits": 1000, "balance": "auto",
		}
		if len(seeds) < 3 {
			seeds = append(seeds, a[2])
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.settings["seeds"] = seeds
		if err := f.start(binary, h); err != nil {
			return err
		}
	}
	return f.awaitReady(15 * time.Second)
}

func (f *fleet) start(binary string, h *host) error {
	data, _ := json.Marshal(h.settings)
	path := filepath.Join(f.dir, h.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.command = exec.Command(binary, "host")
	h.command.Env = []string{"ENDIVETURN_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.command.Stdout, h.command.Stderr = log, log
	return h.command.Start()
}

// awaitReady waits until all hosts report that they are ready.
func (f *fleet) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, h := range f.hosts {
		for {
			response, err := http.Get("http://" + h.settings["readiness_address"].(string) + "/endiveturn/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New(h.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends the hosts and removes the folder, unless it is to be kept.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Kill()
			_ = h.command.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// configure writes the configuration of a small deployment.
func (f *fleet) configure() {
	route := func(name, kind string, timeout, target, staleness int) map[string]any {
		r := map[string]any{
			"name": name, "host": name, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1,
			"service": service, "public": false,
		}
		if staleness > 0 {
			r["max_staleness_ms"] = staleness
		}
		return r
	}
	data, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			route("pay", "primary", 1000, 200, 0), route("status", "bounded_staleness", 3000, 800, 1500),
			route("statement", "read_your_writes", 1000, 400, 2500),
		},
		"services": []any{map[string]any{"name": service, "max_conns": 50, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
		"tenants": []any{
			map[string]any{"name": "acme", "api_keys": []string{"u1"}, "priority": 1, "rate_per_s": 100, "burst": 200},
			map[string]any{"name": "other", "api_keys": []string{"u2"}, "priority": 1, "rate_per_s": 100, "burst": 200},
		},
	})
	f.store.put("op/config", data)
}
