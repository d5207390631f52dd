package measurer

import (
	"testing"
	"time"
)

// Guards against a host that is cut off from the others, but not from the
// databases and the store, and takes services from their holder.
func TestHostThatIsCutOffTakesNothing(t *testing.T) {
	shape := Today()
	shape.Hosts, shape.Services = 3, 1
	f := newTestFleet(t, shape)
	group := f.Groups[ServiceName(1)]
	holder := f.HolderOf(ServiceName(1))
	for _, h := range f.Hosts {
		if h == holder {
			continue
		}
		before := len(group.Promotions())
		f.CutFromPeers(h, true)
		time.Sleep(2 * time.Second)
		f.CutFromPeers(h, false)
		time.Sleep(time.Second)
		if got := len(group.Promotions()); got != before {
			t.Errorf("%s was cut off: got %d promotions, want none", h.Name, got-before)
		}
	}
}
