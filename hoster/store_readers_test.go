package hoster

import (
	"fmt"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/timekeeper"
)

// TestStoreReaders guards against a fleet whose hosts all list and watch the store when
// the hub is lost, against one in which no host does, and against hosts that never read
// it because they reach none of the readers.
func TestStoreReaders(t *testing.T) {
	const hosts = 195
	tests := []struct {
		name    string
		viewAge time.Duration
		// atLeast and atMost bound the number of hosts that read the store.
		atLeast, atMost int
	}{
		{name: "hub", viewAge: 100 * time.Millisecond, atLeast: 1, atMost: 1},
		{name: "hub lost", viewAge: time.Second, atLeast: storeReaders, atMost: storeReaders + 1},
		{name: "no reader reached for a time", viewAge: readerGrace + readerSpread/2, atLeast: hosts / 3, atMost: 2 * hosts / 3},
		{name: "no reader reached for long", viewAge: readerGrace + 2*readerSpread, atLeast: hosts, atMost: hosts},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newTestHost(hosts)
			h.mirror.Merge(nil, 3, timekeeper.Now().Add(-test.viewAge))
			readers := 0
			for i := range hosts {
				h.Settings.Host = fmt.Sprint("h", i)
				if h.readsStore() {
					readers++
				}
			}
			if readers < test.atLeast || readers > test.atMost {
				t.Errorf("got %d readers, want %d to %d", readers, test.atLeast, test.atMost)
			}
		})
	}
}
