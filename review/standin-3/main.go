// Command standin3 runs the cases of the third review that are scripts: host processes of the
// project among stand-ins of the platform, the databases and the consumers. Its arguments are
// the name of a case and the file of the record. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fail(fmt.Errorf("usage: standin3 CASE RECORD"))
	}
	cases := map[string]func(w *world, trouble bool){"restart": runRestart}
	run, ok := cases[os.Args[1]]
	if !ok {
		fail(fmt.Errorf("no case %q", os.Args[1]))
	}
	run(newWorld(os.Args[2]), os.Getenv("TROUBLE") != "0")
}

type object = map[string]any

// configure writes a configuration with a route of kind primary for each service.
func (w *world) configure() {
	var routes, services []object
	for i, g := range w.groups {
		routes = append(routes, object{
			"name": fmt.Sprintf("r%d", i), "host": fmt.Sprintf("db%d", i), "prefix": "/", "kind": "primary", "timeout_ms": 1000,
			"target_latency_ms": 200, "priority": 1, "service": g.name, "max_attempts": 2, "public": false,
		})
		services = append(services, object{
			"name": g.name, "health_path": "/healthz", "max_conns": 33, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
			"cold_per_s": 0.0, "sync_replicas": 0,
		})
	}
	w.store.put("op/config", object{
		"version": 2, "routes": routes, "services": services, "limits": object{"tx_idle_ms": 3000},
		"tenants": []object{{"name": "tenant0", "api_keys": []string{"key0"}, "priority": 1, "rate_per_s": 2000, "burst": 2000}},
	})
}

// runRestart: the primary of a service is partitioned from the store for 5 s, ends behind the
// cut, and starts again under its id, holding nothing of before.
func runRestart(w *world, trouble bool) {
	zones := []string{"zone-0", "zone-1", "zone-2"}
	w.groups = []*group{newGroup(w, "svc0", zones), newGroup(w, "svc1", zones)}
	w.configure()
	w.startHosts(3)
	time.Sleep(2 * time.Second)

	var stopped atomic.Bool
	var clients sync.WaitGroup
	var items itemList
	var reads, writes, wrong atomic.Int64
	for i := range 12 {
		address := w.hosts[i%3].client
		clients.Go(func() {
			w.runClient(address, i < 3, &stopped, &items, func(kind string, good bool) {
				switch {
				case kind == "WRITE":
					writes.Add(1)
				case good:
					reads.Add(1)
				default:
					wrong.Add(1)
				}
			})
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		primary := w.groups[0].databases[0]
		w.event("%s, primary of svc0, is partitioned from the store", primary.id)
		primary.setCut(true)
		w.event("%s ends", primary.id)
		primary.crash()
		time.Sleep(restartTime)
		primary.forget()
		primary.restart()
		w.event("%s has started again under its id; it holds nothing of before", primary.id)
		time.Sleep(5*time.Second - restartTime)
		primary.setCut(false)
		w.event("the cut of %s ends", primary.id)
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(3 * time.Second)
	stopped.Store(true)
	clients.Wait()
	w.finish(fmt.Sprintf("%d writes acknowledged, %d reads returned the data that was written, %d reads did not", writes.Load(), reads.Load(), wrong.Load()))
}

// restartTime is how long a database takes to start again.
const restartTime = 200 * time.Millisecond

// An itemList holds the items whose writes were acknowledged.
type itemList struct {
	mu    sync.Mutex
	items [][2]string
}

func (l *itemList) add(name, data string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.items = append(l.items, [2]string{name, data})
}

func (l *itemList) any() (name, data string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.items) == 0 {
		return "", "", false
	}
	i := l.items[rand.N(len(l.items))]
	return i[0], i[1], true
}

// runClient sends single statements, one after the other, until stopped: writes of new items,
// or reads of items whose writes were acknowledged.
func (w *world) runClient(address string, writer bool, stopped *atomic.Bool, items *itemList, count func(kind string, good bool)) {
	var s *session
	for !stopped.Load() {
		time.Sleep(10 * time.Millisecond)
		if s == nil {
			var err error
			if s, err = w.dial(address, "db0", "key0"); err != nil {
				s = nil
				continue
			}
		}
		if writer {
			name := fmt.Sprintf("item%d", nextID.Add(1))
			id, a := s.query("WRITE " + name + " data-" + name)
			if a.ok() {
				w.acknowledge("svc0", id)
				items.add(name, "data-"+name)
				count("WRITE", true)
			}
			if a.err != nil {
				s.conn.Close()
				s = nil
			}
			continue
		}
		name, data, ok := items.any()
		if !ok {
			continue
		}
		id, a := s.query("READ " + name)
		if a.ok() {
			good := len(a.rows) == 1 && a.rows[0] == data
			w.checkRead(id, a)
			count("READ", good)
		}
		if a.err != nil {
			s.conn.Close()
			s = nil
		}
	}
}

// checkRead checks the rule STALE for a read that succeeded on a route of kind primary.
func (w *world) checkRead(id string, a answer) {
	w.mu.Lock()
	stale, ok := w.stale[id]
	w.mu.Unlock()
	if ok {
		w.breakRule("STALE: read %s; answered to the client: %s", stale, a)
	}
}
