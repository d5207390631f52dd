package exchanger

import (
	"reflect"
	"testing"
	"time"
)

// TestCodec guards against fields that are lost or changed between two hosts.
func TestCodec(t *testing.T) {
	tests := []struct {
		name    string
		message Message
	}{
		{name: "unknown age", message: Message{Report: Report{
			Host: "a", Age: -1, MajorityHeardAge: -1, Usages: map[string]Usage{}, Primaries: map[string]PrimaryHealth{}, ReleasedRevisions: map[string]int64{},
		}}},
		{name: "all fields", message: Message{
			Report: Report{
				Host: "a", Incarnation: "i1", Address: "10.0.0.1:1", DataCentre: "dc1", Revision: 77, Age: 12 * time.Millisecond, Stopping: true, Digest: 99, Uptime: time.Minute, Hosts: 4,
				StoppingHosts: []string{"b", "c"}, Listed: true, MajorityHeardAge: 340 * time.Millisecond, VotersRevision: 1<<40 + 7,
				Usages: map[string]Usage{"c1": {Used: 1000, Demand: 12.5}},
				Primaries: map[string]PrimaryHealth{
					"s1": {ID: "d1", StartedAtMillis: 1781000000000, SinceSuccess: -1, SinceFailure: time.Second},
					"s2": {ID: "d2", SinceSuccess: 3 * time.Millisecond, RefusesWrites: true},
				},
				ReleasedRevisions: map[string]int64{"s1": 9}, Counts: []byte{8, 0, 255},
				Unreachable: map[string][]string{"s1": {"d3", "d4"}},
			},
			Sequence: 7, Echo: 8, AcceptsCompression: true, CompleteAfter: 75,
			Records: []Record{{Key: "k", Value: []byte{0, 255}, Revision: 3}, {Key: "gone", Revision: 4, Deleted: true}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := encoding{}.Marshal(&test.message)
			if err != nil {
				t.Fatal(err)
			}
			var got Message
			if err := (encoding{}).Unmarshal(data, &got); err != nil {
				t.Fatal(err)
			}
			if want := test.message; !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// FuzzCodec guards against input that makes a host panic.
func FuzzCodec(f *testing.F) {
	f.Add(appendMessage(nil, &Message{Report: Report{Host: "a", ReleasedRevisions: map[string]int64{"s": 1}}}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Any error is acceptable, only a panic is a failure.
		_, _ = parseMessage(data)
	})
}
