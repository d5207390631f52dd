package accountant

import (
	"sync"
	"time"
)

// A Source is a process that counts requests. A host that restarts is another source.
type Source struct {
	Host        string
	Incarnation string
}

// A cell is the number of requests of a customer in a window of a source.
type cell struct {
	count int64
	// version is that of the book when the count changed last.
	version uint64
	// sourceVersion is a version of the source's own book as of which the count is exact.
	// It is not used for the own counts.
	sourceVersion uint64
}

// A windowCounts holds the counts of one window of a source by customer.
type windowCounts struct {
	cells map[string]cell
	// version is the greatest one of the cells.
	version uint64
	// running is the number of statements whose outcome is not known yet.
	running int
}

func (w *windowCounts) set(customer string, c cell) {
	w.cells[customer] = c
	w.version = c.version
}

// A sourceCounts holds what is known of the counts of a source.
type sourceCounts struct {
	windows map[int64]*windowCounts
	// final is the last window whose counts no longer change.
	final int64
	// seen is the latest version of the source's book that was received, and complete the
	// one up to which no change is missing.
	seen, complete uint64
	heardAt        time.Time
	// relayed is set if this host passes the counts on to the collector.
	relayed bool
}

// window returns the counts of a window, which it adds if necessary.
func (s *sourceCounts) window(number int64) *windowCounts {
	w, ok := s.windows[number]
	if !ok {
		w = &windowCounts{cells: make(map[string]cell)}
		s.windows[number] = w
	}
	return w
}

// orphanAge is the time since the last report of a host after which, when the collector
// changes, the counts of that host are passed on to the next one: three intervals of
// reports.
const orphanAge = 600 * time.Millisecond

// A Book holds the counts of this process and those that other hosts have reported. Its
// exported fields are set before use. It is safe for concurrent use.
type Book struct {
	Schedule Schedule
	Clock    *Clock
	// Self is this process.
	Self Source
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now func() time.Time

	mu sync.Mutex
	// version numbers the changes of all cells. It is at least 1 once changes were sent.
	version uint64
	sources map[Source]*sourceCounts
	// latest holds the process of each host that reported last.
	latest map[string]Source
	// acknowledged holds, by host, the version up to which the host has this book.
	acknowledged map[string]uint64
	// oldest is the first window that is kept. Of other sources, windows below settled
	// are not needed any more.
	oldest, settled int64
	// reportedFinal is the last own window that was reported as final.
	reportedFinal int64
	collector     string
	// former are the counts of a checkpoint.
	former formerCounts
}

// Begin counts a request that is sent now, and returns its window.
func (b *Book) Begin(customer string) (window int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	window = b.Schedule.Number(b.Clock.Time())
	if window == b.reportedFinal {
		// The fleet's time has gone back a little, and the window may be closed already.
		window++
	}
	b.prune(window)
	w := b.source(b.Self).window(window)
	w.running++
	b.version++
	w.set(customer, cell{count: w.cells[customer].count + 1, version: b.version})
	return window
}

// End records the outcome of a request that was counted: whether a database may have run
// it.
func (b *Book) End(customer string, window int64, mayHaveRun bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.source(b.Self).windows[window]
	if !ok {
		return
	}
	w.running--
	if !mayHaveRun {
		b.version++
		w.set(customer, cell{count: w.cells[customer].count - 1, version: b.version})
	}
}

func (b *Book) source(id Source) *sourceCounts {
	s, ok := b.sources[id]
	if !ok {
		if b.sources == nil {
			b.sources, b.latest, b.acknowledged = make(map[Source]*sourceCounts), make(map[string]Source), make(map[string]uint64)
		}
		s = &sourceCounts{windows: make(map[int64]*windowCounts)}
		b.sources[id] = s
	}
	return s
}

// prune removes the windows that are not kept, as of the present window.
func (b *Book) prune(present int64) {
	oldest := present - keptWindows + 1
	if oldest <= b.oldest {
		return
	}
	b.oldest = oldest
	for id, s := range b.sources {
		for number := range s.windows {
			if number < oldest {
				delete(s.windows, number)
			}
		}
		if len(s.windows) == 0 && id != b.Self && b.latest[id.Host] != id {
			delete(b.sources, id)
		}
	}
}

// Settle drops what other sources counted in the windows below the given one, which will not
// be counted again.
func (b *Book) Settle(next int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settled = max(b.settled, next)
	for id, s := range b.sources {
		if id == b.Self {
			continue
		}
		for number := range s.windows {
			if number < b.settled {
				delete(s.windows, number)
			}
		}
	}
}

// ownFinal returns the last window in which no statement of this process is running any
// more and none will begin.
func (b *Book) ownFinal(now time.Time) int64 {
	final := b.Schedule.Number(now) - 1
	for number, w := range b.source(b.Self).windows {
		if w.running > 0 {
			final = min(final, number-1)
		}
	}
	return final
}

// reportFinal returns ownFinal for a report, after which nothing is added to that window.
func (b *Book) reportFinal(now time.Time) int64 {
	final := b.ownFinal(now)
	b.reportedFinal = max(b.reportedFinal, final)
	return final
}

