package groupemulator

import (
	"strconv"
	"time"
)

// statusFields are the columns of the result of an administrative query.
var statusFields = []field{
	{"name", oidText},
	{"term", oidInt8},
	{"role", oidText},
	{"primary", oidText},
	{"received", oidInt8},
	{"applied", oidInt8},
	{"log_term", oidInt8},
}

// A Status is the result of an administrative query.
type Status struct {
	// Name is the name of the database.
	Name string
	// Term is the highest term that the database has accepted.
	Term uint64
	// Role is RolePrimary only on the database that was promoted in Term.
	Role Role
	// Primary is the name of the database that this one replicates from, or its
	// own name on the primary. It is empty after the term was raised, until the
	// database is promoted, or until it follows a primary and its log is a prefix
	// of that primary's log.
	Primary string
	// Received is the number of entries in the log.
	Received uint64
	// Applied is the number of entries that are visible to reads.
	Applied uint64
	// LogTerm is the term of the last entry of the log.
	LogTerm uint64
}

// status returns the current status. The caller holds mu.
func (d *database) status() Status {
	s := Status{
		Name: d.member.Name, Term: d.term, Role: d.role, Primary: d.primary,
		Received: uint64(len(d.log)), Applied: uint64(d.applied),
	}
	if len(d.log) > 0 {
		s.LogTerm = d.log[len(d.log)-1].term
	}
	return s
}

func uintValue(u uint64) value { return value{text: strconv.FormatUint(u, 10)} }

func (s Status) row() []value {
	return []value{
		{text: s.Name},
		uintValue(s.Term),
		{text: string(s.Role)},
		{text: s.Primary},
		uintValue(s.Received),
		uintValue(s.Applied),
		uintValue(s.LogTerm),
	}
}

// equalExceptPositions reports whether term, role and primary are equal.
// Received, applied and log term are ignored.
func (s Status) equalExceptPositions(other Status) bool {
	return s.Term == other.Term && s.Role == other.Role && s.Primary == other.Primary
}

// runAdminFunction runs a query that calls an administrative function.
func (s *session) runAdminFunction(st *statement, parameters []value) (*result, *sqlError) {
	if !s.admin {
		return nil, sqlErrorf(codeNotPermitted, "permission denied for function %s", st.name)
	}
	arguments := make([]value, len(st.arguments))
	for i, a := range st.arguments {
		v, err := s.evaluate(a, nil, parameters)
		if err != nil {
			return nil, err
		}
		arguments[i] = v
	}
	status, err := s.callGroupFunction(st.name, arguments)
	if err != nil {
		return nil, err
	}
	s.lastStatus = status
	return &result{fields: statusFields, next: singleRow(status.row()), tag: "SELECT"}, nil
}

// callGroupFunction calls an administrative function and returns the status of
// the database after the call.
func (s *session) callGroupFunction(name string, arguments []value) (Status, *sqlError) {
	argumentCounts := map[string]int{"group_status": 3, "group_raise_term": 1, "group_promote": 1, "group_follow": 3}
	if n, ok := argumentCounts[name]; !ok || n != len(arguments) {
		return Status{}, sqlErrorf(codeUnknownFunction, "function %s with %d arguments does not exist", name, len(arguments))
	}
	first, err := arguments[0].int()
	if err != nil {
		return Status{}, err
	}
	switch name {
	case "group_status":
		return s.pollStatus(first, arguments[1], arguments[2])
	case "group_raise_term":
		err = s.db.raiseTerm(uint64(max(0, first)))
	case "group_promote":
		err = s.db.promote(uint64(max(0, first)))
	case "group_follow":
		err = s.db.follow(uint64(max(0, first)), arguments[1].text)
	}
	if err != nil {
		return Status{}, err
	}
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.db.status(), nil
}

// pollStatus waits until received or applied exceeds the given position, until
// the term, role or primary differs from the last status returned on this
// connection, or until the timeout expires.
func (s *session) pollStatus(received int64, afterApplied, waitMS value) (Status, *sqlError) {
	applied, err := afterApplied.int()
	if err != nil {
		return Status{}, err
	}
	milliseconds, err := waitMS.int()
	if err != nil {
		return Status{}, err
	}
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	for expired := milliseconds <= 0; ; {
		current, changed := s.db.watchStatus()
		firstPoll := s.lastStatus == Status{}
		if expired || int64(current.Received) > received || int64(current.Applied) > applied || !firstPoll && !current.equalExceptPositions(s.lastStatus) {
			return current, nil
		}
		if firstPoll {
			s.lastStatus = current
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-s.canceled:
			return Status{}, errCanceled()
		case <-s.closed:
			return Status{}, s.endReason()
		}
	}
}

// watchStatus returns the current status and a channel that is closed when the
// status changes.
func (d *database) watchStatus() (Status, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waitingPolls++
	return d.status(), d.changed
}
