// Command standin plays the cases of the review: it runs stand-ins of the platform's store,
// of the service for promotions and of databases, starts hosts as processes, sends them
// requests as consumers do, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxTime is how long a case may run.
const maxTime = 115 * time.Second

// A scenario is what all cases share.
type scenario struct {
	// dir is a temporary folder.
	dir string
	// trouble is false if the disruption is left out.
	trouble  bool
	record   *record
	store    *store
	promoter *promoter
	groups   []*group
	hosts    []*host
}

// cases maps the names of the cases to their functions, which return whether the rule held.
var cases = map[string]func(*scenario) (held bool, err error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitCannotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer os.RemoveAll(dir)
	s := &scenario{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec, store: newStore()}
	s.promoter = &promoter{groups: make(map[string]*group), record: rec}
	stop := sync.OnceFunc(func() {
		for _, h := range s.hosts {
			h.stop()
		}
	})
	defer stop()
	time.AfterFunc(maxTime, func() {
		rec.say("cannot run: not done after %v", maxTime)
		stop()
		os.RemoveAll(dir)
		os.Exit(exitCannotRun)
	})
	if err := s.store.start(); err != nil {
		rec.say("cannot run: %v", err)
		return exitCannotRun
	}
	if err := s.promoter.start(); err != nil {
		rec.say("cannot run: %v", err)
		return exitCannotRun
	}
	held, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		rec.say("cannot run: %v", err)
		return exitCannotRun
	case held:
		rec.say("the rule held")
		return exitHeld
	default:
		rec.say("the rule was broken")
		return exitBroken
	}
}

// addGroup starts a service of three databases, one a zone, the first the primary.
func (s *scenario) addGroup(service string, adjust func(*group)) (*group, error) {
	g := newGroup(service, s.store, s.record)
	if adjust != nil {
		adjust(g)
	}
	for i, zone := range zones {
		if _, err := g.add(fmt.Sprintf("i-%s%d", service, i+1), zone, i == 0); err != nil {
			return nil, err
		}
	}
	s.groups = append(s.groups, g)
	s.promoter.groups[service] = g
	return g, nil
}

// addHost starts a host. It reaches the store and the promotion service at the given
// addresses.
func (s *scenario) addHost(name, zone, storeAddress, promotionAddress string, seeds ...string) (*host, error) {
	h, err := newHost(name, zone, s.dir, s.record)
	if err != nil {
		return nil, err
	}
	h.storeAddress, h.promotionAddress, h.seeds = storeAddress, promotionAddress, seeds
	s.hosts = append(s.hosts, h)
	return h, h.start()
}

// zones are the zones of the deployment.
var zones = []string{"dk-east-a", "dk-east-b", "dk-east-c"}

// tenantKey is the key of the tenant named tenant.
const (
	tenant    = "nypu920"
	tenantKey = "u6wsjnbanfqasnmgkcuy"
)

// A route of the configuration.
type route struct {
	host, kind, service string
	timeoutMs           int
}

// configure writes a version of the configuration with the given routes.
func (s *scenario) configure(version int, ratePerSecond float64, maxConns int, routes ...route) {
	var routeList, services []map[string]any
	for _, r := range routes {
		entry := map[string]any{
			"name": "r-" + r.host, "host": r.host, "prefix": "/", "kind": r.kind, "timeout_ms": r.timeoutMs, "target_latency_ms": 400,
			"priority": 1, "service": r.service, "max_attempts": 2, "public": false,
		}
		if r.kind != "primary" {
			entry["max_staleness_ms"] = 1500
		}
		routeList = append(routeList, entry)
	}
	for _, g := range s.groups {
		services = append(services, map[string]any{
			"name": g.service, "health_path": "/healthz", "max_conns": maxConns, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "sync_replicas": g.syncReplicas(),
		})
	}
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routeList, "services": services,
		"limits":  map[string]any{"tx_idle_ms": 3000, "idle_timeout_ms": 15000, "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": ratePerSecond, "burst": ratePerSecond}},
	})
}

// syncReplicas returns the service's sync_replicas.
func (g *group) syncReplicas() int {
	if g.sync {
		return 1
	}
	return 0
}
