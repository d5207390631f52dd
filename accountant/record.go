package accountant

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// RecordKey is the key of the record in the store.
const RecordKey = "endiveturn/usage"

// errMalformedRecord is returned for a record that can't be decoded.
var errMalformedRecord = errors.New("malformed record of usage reports")

// A Window is the report of one window as it is recorded. It does not change once it is
// recorded, except that it becomes accepted.
type Window struct {
	Number int64
	// Counts are by customer. They are empty in a record once the window is accepted, since
	// it is not sent again and every host receives the record.
	Counts   map[string]int64
	Accepted bool
}

// Total returns the number of requests of all customers.
func (w Window) Total() int64 {
	total := int64(0)
	for _, count := range w.Counts {
		total += count
	}
	return total
}

// A Record is what the store holds of the usage reports. It is immutable.
type Record struct {
	// Token is the fencing token of the leader that wrote it, Era the era of the store in
	// which it did.
	Token, Era int64
	// Next is the first window that may still be recorded; it never decreases.
	Next int64
	// Windows are the recorded windows of the last minute by number.
	Windows []Window
}

// With returns the record with another window, the next one to be recorded.
func (r Record) With(window Window) Record {
	r.Windows = append(slices.Clone(r.Windows), window)
	r.Next = window.Number + 1
	return r
}

// WithAccepted returns the record with the given windows marked as accepted.
func (r Record) WithAccepted(accepted map[int64]bool) Record {
	r.Windows = slices.Clone(r.Windows)
	for i, w := range r.Windows {
		if w.Accepted || accepted[w.Number] {
			r.Windows[i] = Window{Number: w.Number, Accepted: true}
		}
	}
	return r
}

// WithoutBefore returns the record without windows below a number.
func (r Record) WithoutBefore(number int64) Record {
	r.Windows = slices.DeleteFunc(slices.Clone(r.Windows), func(w Window) bool { return w.Number < number })
	return r
}

// Merge returns the record with the windows of another one. After a restore of the store,
// each may have windows that the other one lacks; both have the same counts of a window.
func (r Record) Merge(other Record) Record {
	windows := make(map[int64]Window)
	for _, w := range append(slices.Clone(r.Windows), other.Windows...) {
		if present, ok := windows[w.Number]; ok {
			if present.Accepted {
				w = present
			}
		}
		windows[w.Number] = w
	}
	r.Windows = nil
	for _, number := range slices.Sorted(maps.Keys(windows)) {
		r.Windows = append(r.Windows, windows[number])
	}
	r.Next = max(r.Next, other.Next)
	r.Era, r.Token = max(r.Era, other.Era), max(r.Token, other.Token)
	return r
}

type wireWindow struct {
	Window int64 `json:"window"`
	// Counts are in the order of wireRecord.Customers, and left out if the window is
	// accepted.
	Counts   []int64 `json:"counts,omitempty"`
	Accepted bool    `json:"accepted"`
}

type wireRecord struct {
	Token     int64        `json:"token"`
	Era       int64        `json:"era"`
	Next      int64        `json:"next"`
	Customers []string     `json:"customers"`
	Windows   []wireWindow `json:"windows"`
}

// encodeWindows returns the windows with their counts in the order of the customers.
func encodeWindows(windows []Window) (customers []string, wire []wireWindow) {
	names := make(map[string]int)
	for _, w := range windows {
		for name := range w.Counts {
			names[name] = 0
		}
	}
	customers = slices.Sorted(maps.Keys(names))
	for _, w := range windows {
		var counts []int64
		for _, name := range customers {
			if !w.Accepted {
				counts = append(counts, w.Counts[name])
			}
		}
		wire = append(wire, wireWindow{Window: w.Number, Counts: counts, Accepted: w.Accepted})
	}
	return customers, wire
}

// decodeWindows returns the windows whose counts are in the order of the customers.
func decodeWindows(customers []string, wire []wireWindow) ([]Window, error) {
	var windows []Window
	for _, w := range wire {
		if w.Accepted {
			windows = append(windows, Window{Number: w.Window, Accepted: true})
			continue
		}
		if len(w.Counts) != len(customers) {
			return nil, errors.Errorf("window %d has %d counts of %d customers", w.Window, len(w.Counts), len(customers))
		}
		window := Window{Number: w.Window, Counts: make(map[string]int64)}
		for i, count := range w.Counts {
			if count > 0 {
				window.Counts[customers[i]] = count
			}
		}
		windows = append(windows, window)
	}
	return windows, nil
}

// EncodeRecord returns the value of a record in the store.
func EncodeRecord(r Record) []byte {
	wire := wireRecord{Token: r.Token, Era: r.Era, Next: r.Next}
	wire.Customers, wire.Windows = encodeWindows(r.Windows)
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err) // the record always encodes
	}
	return data
}

// DecodeRecord decodes the value of a record.
func DecodeRecord(value []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(value, &wire); err != nil {
		return Record{}, errors.Wrap(errMalformedRecord, err.Error())
	}
	windows, err := decodeWindows(wire.Customers, wire.Windows)
	if err != nil {
		return Record{}, errors.Wrap(errMalformedRecord, err.Error())
	}
	return Record{Token: wire.Token, Era: wire.Era, Next: wire.Next, Windows: windows}, nil
}

// WrittenIn returns the era in which a leader wrote the record of usage reports; ok is
// false for other keys and for a malformed record.
func WrittenIn(key string, value []byte) (era int64, ok bool) {
	if key != RecordKey {
		return 0, false
	}
	var wire struct {
		Era int64 `json:"era"`
	}
	if err := json.Unmarshal(value, &wire); err != nil {
		return 0, false
	}
	return wire.Era, true
}
