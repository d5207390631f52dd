package soaker

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// An Outcome is the outcome of a write as reported to its client.
type Outcome uint8

// The outcomes of a write.
const (
	// Unknown means that the write may or may not have run.
	Unknown Outcome = iota
	// Acknowledged means that the write was confirmed.
	Acknowledged
	// NotRun means that the refusal states that nothing has run.
	NotRun
	// RolledBack means that the write was rolled back or never committed.
	RolledBack
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"unknown", "acknowledged", "not_run", "rolled_back"}[o]
}

// A Row is a row of the table bookings.
type Row struct {
	ID, Customer string
	Amount       int64
}

// A Write is the insertion of a row, with the outcome reported to its client.
type Write struct {
	Row     Row
	Outcome Outcome
	// Partner is the id of the other row of the same transaction, or empty.
	Partner string
	// Detail names client and host, and the error that the client received.
	Detail string
}

// A Read is a completed lookup by id.
type Read struct {
	// Want is the row that the client looked up. It was acknowledged before the
	// lookup was sent.
	Want Row
	Rows []Row
	// Detail names client, session and host.
	Detail string
}

// A Request is a completed request, with the names by which it may be forbidden.
type Request struct {
	Key, Host, DataCentre string

	Sent, Done time.Time
	Detail     string
}

// Kinds of violations.
const (
	staleRead        = "stale_read"
	wrongRow         = "wrong_row"
	wrongCustomer    = "wrong_customer"
	tornTransaction  = "torn_transaction"
	lostWrite        = "lost_write"
	duplicatedWrite  = "duplicated_write"
	falseNotRun      = "false_not_run"
	falseRollback    = "false_rollback"
	unexpectedError  = "unexpected_error"
	lostAnswer       = "lost_answer"
	servedForbidden  = "served_forbidden"
	foreignServed    = "foreign_route_served"
	notServing       = "not_serving"
	unexpectedExit   = "unexpected_exit"
	stopTimedOut     = "stop_timed_out"
	notPublished     = "not_published"
	unreachableAudit = "audit_failed"
)

// A Violation is a promise that was seen to be broken.
type Violation struct {
	Kind   string
	Detail string
}

// A counter counts the increments of one row.
type counter struct{ acknowledged, unknown int64 }

// A ban is a time in which requests of a key, or through a host or the hosts of a data
// centre, must be refused.
type ban struct {
	subject  string
	from, to time.Time
	// holds reports whether the ban holds for a request that ended at a time; nil
	// means always.
	holds func(at time.Time) bool
}

// A History collects the responses that clients received and checks them against what
// clients and databases see.
type History struct {
	Logger *slog.Logger

	mu         sync.Mutex
	writes     map[string]Write
	counters   map[string]*counter
	bans       []*ban
	violations []Violation
	counts     map[string]int
}

// NewHistory returns an empty history.
func NewHistory(logger *slog.Logger) *History {
	return &History{Logger: logger, writes: make(map[string]Write), counters: make(map[string]*counter), counts: make(map[string]int)}
}

// Report records a violation.
func (h *History) Report(kind, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report(kind, format, args...)
}

func (h *History) report(kind, format string, args ...any) {
	violation := Violation{Kind: kind, Detail: fmt.Sprintf(format, args...)}
	h.violations = append(h.violations, violation)
	h.Logger.Error("violation", "kind", violation.Kind, "seen", violation.Detail)
}

// Violations returns the violations seen so far.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Violation(nil), h.violations...)
}

// Count counts an event for the report.
func (h *History) Count(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[name]++
}

// Counts returns the counted events.
func (h *History) Counts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int, len(h.counts))
	for name, n := range h.counts {
		counts[name] = n
	}
	return counts
}

// RecordWrite records the outcome of the insertion of a row.
func (h *History) RecordWrite(w Write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes[w.Row.ID] = w
	h.counts["write_"+w.Outcome.String()]++
}

// RecordIncrement records the outcome of an increment of a row.
func (h *History) RecordIncrement(id string, outcome Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counters[id] == nil {
		h.counters[id] = &counter{}
	}
	switch outcome {
	case Acknowledged:
		h.counters[id].acknowledged++
	case Unknown:
		h.counters[id].unknown++
	}
	h.counts["increment_"+outcome.String()]++
}

