package storer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storeemulator"
	"github.com/endiveturn/endiveturn/storer"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// start returns an emulator, its address and a client of it.
func start(t *testing.T) (*storeemulator.Emulator, string, *storer.Client) {
	t.Helper()
	e := &storeemulator.Emulator{Logger: quiet}
	address, stop, err := e.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return e, address, client(t, address)
}

func client(t *testing.T, addresses ...string) *storer.Client {
	t.Helper()
	c := &storer.Client{Addresses: addresses, Logger: quiet}
	t.Cleanup(func() { c.Close() })
	return c
}

// A compare-and-swap that ignored the expected revision would let the later of
// two racing operators overwrite the earlier one.
func TestCompareAndSwap(t *testing.T) {
	_, _, c := start(t)
	ctx := t.Context()
	if _, err := c.Get(ctx, "a"); !errors.Is(err, storer.ErrNotFound) {
		t.Fatalf("Get of a missing key: got %v, want ErrNotFound", err)
	}
	steps := []struct {
		expected int64
		value    string
		swapped  bool
		now      string
	}{
		{expected: 7, value: "x", swapped: false, now: ""},
		{expected: 0, value: "one", swapped: true, now: "one"},
		{expected: 0, value: "two", swapped: false, now: "one"},
		{expected: 2, value: "three", swapped: true, now: "three"},
		{expected: 2, value: "four", swapped: false, now: "three"},
	}
	for i, step := range steps {
		swapped, now, err := c.CompareAndSwap(ctx, "a", step.expected, []byte(step.value), 0)
		if err != nil || swapped != step.swapped || string(now.Value) != step.now {
			t.Errorf("step %d: got %v, %q, %v; want %v, %q", i, swapped, now.Value, err, step.swapped, step.now)
		}
		got, err := c.Get(ctx, "a")
		if step.now != "" && (err != nil || got.ModRevision != now.ModRevision) {
			t.Errorf("step %d: Get gives revision %d, %v; the answer said %d", i, got.ModRevision, err, now.ModRevision)
		}
	}
	deletes := []struct {
		expected int64
		want     bool
	}{{2, false}, {3, true}, {3, false}, {0, false}}
	for _, d := range deletes {
		if got, err := c.Delete(ctx, "a", d.expected); err != nil || got != d.want {
			t.Errorf("Delete at %d: got %v, %v; want %v", d.expected, got, err, d.want)
		}
	}
}

// A range of more entries than a page holds must neither miss nor repeat one,
// and must not reach beyond the prefix.
func TestRangePages(t *testing.T) {
	_, _, c := start(t)
	for i := range 40 {
		put(t, c, fmt.Sprintf("p/%02d", i), "v")
	}
	put(t, c, "p0", "beyond")
	entries, err := c.Range(t.Context(), "p/")
	if err != nil || len(entries) != 40 {
		t.Fatalf("got %d entries, %v; want 40", len(entries), err)
	}
	for i, entry := range entries {
		if want := fmt.Sprintf("p/%02d", i); entry.Key != want {
			t.Errorf("entry %d: got key %s, want %s", i, entry.Key, want)
		}
	}
	if all, err := c.Range(t.Context(), ""); err != nil || len(all) != 41 {
		t.Errorf("Range of everything: got %d entries, %v; want 41", len(all), err)
	}
}

// A change whose answer is lost may have taken effect, and the client must
// neither say otherwise nor send it twice.
func TestUnknownOutcome(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*storeemulator.Emulator)
		taken bool
	}{
		{"answer lost", func(e *storeemulator.Emulator) { e.LoseAnswers(1) }, true},
		{"late answer", func(e *storeemulator.Emulator) { e.SetDelay(3 * time.Second / 2) }, true},
		{"hangs", func(e *storeemulator.Emulator) { e.SetDown(storeemulator.Hang) }, false},
		{"refuses", func(e *storeemulator.Emulator) { e.SetDown(storeemulator.Refuse) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e, address, c := start(t)
			put(t, c, "other", "v")
			test.fault(e)
			swapped, _, err := c.CompareAndSwap(t.Context(), "a", 0, []byte("v"), 0)
			if swapped || !errors.Is(err, storer.ErrUnavailable) {
				t.Errorf("got %v, %v; want ErrUnavailable", swapped, err)
			}
			if strings.Contains(fmt.Sprintf("%+v", err), "\n") {
				t.Errorf("the error is not one line in a log: %+v", err)
			}
			if got := e.Calls()[storer.OperationTxn]; got > 2 {
				t.Errorf("the store got %d changes, want at most 2", got)
			}
			e.SetDelay(0)
			e.SetDown(storeemulator.Up)
			_, err = client(t, address).Get(t.Context(), "a")
			if taken := err == nil; taken != test.taken {
				t.Errorf("after the fault: got %v, want taken %v", err, test.taken)
			}
		})
	}
}

// A value beyond the limit is refused with a known outcome.
func TestValueTooLarge(t *testing.T) {
	_, _, c := start(t)
	value := bytes.Repeat([]byte("x"), storeemulator.MaxValueBytes)
	put(t, c, "a", string(value))
	_, _, err := c.CompareAndSwap(t.Context(), "b", 0, append(value, 'x'), 0)
	if err == nil || errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("got %v, want a refusal with a known outcome", err)
	}
}

// One dead address must not make the store unavailable.
func TestFailover(t *testing.T) {
	silent, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	hanging, hangingAddress, _ := start(t)
	hanging.SetDown(storeemulator.Hang)
	tests := []struct {
		name string
		dead string
		// change says that a change can go to the other address: the dead
		// one never got it.
		change bool
	}{
		{"refuses connections", "127.0.0.1:1", true},
		{"accepts and is silent", silent.Addr().String(), true},
		{"hangs after the request", hangingAddress, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, address, _ := start(t)
			c := client(t, test.dead, address)
			if test.change {
				put(t, c, "a", "v")
			}
			if _, err := c.Range(t.Context(), "a"); err != nil {
				t.Errorf("Range: %v", err)
			}
			began := time.Now()
			put(t, c, "b", "v")
			if took := time.Since(began); took > 300*time.Millisecond {
				t.Errorf("a later call took %v: it went to the dead address first", took)
			}
		})
	}
}

// A client must find a store that returns by itself, and soon.
func TestClientRecovers(t *testing.T) {
	for _, down := range []storeemulator.Down{storeemulator.Refuse, storeemulator.Hang} {
		e, _, c := start(t)
		put(t, c, "a", "v")
		e.SetDown(down)
		if _, err := c.Get(t.Context(), "a"); !errors.Is(err, storer.ErrUnavailable) {
			t.Errorf("down %d: got %v, want ErrUnavailable", down, err)
		}
		e.SetDown(storeemulator.Up)
		returned := time.Now()
		for {
			_, err := c.Get(t.Context(), "a")
			if err == nil {
				break
			}
			if time.Since(returned) > 3*time.Second {
				t.Fatalf("down %d: still %v 3s after the store returned", down, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func put(t *testing.T, c *storer.Client, key, value string) {
	t.Helper()
	swapped, _, err := c.CompareAndSwap(context.Background(), key, 0, []byte(value), 0)
	if err != nil || !swapped {
		t.Fatalf("write of %s: got %v, %v", key, swapped, err)
	}
}
