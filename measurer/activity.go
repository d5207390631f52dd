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

// activityPollInterval is how often the held terms and the connections of the
// hosts are polled.
const activityPollInterval = 5 * time.Millisecond

// An activityRecorder records when databases begin statements, when holders do
// so through their databases, and when hosts accept connections of clients. It
// relies on what the databases observed rather than on what hosts report, except
// for the host that a term belongs to and the number of connections.
type activityRecorder struct {
	mu         sync.Mutex
	statements []groupStatement
	// holders maps service and term to the host that held it.
	holders map[groupTerm]string
	// openedConnections holds the number of connections that clients opened, by
	// host, and connectionTimes the times at which it was observed to have
	// grown.
	openedConnections map[string]int64
	connectionTimes   map[string][]time.Time
}

type groupTerm struct {
	service string
	term    uint64
}

// A groupStatement is a statement that a database has begun to run.
type groupStatement struct {
	groupTerm
	database string
	at       time.Time
}

// record adds a statement. The databases call it when they begin to run one.
func (r *activityRecorder) record(run groupemulator.StatementRun) {
	service := run.Database[:strings.LastIndexByte(run.Database, '-')]
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements = append(r.statements, groupStatement{
		groupTerm: groupTerm{service: service, term: run.Term}, database: run.Database, at: run.At,
	})
}

// pollHosts polls the hosts until ctx ends.
func (r *activityRecorder) pollHosts(ctx context.Context, f *Fleet) {
	r.holders, r.openedConnections, r.connectionTimes = map[groupTerm]string{}, map[string]int64{}, map[string][]time.Time{}
	for ctx.Err() == nil {
		for _, h := range f.Hosts {
			r.pollHost(h)
		}
		pauseFor(ctx, activityPollInterval)
	}
}

func (r *activityRecorder) pollHost(h *FleetHost) {
	s := h.Server()
	if s == nil {
		return
	}
	terms := s.HeldTerms()
	count := metrics.GetOrRegisterCounter("caller_connections_opened", s.Registry).Count()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, term := range terms {
		r.holders[groupTerm{service: service, term: term}] = h.Name
	}
	if count > r.openedConnections[h.Name] {
		r.connectionTimes[h.Name] = append(r.connectionTimes[h.Name], now)
	}
	r.openedConnections[h.Name] = count
}

// A nodeSet names hosts and databases that are taken out of service together.
type nodeSet struct {
	hosts     []string
	databases []string
}

// An activity is the start of one statement or connection on a node.
type activity struct {
	// kind is database, holder or connection: a statement on a database, a
	// statement by a holder, or connections that a host has accepted.
	kind string
	// node is the name of the database or host.
	node string
	at   time.Time
}

// activitiesOf returns the activities that began on the nodes at or after from
// and before to.
func (r *activityRecorder) activitiesOf(nodes nodeSet, from, to time.Time) []activity {
	r.mu.Lock()
	defer r.mu.Unlock()
	var activities []activity
	add := func(kind, node string, names []string, at time.Time) {
		if slices.Contains(names, node) && !at.Before(from) && at.Before(to) {
			activities = append(activities, activity{kind: kind, node: node, at: at})
		}
	}
	for _, s := range r.statements {
		add("database", s.database, nodes.databases, s.at)
		add("holder", r.holders[s.groupTerm], nodes.hosts, s.at)
	}
	for host, times := range r.connectionTimes {
		for _, at := range times {
			add("connection", host, nodes.hosts, at)
		}
	}
	return activities
}

// unattributedStatements returns the number of statements of terms that no host
// was observed to hold.
func (r *activityRecorder) unattributedStatements() int {
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