// CheckRead checks a lookup of an acknowledged row.
func (h *History) CheckRead(r Read) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts["read"]++
	switch {
	case len(r.Rows) == 0:
		h.report(staleRead, "%s does not see %+v", r.Detail, r.Want)
	case len(r.Rows) > 1 || r.Rows[0].ID != r.Want.ID || r.Rows[0].Amount != r.Want.Amount:
		h.report(wrongRow, "%s requested %+v and got %+v", r.Detail, r.Want, r.Rows)
	case r.Rows[0].Customer != r.Want.Customer:
		h.report(wrongCustomer, "%s requested %+v and got %+v", r.Detail, r.Want, r.Rows)
	}
}

// CheckPair checks how many of the two rows of a transaction a client sees.
func (h *History) CheckPair(first string, seen int, outcome Outcome, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts["read_pair"]++
	switch {
	case seen == 1:
		h.report(tornTransaction, "%s sees one of the two rows of %s", detail, first)
	case seen == 0 && outcome == Acknowledged:
		h.report(staleRead, "%s does not see its transaction %s", detail, first)
	}
}

// Forbid states that requests of a subject, a key, host or data centre, must be refused
// if they are sent from the given time on. The returned function lifts the ban; a
// request that ends after that is not judged, nor is one for which holds returns false.
func (h *History) Forbid(subject string, from time.Time, holds func(at time.Time) bool) (lift func(at time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := &ban{subject: subject, from: from, holds: holds}
	h.bans = append(h.bans, b)
	return func(at time.Time) {
		h.mu.Lock()
		defer h.mu.Unlock()
		b.to = at
	}
}

// CheckServed checks that a request that was served was not forbidden.
func (h *History) CheckServed(r Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts["served"]++
	for _, b := range h.bans {
		if b.subject != r.Key && b.subject != r.Host && b.subject != r.DataCentre || r.Sent.Before(b.from) || !b.to.IsZero() && r.Done.After(b.to) {
			continue
		}
		if b.holds != nil && !b.holds(r.Done) {
			h.counts["served_forbidden_excused"]++
			continue
		}
		h.report(servedForbidden, "%s was served %v after %s had to be refused", r.Detail, r.Sent.Sub(b.from), b.subject)
	}
}

// CheckFinal compares the rows that a source holds, after all load and faults have
// ended, with the outcomes reported to clients. Rows of other customers than the given
// one are expected to be missing from rows; an empty customer means all.
func (h *History) CheckFinal(source, customer string, rows []Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := make(map[string]Row, len(rows))
	for _, row := range rows {
		if customer != "" && row.Customer != customer {
			h.report(wrongCustomer, "%s returned %+v to %s", source, row, customer)
		}
		if _, ok := present[row.ID]; ok {
			h.report(duplicatedWrite, "%s holds %s twice", source, row.ID)
		}
		present[row.ID] = row
	}
	for id, w := range h.writes {
		if customer == "" || w.Row.Customer == customer {
			h.checkWrite(source, w, present, h.counters[id])
		}
	}
}

func (h *History) checkWrite(source string, w Write, present map[string]Row, c *counter) {
	row, ok := present[w.Row.ID]
	switch {
	case w.Outcome == Acknowledged && !ok:
		h.report(lostWrite, "%s lacks %+v", source, w)
		return
	case w.Outcome == NotRun && ok:
		h.report(falseNotRun, "%s holds %+v", source, w)
	case w.Outcome == RolledBack && ok:
		h.report(falseRollback, "%s holds %+v", source, w)
	}
	if w.Partner != "" {
		if _, partner := present[w.Partner]; partner != ok {
			h.report(tornTransaction, "%s holds one of the rows of %+v", source, w)
		}
	}
	switch {
	case !ok:
	case row.Customer != w.Row.Customer:
		h.report(wrongCustomer, "%s holds %+v for %+v", source, row, w)
	case c == nil && row.Amount != w.Row.Amount:
		h.report(wrongRow, "%s holds %+v for %+v", source, row, w)
	case c != nil && row.Amount < c.acknowledged:
		h.report(lostWrite, "%s holds %+v, with %d increments acknowledged", source, row, c.acknowledged)
	case c != nil && row.Amount > c.acknowledged+c.unknown:
		h.report(duplicatedWrite, "%s holds %+v, with %d increments acknowledged and %d unknown", source, row, c.acknowledged, c.unknown)
	}
}
