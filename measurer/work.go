package measurer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/groupemulator"
)

// workInterval is how often hosts are asked for their terms and connections.
const workInterval = 5 * time.Millisecond

// A workRecorder notes when databases, holders and entry hosts begin work. It
// relies on what the databases saw, not on what hosts report, except for the
// host that a term belongs to and the number of connections.
type workRecorder struct {
	mu         sync.Mutex
	statements []groupStatement
	// holders names the host by service and term.
	holders map[groupTerm]string
	// opened counts the connections of callers by host; accepted holds when
	// it was seen to grow.
	opened   map[string]int64
	accepted map[string][]time.Time
}

type groupTerm struct {
	service string
	term    uint64
}

// A groupStatement is a statement that a database began.
type groupStatement struct {
	groupTerm
	database string
	at       time.Time
}

// record is called by the databases.
func (r *workRecorder) record(run groupemulator.StatementRun) {
	service := run.Database[:strings.LastIndexByte(run.Database, '-')]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, groupStatement{
		groupTerm: groupTerm{service: service, term: run.Term}, database: run.Database, at: run.At,
	})
}

// watch asks the hosts until ctx ends.
func (r *workRecorder) watch(ctx context.Context, f *Fleet) {
	r.holders, r.opened, r.accepted = map[groupTerm]string{}, map[string]int64{}, map[string][]time.Time{}
	for ctx.Err() == nil {
		for _, h := range f.Hosts {
			r.ask(h)
		}
		pauseFor(ctx, workInterval)
	}
}

func (r *workRecorder) ask(h *FleetHost) {
	s := h.Server()
	if s == nil {
		return
	}
	terms := s.HeldTerms()
	opened := metrics.GetOrRegisterCounter("caller_connections_opened", s.Registry).Count()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, term := range terms {
		r.holders[groupTerm{service: service, term: term}] = h.Name
	}
	if opened > r.opened[h.Name] {
		r.accepted[h.Name] = append(r.accepted[h.Name], now)
	}
	r.opened[h.Name] = opened
}

// parts are hosts and databases that are taken out of service together.
type parts struct {
	hosts     []string
	databases []string
}

// A workStart is when a part began work.
type workStart struct {
	// kind is database, holder or connection.
	kind string
	// part is the database or host.
	part string
	at   time.Time
}

// startsAt returns the work that the parts began from one time to another.
func (r *workRecorder) startsAt(p parts, from, to time.Time) []workStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []workStart
	add := func(kind, part string, among []string, at time.Time) {
		if slices.Contains(among, part) && !at.Before(from) && at.Before(to) {
			starts = append(starts, workStart{kind: kind, part: part, at: at})
		}
	}
	for _, s := range r.statements {
		add("database", s.database, p.databases, s.at)
		add("holder", r.holders[s.groupTerm], p.hosts, s.at)
	}
	for host, times := range r.accepted {
		for _, at := range times {
			add("connection", host, p.hosts, at)
		}
	}
	return starts
}

// unattributed counts the statements of terms that no host was seen to hold.
func (r *workRecorder) unattributed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.statements {
		if r.holders[s.groupTerm] == "" {
			n++
		}
	}
	return n
}
