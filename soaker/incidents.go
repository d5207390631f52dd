package soaker

import (
	"sync"
	"time"
)

// incidentGrace is how long after its end an incident still explains an error, since
// clients read the effects later.
const incidentGrace = 2 * time.Second

// An incident is a time in which something was disturbed by the soak.
type incident struct {
	target   string
	from, to time.Time
}

// Incidents records what the soak has disturbed and when, so that effects that a fault
// explains can be distinguished from others.
type Incidents struct {
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	mu   sync.Mutex
	list []*incident
}

func (i *Incidents) now() time.Time {
	if i.Now == nil {
		return time.Now()
	}
	return i.Now()
}

// Begin records that a target is disturbed until the returned function is called. It
// is called before the fault is injected.
func (i *Incidents) Begin(target string) (end func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry := &incident{target: target, from: i.now()}
	i.list = append(i.list, entry)
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		entry.to = i.now()
	}
}

// Disturbed reports whether one of the targets was disturbed at some time between
// from and to, or within the grace before.
func (i *Incidents) Disturbed(from, to time.Time, targets ...string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, entry := range i.list {
		for _, target := range targets {
			if entry.target == target && !entry.from.After(to) && (entry.to.IsZero() || entry.to.Add(incidentGrace).After(from)) {
				return true
			}
		}
	}
	return false
}
