package director

import (
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
)

// A primaryRef is the reference of one operation to the primary that it uses.
// Once the reference is fenced, the operation must send nothing more.
type primaryRef struct {
	database *database
	// epoch is that of the service when the database was the primary.
	epoch uint64
	// conn is closed to abort the operation when a former primary must no
	// longer be used.
	conn *connector.Conn
}

// setPrimary sets the primary from the primary assignment. References to a
// former primary are ended: at once if the primary was replaced, or at the end of the
// assignment's grace period if it is being replaced.
func (s *service) setPrimary(catalog *cataloger.Catalog) {
	formerTerm := s.assignment.Term
	s.setAssignment(catalog.Assignments[s.name])
	var next *database
	if endpoint, ok := catalog.PrimaryOf(s.name); ok && !catalog.Evacuated[endpoint.DataCentre] {
		next = s.databases[endpointKeyOf(endpoint)]
	}
	if next == s.primary && s.primaryChanged != nil {
		if s.assignment.Term != formerTerm {
			// It was replaced and promoted again since the catalog before.
			s.epoch++
			s.history.Reset()
		}
		return
	}
	former := s.primary
	s.primary, s.primarySince, s.epoch = next, s.director.Now(), s.epoch+1
	if next != nil {
		s.history.Reset()
	}
	if s.primaryChanged != nil {
		close(s.primaryChanged)
	}
	s.primaryChanged = make(chan struct{})
	s.graceUntil = s.endOfGrace()
	remaining := max(0, s.graceUntil.Sub(s.director.SinceBoot()))
	s.director.Logger.Info("primary_changed", "service", s.name, "from", endpointIDOf(former), "to", endpointIDOf(next),
		"lead_revision", s.assignment.Revision, "moving", s.assignment.Changing, "term", s.assignment.Term,
		"references", len(s.primaryRefs), "grace", remaining)
	if len(s.primaryRefs) > 0 {
		time.AfterFunc(remaining, s.closeFormerPrimaryConns)
	}
}

// setAssignment puts an assignment into force and signals that to operations that wait for a newer one.
func (s *service) setAssignment(assignment cataloger.PrimaryAssignment) {
	if s.assignmentChanged == nil || assignment.Revision != s.assignment.Revision {
		if s.assignmentChanged != nil {
			close(s.assignmentChanged)
		}
		s.assignmentChanged = make(chan struct{})
	}
	s.assignment = assignment
}

// awaitsAssignment reports whether this host has received a primary assignment that the catalog
// in force does not have, so that the primary in it may be a former one.
func (s *service) awaitsAssignment() bool {
	return s.director.AssignmentRevision != nil && s.director.AssignmentRevision(s.name) > s.assignment.Revision
}

// endOfGrace returns until when transactions may continue with the primary that is being
// replaced, or the zero time. The leader waits from when it recorded the change, so this host
// does not count from when it learned of it, which may be much later.
func (s *service) endOfGrace() time.Time {
	if !s.assignment.Changing || s.assignment.GracePeriod == 0 || s.director.LocalTime == nil {
		return time.Time{}
	}
	recordedAt, ok := s.director.LocalTime(s.assignment.RecordedAt)
	if now := s.director.SinceBoot(); !ok || recordedAt.After(now) {
		return time.Time{}
	}
	return recordedAt.Add(s.assignment.GracePeriod)
}

// inGracePeriod reports whether transactions may continue with a database that is being
// replaced as the primary.
func (s *service) inGracePeriod(db *database) bool {
	return s.assignment.Changing && s.assignment.ID == db.id && s.director.SinceBoot().Before(s.graceUntil)
}

func endpointIDOf(db *database) string {
	if db == nil {
		return ""
	}
	return db.id
}

// closeFormerPrimaryConns closes the connections of all references to a
// database other than the primary.
func (s *service) closeFormerPrimaryConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := 0
	for ref := range s.primaryRefs {
		if ref.database != s.primary && ref.conn != nil {
			_ = ref.conn.Close()
			closed++
		}
	}
	if closed > 0 {
		s.director.Logger.Info("former_primary_connections_closed", "service", s.name, "lead_revision", s.assignment.Revision, "connections", closed)
	}
}

// acquirePrimary returns a new reference to the primary, or nil and a channel
// that is closed when the primary or its assignment changes. The channel is nil too if this
// host's view is out of date, because it is not known when the view will be
// current again.
func (s *service) acquirePrimary() (*primaryRef, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, changed := s.usablePrimary()
	if primary == nil {
		return nil, changed
	}
	ref := &primaryRef{database: primary, epoch: s.epoch}
	if s.primaryRefs == nil {
		s.primaryRefs = make(map[*primaryRef]struct{})
	}
	s.primaryRefs[ref] = struct{}{}
	return ref, nil
}

// usablePrimary returns the primary, or nil and the channel of acquirePrimary if no operation
// may use it now. The caller holds mu.
func (s *service) usablePrimary() (*database, chan struct{}) {
	if s.primary == nil {
		return nil, s.primaryChanged
	}
	if s.awaitsAssignment() {
		return nil, s.assignmentChanged
	}
	if !s.viewIsCurrent() {
		return nil, nil
	}
	return s.primary, nil
}

// viewIsCurrent reports whether this host's view is recent enough that it would
// contain a replacement of the primary.
func (s *service) viewIsCurrent() bool {
	return s.director.SinceBoot().Sub(s.director.ViewCompleteAsOf()) < MaxViewAge
}

// maxAssignmentWait is how long a statement of an open operation waits until the catalog in
// force has the assignment that this host has received.
const maxAssignmentWait = 200 * time.Millisecond

// bindPrimaryRef binds the connection to the reference and verifies the reference.
func (s *service) bindPrimaryRef(ref *primaryRef, conn *connector.Conn) error {
	s.mu.Lock()
	ref.conn = conn
	s.mu.Unlock()
	return s.verifyPrimaryRef(ref)
}

// verifyPrimaryRef returns errFenced or errViewTooOld if the database of the reference may not be
// used as the primary now. It waits while the catalog in force lacks the newest assignment.
func (s *service) verifyPrimaryRef(ref *primaryRef) error {
	changed, err := s.checkPrimaryRef(ref)
	if changed == nil {
		return err
	}
	timer := time.NewTimer(maxAssignmentWait)
	defer timer.Stop()
	for changed != nil {
		select {
		case <-changed:
			changed, err = s.checkPrimaryRef(ref)
		case <-timer.C:
			return errViewTooOld
		}
	}
	return err
}

// checkPrimaryRef returns the result of verifyPrimaryRef, or a channel that is closed when
// another assignment comes into force.
func (s *service) checkPrimaryRef(ref *primaryRef) (changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.awaitsAssignment():
		return s.assignmentChanged, nil
	case !s.viewIsCurrent():
		return nil, errViewTooOld
	case ref.database != s.primary && !s.inGracePeriod(ref.database):
		return nil, errFenced
	default:
		return nil, nil
	}
}

func (s *service) releasePrimary(ref *primaryRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.primaryRefs, ref)
}

// ReleasedRevisions returns, for each service whose primary is being replaced,
// the revision of the assignment in force here if no operation holds a
// reference to any primary. No host waits for the other services.
func (d *Director) ReleasedRevisions() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	released := make(map[string]int64)
	for name, s := range d.services {
		if revision, ok := s.releasedRevision(); ok {
			released[name] = revision
		}
	}
	return released
}

func (s *service) releasedRevision() (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ref := range s.primaryRefs {
		if ref.database != s.primary {
			return 0, false
		}
	}
	return s.assignment.Revision, s.assignment.Changing
}
