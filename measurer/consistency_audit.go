package measurer

import (
	"slices"

	"github.com/endiveturn/endiveturn/groupemulator"
)

// audit compares the outcomes reported to clients with the logs of the
// databases. It runs after all load and all faults have ended.
func (c *consistencyCheck) audit(f *Fleet) {
	for service, group := range f.Groups {
		writes := group.Writes()
		c.auditCommits(service, writes)
		c.auditWrites(service, writes, group.Rows())
		for id, inserts := range group.Duplicates() {
			c.recordViolation(duplicatedWrite, "%s was inserted %d times: %+v", id, len(inserts), inserts)
		}
	}
}

// A commit identifies one entry of a database's log.
type commit struct {
	database     string
	term, offset uint64
}

// auditCommits checks that each commit holds all the writes of one transaction and
// no others, and that each write ran for the customer of its client.
func (c *consistencyCheck) auditCommits(service string, writes []groupemulator.Write) {
	commits := make(map[commit][]string)
	for _, w := range writes {
		key := commit{database: w.Database, term: w.Term, offset: w.Offset}
		commits[key] = append(commits[key], w.ID)
		if owner := customerPattern.FindString(w.ID); owner != w.Customer {
			c.recordViolation(wrongCustomer, "%s of %s was written for %s", w.ID, service, w.Customer)
		}
	}
	c.mu.Lock()
	reported := c.reported
	c.mu.Unlock()
	for key, ids := range commits {
		want := []string{ids[0]}
		if partner := reported[ids[0]].partner; partner != "" {
			want = append(want, partner)
		}
		slices.Sort(want)
		slices.Sort(ids)
		if !slices.Equal(ids, want) {
			c.recordViolation(mixedTransaction, "%s %+v holds %q, want %q", service, key, ids, want)
		}
	}
}

// auditWrites checks the outcomes reported to clients against the log.
func (c *consistencyCheck) auditWrites(service string, writes []groupemulator.Write, rows map[string]groupemulator.Row) {
	written := make(map[string]groupemulator.Write)
	for _, w := range writes {
		written[w.ID] = w
	}
	c.mu.Lock()
	reported, counters := c.reported, c.counters
	c.mu.Unlock()
	for id, report := range reported {
		if report.service != service {
			continue
		}
		_, present := rows[id]
		w, ran := written[id]
		switch {
		case report.outcome == Done && !present:
			c.recordViolation(lostWrite, "%s of %s, written: %+v", id, service, w)
		case report.outcome == NotRun && ran:
			c.recordViolation(falseNotRun, "%s: client got %q, written %+v", id, report.errText, w)
		case report.outcome == Failed && ran:
			c.recordViolation(falseRollback, "%s: client got %q, written %+v", id, report.errText, w)
		}
	}
	for id, report := range counters {
		if report.service == service {
			c.auditCounter(id, *report, rows[id].Amount)
		}
	}
}

// auditCounter checks that a counter contains every acknowledged increment, and
// beyond them at most those whose outcome is unknown.
func (c *consistencyCheck) auditCounter(id string, report reportedCounter, got int64) {
	if got < report.acknowledged {
		c.recordViolation(lostWrite, "counter %s holds %d of %d acknowledged increments", id, got, report.acknowledged)
	}
	if got > report.acknowledged+report.unknown {
		c.recordViolation(duplicatedWrite, "counter %s holds %d, with %d acknowledged and %d unknown increments", id, got, report.acknowledged, report.unknown)
	}
}
