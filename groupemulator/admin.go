package groupemulator

import (
	"strconv"
	"time"
)

// statusFields are the columns of the answers to administrative queries.
var statusFields = []field{
	{"name", oidText},
	{"term", oidInt8},
	{"role", oidText},
	{"primary", oidText},
	{"received", oidInt8},
	{"applied", oidInt8},
	{"log_term", oidInt8},
}

// A Status is the answer to an administrative query.
type Status struct {
	// Name is the name of the database.
	Name string
	// Term is the highest term that the database has accepted.
	Term uint64
	// Role is RolePrimary only on the database that was promoted in Term.
	Role Role
	// Primary names the database that this one follows, or itself. It is empty
	// after a raise until the database is promoted, or follows with a log that
	// is a prefix of the primary's.
	Primary string
	// Received is the number of entries that the log holds.
	Received uint64
	// Applied is the number of entries that reads see.
	Applied uint64
	// LogTerm is the term of the last entry.
	LogTerm uint64
}

// status returns the present status. The caller holds mu.
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

// sameRole reports whether nothing but positions differs.
func (s Status) sameRole(other Status) bool {
	return s.Term == other.Term && s.Role == other.Role && s.Primary == other.Primary
}

// administer runs a query of a function of the group.
func (s *session) administer(st *statement, parameters []value) (*result, *sqlError) {
	if !s.admin {
		return nil, failf(codeNotPermitted, "permission denied for function %s", st.name)
	}
	arguments := make([]value, len(st.arguments))
	for i, a := range st.arguments {
		v, err := s.evaluate(a, nil, parameters)
		if err != nil {
			return nil, err
		}
		arguments[i] = v
	}
	answer, err := s.callGroup(st.name, arguments)
	if err != nil {
		return nil, err
	}
	s.reported = answer
	return &result{fields: statusFields, next: once(answer.row()), tag: "SELECT"}, nil
}

// callGroup runs a function of the group and returns the status after it.
func (s *session) callGroup(name string, arguments []value) (Status, *sqlError) {
	counts := map[string]int{"group_status": 3, "group_raise_term": 1, "group_promote": 1, "group_follow": 3}
	if n, ok := counts[name]; !ok || n != len(arguments) {
		return Status{}, failf(codeUnknownFunction, "function %s with %d arguments does not exist", name, len(arguments))
	}
	first, err := arguments[0].int()
	if err != nil {
		return Status{}, err
	}
	switch name {
	case "group_status":
		return s.poll(first, arguments[1], arguments[2])
	case "group_raise_term":
		err = s.db.raise(uint64(max(0, first)))
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

// poll waits until a position is beyond the given ones, the term, role or
// primary differs from the last status of the connection, or the time is over.
func (s *session) poll(received int64, afterApplied, waitMS value) (Status, *sqlError) {
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
	for over := milliseconds <= 0; ; {
		now, changed := s.db.observe()
		first := s.reported == Status{}
		if over || int64(now.Received) > received || int64(now.Applied) > applied || !first && !now.sameRole(s.reported) {
			return now, nil
		}
		if first {
			s.reported = now
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-s.canceled:
			return Status{}, errCanceled()
		case <-s.closed:
			return Status{}, s.ended()
		}
	}
}

// observe returns the present status and a channel that is closed at its next
// change.
func (d *database) observe() (Status, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.polls++
	return d.status(), d.changed
}
