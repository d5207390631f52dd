package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// A world is a small deployment of stand-ins with the host processes of the project, and the
// record of what was sent, answered and run.
type world struct {
	store      *store
	groups     []*group
	hosts      []*hostProcess
	dir        string
	lastReport sync.Map
	began      time.Time

	mu     sync.Mutex
	record *bufio.Writer
	// sent holds when the first byte of a statement was sent, by id.
	sent map[string]time.Time
	// acknowledged holds when a commit was acknowledged to its client, by service and id.
	acknowledged map[string]map[string]time.Time
	// stale holds what a read ran without, by the id of the read.
	stale map[string]string
	// broken are the broken rules.
	broken []string
}

func newWorld(recordPath string) *world {
	file, err := os.Create(recordPath)
	if err != nil {
		fail(err)
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail(err)
	}
	w := &world{
		store: newStore(), dir: dir, began: time.Now(), record: bufio.NewWriter(file), sent: map[string]time.Time{},
		acknowledged: map[string]map[string]time.Time{}, stale: map[string]string{},
	}
	go w.expireEntries()
	return w
}

// fail ends the script: the case couldn't run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	os.Exit(2)
}

func listenLoopback() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	return listener
}

// freeAddress returns a loopback address with a port that is free now and below those that the
// kernel gives to outgoing connections.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.N(15000))
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	fail(errors.New("no free port"))
	return ""
}

// line writes a line of the record. The caller holds mu.
func (w *world) line(format string, arguments ...any) {
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format+"\n", arguments...)
}

// event writes a line of the record and prints it.
func (w *world) event(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, arguments...)
	fmt.Printf("%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (w *world) breakRule(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	w.broken = append(w.broken, text)
	w.line("BROKEN %s", text)
}

func (w *world) recordSent(id, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = time.Now()
	w.line("sent %s %s", id, text)
}

func (w *world) recordAnswer(id, answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("answered %s %s", id, answer)
}

// acknowledge records that the commit of a write was acknowledged to its client.
func (w *world) acknowledge(service, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.acknowledged[service] == nil {
		w.acknowledged[service] = map[string]time.Time{}
	}
	w.acknowledged[service][id] = time.Now()
}

// rollBack forgets the commits of a service that a promoted database lacks.
func (w *world) rollBack(service string, kept map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.acknowledged[service] {
		if !kept[id] {
			w.line("rolled back by a promote: %s", id)
			delete(w.acknowledged[service], id)
		}
	}
}

func (w *world) ran(id string, d *database, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("ran %s at %s: %s", id, d.id, text)
}

// readRan records that a read ran on a log, and what the log lacks of the commits that were
// acknowledged before the first byte of the read.
func (w *world) readRan(id string, d *database, log []entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := make(map[string]bool, len(log))
	for _, e := range log {
		held[e.id] = true
	}
	lacking, example := 0, ""
	for commit, at := range w.acknowledged[d.group.name] {
		if at.Before(w.sent[id]) && !held[commit] {
			lacking++
			example = commit
		}
	}
	w.line("ran %s at %s: READ on a log of %d commits", id, d.id, len(log))
	if lacking > 0 {
		w.stale[id] = fmt.Sprintf("%s ran at %s, whose log of %d commits lacks %d that were acknowledged before it, as %s", id, d.id, len(log), lacking, example)
	}
}

// servePromotions serves the platform's promotion call.
func (w *world) servePromotions() string {
	listener := listenLoopback()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(rw http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		json.NewDecoder(r.Body).Decode(&body)
		w.event("promote %s of %s by %s with token %s", body.ID, body.Service, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		for _, g := range w.groups {
			if g.name == body.Service && g.promote(body.ID) {
				rw.WriteHeader(http.StatusOK)
				return
			}
		}
		rw.WriteHeader(http.StatusConflict)
	})
	go http.Serve(listener, mux)
	return listener.Addr().String()
}

// A hostProcess is a process of the project.
type hostProcess struct {
	name, client, ready string
	settings            string
	log                 *os.File
	command             *exec.Cmd
}

// startHosts starts hosts with the command of the deploy file and settings like those of its
// template.
func (w *world) startHosts(count int) {
	promotions := w.servePromotions()
	var peers []string
	for range count {
		peers = append(peers, freeAddress())
	}
	for i := range count {
		h := &hostProcess{name: fmt.Sprintf("frontend-%d", i), client: freeAddress(), ready: freeAddress()}
		settings := map[string]any{
			"host": h.name, "data_centre": fmt.Sprintf("zone-%d", i%3), "client_address": h.client, "readiness_address": h.ready,
			"peer_address": peers[i], "metrics_address": freeAddress(), "store_address": w.store.listen(h.name),
			"promotion_address": promotions, "seeds": peers[:min(3, count)], "stop_timeout_s": 6, "memory_mb": 284,
			"max_descriptors": 4200, "file_descriptors": 200, "client_memory_share": 0.3, "idle_when_short_s": 60,
			"startup_timeout_s": 5, "message_timeout_s": 15, "write_timeout_s": 5, "http_timeout_s": 5,
			"max_http_header_bytes": 8192, "processor_share": 0.4, "link_megabits": 1000, "balance": "auto",
		}
		data, _ := json.Marshal(settings)
		h.settings = filepath.Join(w.dir, h.name+".json")
		if err := os.WriteFile(h.settings, data, 0o600); err != nil {
			fail(err)
		}
		h.start(w.dir)
		w.hosts = append(w.hosts, h)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				fail(fmt.Errorf("%s is not ready", h.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (h *hostProcess) start(dir string) {
	var err error
	if h.log, err = os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		fail(err)
	}
	h.command = exec.Command(os.Getenv("ENDIVETURN"), "host")
	h.command.Env = append(os.Environ(), "ENDIVETURN_BOOT="+h.settings)
	h.command.Stdout, h.command.Stderr = h.log, h.log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		fail(err)
	}
}

func (h *hostProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/endiveturn/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// finish ends all processes, prints the result and exits.
func (w *world) finish(summary string) {
	for _, h := range w.hosts {
		h.command.Process.Kill()
		h.command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("%s", summary)
	w.record.Flush()
	fmt.Println(summary)
	for i, text := range w.broken {
		if i < 5 {
			fmt.Println("BROKEN", text)
		}
	}
	if len(w.broken) > 0 {
		fmt.Println("rule broken:", len(w.broken), "times")
		os.Exit(1)
	}
	fmt.Println("rule held")
	os.Exit(0)
}
