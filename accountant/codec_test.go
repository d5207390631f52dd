package accountant

import (
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestCodec guards against counts that are lost or changed between two hosts.
func TestCodec(t *testing.T) {
	wall := time.UnixMilli(1767225600123)
	tests := []struct {
		name    string
		changes Changes
	}{
		{name: "acknowledgement", changes: Changes{Acknowledged: 7, WallClock: wall, FleetTime: wall}},
		{name: "all fields", changes: Changes{
			Acknowledged: 7, WallClock: wall, FleetTime: wall.Add(-3 * time.Second), Base: 5, Version: 9, Final: 353445120,
			Sources: []SourceChanges{
				{Counts: []Count{{Customer: "c1", Window: 353445121, Requests: 1 << 40}, {Customer: "c1", Window: 353445109}, {Customer: "c2", Window: 353445120, Requests: 3}}},
				{Source: Source{Host: "h", Incarnation: "i"}, Version: 300, Counts: []Count{{Customer: "c3", Window: 353445119, Requests: 2}}},
			},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data := Encode(test.changes)
			got, err := Decode(data)
			if err != nil || !reflect.DeepEqual(got, test.changes) {
				t.Errorf("got %+v, %v, want %+v", got, err, test.changes)
			}
			for i := range data {
				if _, err := Decode(data[:i]); err != nil && !errors.Is(err, ErrMalformedChanges) {
					t.Errorf("first %d bytes: got %v, want %v", i, err, ErrMalformedChanges)
				}
			}
		})
	}
}

// TestRecordCodec guards against a record that a next leader reads differently, and against
// one that it accepts although it is incomplete.
func TestRecordCodec(t *testing.T) {
	want := Record{Token: 7, Era: 2, Next: 14, Windows: []Window{
		{Number: 11, Accepted: true}, {Number: 12, Counts: map[string]int64{"c1": 4, "c2": 5}}, {Number: 13, Counts: map[string]int64{}},
	}}
	got, err := DecodeRecord(EncodeRecord(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if era, ok := WrittenIn(RecordKey, EncodeRecord(want)); era != 2 || !ok {
		t.Errorf("got era %d, %v, want 2", era, ok)
	}
	if _, ok := WrittenIn("endiveturn/duty", EncodeRecord(want)); ok {
		t.Error("got an era for another key, want none")
	}
	for _, value := range []string{``, `[]`, `{"customers":["c1"],"windows":[{"window":1,"counts":[]}]}`} {
		if _, err := DecodeRecord([]byte(value)); !errors.Is(err, errMalformedRecord) {
			t.Errorf("%q: got %v, want %v", value, err, errMalformedRecord)
		}
	}
}

// TestMerge guards against windows that are counted again because the record of the store and
// that of a mirror each lack some, after the store came back from an older copy.
func TestMerge(t *testing.T) {
	copied := Record{Token: 5, Era: 1, Next: 12, Windows: []Window{{Number: 10, Counts: map[string]int64{"c": 1}}, {Number: 11, Counts: map[string]int64{"c": 2}}}}
	later := Record{Token: 6, Era: 1, Next: 13, Windows: []Window{{Number: 11, Accepted: true}, {Number: 12, Counts: map[string]int64{"c": 3}}}}
	want := Record{Token: 6, Era: 1, Next: 13, Windows: []Window{copied.Windows[0], later.Windows[0], later.Windows[1]}}
	for _, got := range []Record{copied.Merge(later), later.Merge(copied)} {
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}