// SetCollector sets the host that collects the counts, "" if there is none. When it
// changes, the counts of the former one and of hosts that have stopped reporting are
// passed on to the next one.
func (b *Book) SetCollector(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if host == b.collector || host == "" {
		return
	}
	now := b.Now()
	for id, s := range b.sources {
		silent := now.Sub(s.heardAt) > orphanAge || id.Host == b.collector
		if id != b.Self && silent && host != b.Self.Host {
			b.relay(s)
		}
	}
	b.collector = host
}

// relay marks the counts of a source as changed, so that the collector gets them.
func (b *Book) relay(s *sourceCounts) {
	s.relayed = true
	for _, w := range s.windows {
		for customer, c := range w.cells {
			b.version++
			c.version = b.version
			w.set(customer, c)
		}
	}
}

// Changes returns the changes that a host has not acknowledged, with the counts of this
// process and those that it passes on.
func (b *Book) Changes(receiver string) Changes {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Time()
	b.prune(b.Schedule.Number(now))
	// Version 0 stands for changes without counts.
	b.version = max(b.version, 1)
	changes := b.acknowledgement(receiver)
	changes.Base, changes.Version, changes.Final = b.acknowledged[receiver], b.version, b.reportFinal(now)
	for id, s := range b.sources {
		switch {
		case id == b.Self:
			changes.Sources = append(changes.Sources, SourceChanges{Counts: s.changedSince(changes.Base)[0]})
		case s.relayed && id.Host != receiver:
			for version, counts := range s.changedSince(changes.Base) {
				changes.Sources = append(changes.Sources, SourceChanges{Source: id, Version: version, Counts: counts})
			}
		}
	}
	return changes
}

// Acknowledgement returns changes that only acknowledge those of the receiver.
func (b *Book) Acknowledgement(receiver string) Changes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acknowledgement(receiver)
}

func (b *Book) acknowledgement(receiver string) Changes {
	changes := Changes{}
	if s, ok := b.sources[b.latest[receiver]]; ok {
		changes.Acknowledged = s.complete
	}
	return changes
}

// changedSince returns the counts that changed after a version of this book, by the version
// of the source's book as of which they are exact, 0 for the own counts.
func (s *sourceCounts) changedSince(version uint64) map[uint64][]Count {
	counts := make(map[uint64][]Count)
	for number, w := range s.windows {
		if w.version <= version {
			continue
		}
		for customer, c := range w.cells {
			if c.version > version {
				exact := s.exactAsOf(c)
				counts[exact] = append(counts[exact], Count{Customer: customer, Window: number, Requests: c.count})
			}
		}
	}
	return counts
}

// exactAsOf returns the latest version of the source's book as of which a count is known to
// be exact: what did not change up to the complete one is exact as of that one.
func (s *sourceCounts) exactAsOf(c cell) uint64 { return max(c.sourceVersion, s.complete) }

// Apply applies the changes that a process has sent. Those that arrive after later ones are
// ignored.
func (b *Book) Apply(sender Source, changes Changes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.source(sender)
	s.heardAt, s.relayed = b.Now(), false
	b.latest[sender.Host] = sender
	b.acknowledged[sender.Host] = changes.Acknowledged
	if changes.Acknowledged > b.version {
		b.acknowledged[sender.Host] = 0
	}
	if changes.Version == 0 || changes.Version < s.seen {
		return
	}
	s.seen = changes.Version
	present := b.Schedule.Number(b.Clock.Time())
	b.prune(present)
	for _, source := range changes.Sources {
		if source.Source == (Source{}) {
			source.Source, source.Version = sender, changes.Version
		}
		b.applyCounts(source, present)
	}
	if changes.Base <= s.complete {
		s.complete = changes.Version
		s.final = max(s.final, changes.Final)
	}
}

// applyCounts applies the counts of one source. Hosts that pass on the counts of a source have
// received different reports of it, so the count of its latest version is kept. The former
// release passes counts on without a version; of those the greater one is kept.
func (b *Book) applyCounts(changes SourceChanges, present int64) {
	if changes.Source == b.Self {
		return
	}
	s := b.source(changes.Source)
	for _, c := range changes.Counts {
		if c.Window < max(b.oldest, b.settled) || c.Window > present+keptWindows {
			continue
		}
		w := s.window(c.Window)
		old := w.cells[c.Customer]
		if changes.Version > s.exactAsOf(old) || changes.Version == 0 && c.Requests > old.count {
			b.version++
			w.set(c.Customer, cell{count: c.Requests, version: b.version, sourceVersion: max(changes.Version, old.sourceVersion)})
		}
	}
}

// AcknowledgedBy reports whether a host has all counts of this process.
func (b *Book) AcknowledgedBy(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acknowledged[host] >= b.version
}

// Totals returns the number of requests of each customer in a window, from all sources.
func (b *Book) Totals(window int64) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals(window)
}

// Missing returns the number of processes, by incarnation and host name, that have not yet
// reported a window as final.
func (b *Book) Missing(window int64, incarnations map[string]string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := 0
	for host, incarnation := range incarnations {
		id := Source{Host: host, Incarnation: incarnation}
		final := int64(0)
		switch s, ok := b.sources[id]; {
		case id == b.Self:
			final = b.reportFinal(b.Clock.Time())
		case ok:
			final = s.final
		}
		if final < window {
			missing++
		}
	}
	return missing
}
