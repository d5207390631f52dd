package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/hoster"
)

// A lockedBuffer takes log lines from other goroutines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// awaitLine waits until a line with the text was logged.
func (b *lockedBuffer) awaitLine(t *testing.T, text string) {
	t.Helper()
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) {
		b.mu.Lock()
		found := strings.Contains(b.buffer.String(), text)
		b.mu.Unlock()
		if found {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no line with %q was logged", text)
}

// TestHangup guards against a host that ends at a hangup signal, or takes settings
// into force that are not valid.
func TestHangup(t *testing.T) {
	const valid = `{"host": "h1", "data_centre": "dc1", "client_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2",
		"peer_address": "127.0.0.1:3", "store_address": "127.0.0.1:4", "promotion_address": "127.0.0.1:5", "stop_timeout_s": 6}`
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(content string) {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write(valid)
	settings, err := hoster.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	var log lockedBuffer
	host := &hoster.Host{Settings: settings, Logger: slog.New(slog.NewTextHandler(&log, nil))}
	stop := reloadOnHangup(host, path)
	defer stop()
	write(strings.Replace(valid, `"stop_timeout_s": 6`, `"stop_timeout_s": 9`, 1))
	hangUp()
	log.awaitLine(t, "settings_reloaded stop_timeout=9s")
	write(strings.Replace(valid, `"stop_timeout_s": 6`, `"stop_timeout_s": -1`, 1))
	hangUp()
	log.awaitLine(t, "settings_rejected")
	if got, want := host.Settings.StopTimeout, 9*time.Second; got != want {
		t.Errorf("got stop timeout %v after settings that are not valid, want %v", got, want)
	}
}
