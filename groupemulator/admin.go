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

// A status is the answer to an administrative query.
type status struct {
	name     string
	term     uint64
	role     role
	primary  string
	received int64
	applied  int64
	logTerm  uint64
}

// status returns the present status. The caller holds mu.
func (d *database) status() status {
	s := status{
		name: d.member.Name, term: d.term, role: d.role, primary: d.primary,
		received: int64(len(d.log)), applied: int64(d.applied),
	}
	if len(d.log) > 0 {
		s.logTerm = d.log[len(d.log)-1].term
	}
	return s
}

func (s status) row() []value {
	return []value{
		{text: s.name},
		{text: strconv.FormatUint(s.term, 10)},
		{text: string(s.role)},
		{text: s.primary},
		intValue(s.received),
		intValue(s.applied),
		{text: strconv.FormatUint(s.logTerm, 10)},
	}
}

// sameRole reports whether nothing but positions differs.
func (s status) sameRole(other status) bool {
	return s.term == other.term && s.role == other.role && s.primary == other.primary
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
func (s *session) callGroup(name string, arguments []value) (status, *sqlError) {
	counts := map[string]int{"group_status": 3, "group_raise_term": 1, "group_promote": 1, "group_follow": 3}
	if n, ok := counts[name]; !ok || n != len(arguments) {
		return status{}, failf(codeUnknownFunction, "function %s with %d arguments does not exist", name, len(arguments))
	}
	first, err := arguments[0].int()
	if err != nil {
		return status{}, err
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
		return status{}, err
	}
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	return s.db.status(), nil
}

// poll waits until a position is beyond the given ones, the term, role or
// primary differs from the last status of the connection, or the time is over.
func (s *session) poll(received int64, afterApplied, waitMS value) (status, *sqlError) {
	applied, err := afterApplied.int()
	if err != nil {
		return status{}, err
	}
	milliseconds, err := waitMS.int()
	if err != nil {
		return status{}, err
	}
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	for over := milliseconds <= 0; ; {
		now, changed := s.db.observe()
		first := s.reported == status{}
		if over || now.received > received || now.applied > applied || !first && !now.sameRole(s.reported) {
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
			return status{}, errCanceled()
		case <-s.closed:
			return status{}, s.ended()
		}
	}
}

// observe returns the present status and a channel that is closed at its next
// change.
func (d *database) observe() (status, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.polls++
	return d.status(), d.changed
}
