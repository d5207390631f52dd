package director

import (
	"context"
	"sync"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/executor"
)

// MaxViewAge is the age of a host's view of the primaries at which it
// stops using them. Whoever replaces a primary waits longer than this for
// hosts that do not confirm.
const MaxViewAge = time.Second

// A service is this host's view of one group of databases.
type service struct {
	name     string
	director *Director

	mu        sync.Mutex
	databases map[endpointKey]*database
	// primary is the database that may be used as primary; nil while there is
	// none.
	primary *database
	// lead is the record by which primary was chosen.
	lead    cataloger.Lead
	history History
	// uses are the operations that use a primary, present or former.
	uses map[*use]struct{}
	// changed is closed and replaced when primary changes.
	changed chan struct{}
	catalog *cataloger.Catalog
	// home is the ID of the replica that this host reads from.
	home string
}

// A use is one operation on a primary. A fenced use must not go on.
type use struct {
	database *database
	// conn is closed when the use has to end at once.
	conn *connector.Conn
}

// update takes in a new catalog.
func (s *service) update(catalog *cataloger.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = catalog
	present := make(map[endpointKey]bool)
	for _, endpoint := range catalog.Endpoints[s.name] {
		present[keyOf(endpoint)] = true
		s.register(endpoint)
	}
	now := s.director.Now()
	for key, db := range s.databases {
		if present[key] {
			db.gone = time.Time{}
		} else if db.gone.IsZero() {
			db.gone = now
			db.pool.CloseIdle(0)
		}
	}
	s.setPrimary(catalog)
	s.setShares(catalog)
}

// setShares deals the connections of the databases to the hosts. While the
// primary is being replaced they stay as they were.
func (s *service) setShares(catalog *cataloger.Catalog) {
	if s.primary == nil || catalog.Configuration == nil {
		return
	}
	var usable []cataloger.Endpoint
	for _, e := range catalog.Endpoints[s.name] {
		if !catalog.Evacuated[e.DataCentre] {
			usable = append(usable, e)
		}
	}
	limit := catalog.Configuration.Services[s.name].MaxConnections
	shares := ShareOut(s.director.Host, catalog.Sharers, usable, s.primary.endpoint.ID, limit)
	s.home = shares.Home
	for _, db := range s.databases {
		db.pool.SetBounds(shares.Connections[db.endpoint.ID])
		db.gate.setLimit(shares.Statements[db.endpoint.ID])
	}
}

// register returns the database of an entry, with a pool if it is new.
func (s *service) register(endpoint cataloger.Endpoint) *database {
	if db, ok := s.databases[keyOf(endpoint)]; ok && db.endpoint.Address == endpoint.Address {
		db.endpoint = endpoint
		return db
	}
	db := &database{endpoint: endpoint, gate: &gate{}}
	if endpoint.Cold > 0 {
		db.coldUntil = s.director.Now().Add(endpoint.Cold)
	}
	db.pool = &connector.Pool{
		Now: s.director.Now,
		Dial: func(ctx context.Context, customer string) (connector.Transport, error) {
			return s.director.Dial(ctx, endpoint, customer)
		},
	}
	s.databases[keyOf(endpoint)] = db
	return db
}

// setPrimary follows the lead. Uses of a former primary end: at once if the
// primary was replaced, and within the lead's grace if it is being replaced.
func (s *service) setPrimary(catalog *cataloger.Catalog) {
	s.lead = catalog.Leads[s.name]
	var next *database
	if endpoint, ok := catalog.PrimaryOf(s.name); ok && !catalog.Evacuated[endpoint.DataCentre] {
		next = s.databases[keyOf(endpoint)]
	}
	if next == s.primary && s.changed != nil {
		return
	}
	former := s.primary
	s.primary = next
	if next != nil {
		s.history.Reset()
	}
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	s.director.Logger.Info("primary_changed", "service", s.name, "from", nameOf(former), "to", nameOf(next),
		"lead_revision", s.lead.Revision, "moving", s.lead.Moving, "term", s.lead.Term)
	grace := time.Duration(0)
	if s.lead.Moving {
		grace = s.lead.Grace
	}
	if len(s.uses) > 0 {
		time.AfterFunc(grace, s.endFormerUses)
	}
}

func nameOf(db *database) string {
	if db == nil {
		return ""
	}
	return db.endpoint.ID
}

// endFormerUses cuts the connections of uses of any database but the primary.
func (s *service) endFormerUses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for u := range s.uses {
		if u.database != s.primary && u.conn != nil {
			_ = u.conn.Close()
		}
	}
}

// acquirePrimary registers a use of the primary, or returns nil with a channel
// that tells of a change. There is no channel while the view is not current:
// when it will be is not known.
func (s *service) acquirePrimary() (*use, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary == nil {
		return nil, s.changed
	}
	if !s.viewIsCurrent() {
		return nil, nil
	}
	u := &use{database: s.primary}
	if s.uses == nil {
		s.uses = make(map[*use]struct{})
	}
	s.uses[u] = struct{}{}
	return u, nil
}

// viewIsCurrent reports whether this host would know by now if the primary was
// being replaced.
func (s *service) viewIsCurrent() bool {
	return s.director.SinceBoot().Sub(s.director.Current()) < MaxViewAge
}

// inForce reports whether the use may send another statement. It also binds
// the connection to the use.
func (s *service) inForce(u *use, conn *connector.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.conn = conn
	if !s.viewIsCurrent() {
		return false
	}
	return u.database == s.primary || (s.lead.Moving && s.lead.ID == u.database.endpoint.ID && s.lead.Grace > 0)
}

func (s *service) release(u *use) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.uses, u)
}

// Released returns, by service, the revision of the lead in force here if no
// operation uses any other primary.
func (d *Director) Released() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	released := make(map[string]int64)
	for name, s := range d.services {
		if revision, ok := s.released(); ok {
			released[name] = revision
		}
	}
	return released
}

func (s *service) released() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for u := range s.uses {
		if u.database != s.primary {
			return 0, false
		}
	}
	return s.lead.Revision, s.lead.Revision > 0
}

// candidates returns the databases that take part in choosing, and their state.
func (s *service) candidates(customer string) ([]Candidate, []*database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	list := make([]Candidate, 0, len(s.databases))
	databases := make([]*database, 0, len(s.databases))
	for _, db := range s.databases {
		if !db.gone.IsZero() || s.catalog.Evacuated[db.endpoint.DataCentre] {
			continue
		}
		list = append(list, Candidate{
			Endpoint: db.endpoint,
			Primary:  db == s.primary,
			Load:     db.running,
			Idle:     db.pool.Has(customer),
			Failing:  now.Before(db.avoidUntil),
			Busy:     now.Before(db.busyUntil),
			Lagging:  now.Before(db.laggingUntil),
			Cold:     now.Before(db.coldUntil) && now.Before(db.coldNext),
			Local:    db.endpoint.DataCentre == s.director.DataCentre,
			Latency:  db.recentLatency(now),
			Home:     db.endpoint.ID == s.home,
		})
		databases = append(databases, db)
	}
	return list, databases
}

// floor returns the position that a read must see on a route.
func (s *service) floor(maxStaleness time.Duration) (executor.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.Floor(s.director.SinceBoot().Add(-maxStaleness))
}

func (s *service) tend(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.director.Now()
	for key, db := range s.databases {
		db.pool.CloseIdle(idle)
		if !db.gone.IsZero() && now.Sub(db.gone) > drainedAge {
			db.pool.Close()
			delete(s.databases, key)
		}
	}
}
