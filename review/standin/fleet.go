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
	"syscall"
	"time"
)

// hostProgram is the program of the deploy file, started from the repository's root.
const hostProgram = "target/endiveturn"

// A host is one host process.
type host struct {
	name, zone                       string
	client, readiness, peer, metrics string
	storeAddress, promotionAddress   string
	seeds                            []string

	dir     string
	command *exec.Cmd
	exited  chan struct{}
	record  *record
}

// Free ports are taken below the range from which the kernel takes those of clients.
const firstPort, lastPort = 20000, 32000

var usedPorts = map[int]bool{}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		usedPorts[port] = true
		return listener.Addr().String(), listener.Close()
	}
	return "", errors.New("no free port")
}

func newHost(name, zone, dir string, rec *record) (*host, error) {
	h := &host{name: name, zone: zone, dir: dir, record: rec}
	for _, address := range []*string{&h.client, &h.readiness, &h.peer, &h.metrics} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// start starts the process with settings as deploy/settings.json.tmpl makes them.
func (h *host) start() error {
	settings := map[string]any{
		"host": h.name, "data_centre": h.zone, "client_address": h.client, "readiness_address": h.readiness,
		"peer_address": h.peer, "metrics_address": h.metrics, "store_address": h.storeAddress, "promotion_address": h.promotionAddress,
		"seeds": h.seeds, "stop_timeout_s": 6, "memory_mb": 284, "processor_share": 0.4, "link_megabits": 1000.0,
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(h.dir, h.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.command = exec.Command(hostProgram, "host")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVETURN_BOOT=" + path}
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	command := h.command
	go func() {
		err := command.Wait()
		h.record.add("processes", "%s ended: %v", h.name, err)
		close(exited)
	}()
	h.record.add("processes", "%s started", h.name)
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.record.add("processes", "%s gets %s", h.name, s)
	_ = h.command.Process.Signal(s)
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// stop kills the process if it still runs.
func (h *host) stop() {
	if h.command == nil || h.exited == nil {
		return
	}
	_ = h.command.Process.Kill()
	<-h.exited
}

// ready reports whether the host answers its readiness check with 200.
func (h *host) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.readiness + "/endiveturn/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(what string, timeout time.Duration, holds func() bool) error {
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("not in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
