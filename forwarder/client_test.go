package forwarder

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// TestSuspicionsAreForgotten guards against memory that grows with each address that a
// process of another host ever had.
func TestSuspicionsAreForgotten(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.client.init()
		for i := range 1000 {
			f.client.suspect(Target{Name: "pool", Incarnation: fmt.Sprint(i), Address: fmt.Sprint("pool:", i)}, errors.New("no response"))
			time.Sleep(time.Second)
		}
		if got, limit := len(f.client.generations), int(generationRetention/time.Second)+1; got > limit {
			t.Errorf("addresses: got %d, want at most %d", got, limit)
		}
	})
}
