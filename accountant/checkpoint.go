package accountant

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// CheckpointKey is the key of the checkpoint in the store. Only the leader reads it, and hosts
// do not mirror it.
const CheckpointKey = "endiveturn/usage-checkpoint"

// maxCheckpointBytes bounds the size of a checkpoint after inflation. Three windows of 2,000
// customers have 70 KB.
const maxCheckpointBytes = 16 << 20

// errMalformedCheckpoint is returned for a checkpoint that can't be decoded.
var errMalformedCheckpoint = errors.New("malformed checkpoint of usage reports")

// deflaters holds unused writers, each of which takes more than a megabyte.
var deflaters = sync.Pool{New: func() any {
	// The level is valid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// A Checkpoint is what the store holds of the windows that are not recorded yet: the counts
// that the leader had collected when it wrote it.
type Checkpoint struct {
	// Token is the fencing token of the leader that wrote it.
	Token int64
	// Present is the window in which it was written.
	Present int64
	// Windows hold the counts of all processes by number.
	Windows []Window
	// Processes are the sorted identifiers of the processes that are contained in the counts.
	Processes []uint32
}

// total returns the number of requests in all windows.
func (c Checkpoint) total() int64 {
	total := int64(0)
	for _, w := range c.Windows {
		total += w.Total()
	}
	return total
}

type wireCheckpoint struct {
	Token     int64        `json:"token"`
	Present   int64        `json:"present"`
	Customers []string     `json:"customers"`
	Windows   []wireWindow `json:"windows"`
	Processes []uint32     `json:"processes"`
}

// EncodeCheckpoint returns the value of a checkpoint in the store, deflated JSON.
func EncodeCheckpoint(c Checkpoint) []byte {
	wire := wireCheckpoint{Token: c.Token, Present: c.Present, Processes: c.Processes}
	wire.Customers, wire.Windows = encodeWindows(c.Windows)
	var value bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&value)
	if err := json.NewEncoder(w).Encode(wire); err != nil {
		panic(err) // the checkpoint always encodes
	}
	// Writes to a buffer do not fail.
	_ = w.Close()
	return value.Bytes()
}

// DecodeCheckpoint decodes the value of a checkpoint.
func DecodeCheckpoint(value []byte) (Checkpoint, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxCheckpointBytes))
	if err != nil {
		return Checkpoint{}, errors.Wrap(errMalformedCheckpoint, err.Error())
	}
	var wire wireCheckpoint
	if err := json.Unmarshal(data, &wire); err != nil {
		return Checkpoint{}, errors.Wrap(errMalformedCheckpoint, err.Error())
	}
	c := Checkpoint{Token: wire.Token, Present: wire.Present, Processes: wire.Processes}
	if c.Windows, err = decodeWindows(wire.Customers, wire.Windows); err != nil {
		return Checkpoint{}, errors.Wrap(errMalformedCheckpoint, err.Error())
	}
	return c, nil
}

// id returns the identifier of a process in checkpoints. Two processes with the same one are
// taken for one, so that a window of both may be counted too low, never too high.
func (s Source) id() uint32 {
	hash := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = hash.Write([]byte(s.Host + "\x00" + s.Incarnation))
	return hash.Sum32()
}

// formerCounts are the counts in the checkpoint of a former leader.
type formerCounts struct {
	windows   map[int64]map[string]int64
	processes map[uint32]bool
	// present is the window in which the checkpoint was written.
	present int64
}

// TakeOver adds the counts of a checkpoint of a former leader, in place of those of an earlier
// one, which it contains.
func (b *Book) TakeOver(c Checkpoint) {
	former := formerCounts{windows: make(map[int64]map[string]int64), processes: make(map[uint32]bool), present: c.Present}
	for _, w := range c.Windows {
		former.windows[w.Number] = w.Counts
	}
	for _, id := range c.Processes {
		former.processes[id] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.former = former
	b.version++
}

// Checkpoint returns a checkpoint of the windows that are not settled, and the version of the
// book that it contains.
func (b *Book) Checkpoint(token int64) (checkpoint Checkpoint, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := Checkpoint{Token: token, Present: b.Schedule.Number(b.Clock.Time())}
	processes := make(map[uint32]bool)
	for number := max(b.settled, c.Present-keptWindows+1); number <= c.Present; number++ {
		c.Windows = append(c.Windows, Window{Number: number, Counts: b.totals(number)})
		if len(b.former.windows[number]) > 0 {
			maps.Copy(processes, b.former.processes)
		}
	}
	for id, s := range b.sources {
		if len(s.windows) > 0 {
			processes[id.id()] = true
		}
	}
	c.Processes = slices.Sorted(maps.Keys(processes))
	return c, b.version
}

// changed returns the version of the last change of any count, and that of the last change in
// a window that has ended and is not settled.
func (b *Book) changed() (any, ended uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := b.Schedule.Number(b.Clock.Time())
	for _, s := range b.sources {
		for number, w := range s.windows {
			if number < present && number >= b.settled {
				ended = max(ended, w.version)
			}
		}
	}
	return b.version, ended
}

// totals returns the number of requests of each customer in a window. The counts of a
// checkpoint and those of the processes in it count the same requests, as far as both know
// them, so that the greater number is the better one. The caller holds mu.
func (b *Book) totals(window int64) map[string]int64 {
	contained, others := make(map[string]int64), make(map[string]int64)
	for id, s := range b.sources {
		w, ok := s.windows[window]
		if !ok {
			continue
		}
		totals := others
		if b.former.processes[id.id()] {
			totals = contained
		}
		for customer, c := range w.cells {
			totals[customer] += c.count
		}
	}
	for customer, count := range b.former.windows[window] {
		contained[customer] = max(contained[customer], count)
	}
	for customer, count := range contained {
		others[customer] += count
	}
	maps.DeleteFunc(others, func(_ string, count int64) bool { return count <= 0 })
	return others
}

// Lost returns the number of processes whose counts of a window may be missing because they
// are known from a checkpoint only: they are not registered any more.
func (b *Book) Lost(window int64, incarnations map[string]string) int {
	registered := make(map[uint32]bool, len(incarnations))
	for host, incarnation := range incarnations {
		registered[Source{Host: host, Incarnation: incarnation}.id()] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if window > b.former.present {
		return 0
	}
	for id, s := range b.sources {
		if s.final >= window {
			registered[id.id()] = true
		}
	}
	lost := 0
	for id := range b.former.processes {
		if !registered[id] {
			lost++
		}
	}
	return lost
}
