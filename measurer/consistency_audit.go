package measurer

import (
	"slices"

	"github.com/endiveturn/endiveturn/groupemulator"
)

// audit compares what callers were told with the logs of the databases, after
// all load and all faults have ended.
func (c *consistencyCheck) audit(f *Fleet) {
	for service, group := range f.Groups {
		writes := group.Writes()
		c.auditCommits(service, writes)
		c.auditClaims(service, writes, group.Content())
		for id, inserts := range group.Duplicates() {
			c.violate(doubledWrite, "%s was inserted %d times: %+v", id, len(inserts), inserts)
		}
	}
}

// A commit identifies one entry of a log.
type commit struct {
	database     string
	term, offset uint64
}

// auditCommits checks that each commit holds the writes of one caller, all of
// them, and ran for the customer of that caller.
func (c *consistencyCheck) auditCommits(service string, writes []groupemulator.Write) {
	commits := make(map[commit][]string)
	for _, w := range writes {
		key := commit{database: w.Database, term: w.Term, offset: w.Offset}
		commits[key] = append(commits[key], w.ID)
		if owner := customerPattern.FindString(w.ID); owner != w.Customer {
			c.violate(wrongCustomer, "%s of %s was written for %s", w.ID, service, w.Customer)
		}
	}
	c.mu.Lock()
	claims := c.claims
	c.mu.Unlock()
	for key, ids := range commits {
		want := []string{ids[0]}
		if partner := claims[ids[0]].partner; partner != "" {
			want = append(want, partner)
		}
		slices.Sort(want)
		slices.Sort(ids)
		if !slices.Equal(ids, want) {
			c.violate(mixedTransaction, "%s %+v holds %q, want %q", service, key, ids, want)
		}
	}
}

// auditClaims checks that what callers were told is true.
func (c *consistencyCheck) auditClaims(service string, writes []groupemulator.Write, content map[string]groupemulator.Row) {
	written := make(map[string]groupemulator.Write)
	for _, w := range writes {
		written[w.ID] = w
	}
	c.mu.Lock()
	claims, counters := c.claims, c.counters
	c.mu.Unlock()
	for id, told := range claims {
		if told.service != service {
			continue
		}
		_, present := content[id]
		w, ran := written[id]
		switch {
		case told.outcome == Done && !present:
			c.violate(lostWrite, "%s of %s, written: %+v", id, service, w)
		case told.outcome == NotRun && ran:
			c.violate(falseNotRun, "%s: told %q, written %+v", id, told.told, w)
		case told.outcome == Failed && ran:
			c.violate(falseRollback, "%s: told %q, written %+v", id, told.told, w)
		}
	}
	for id, told := range counters {
		if told.service == service {
			c.auditCounter(id, *told, content[id].Amount)
		}
	}
}

// auditCounter checks that a counter holds each acknowledged increment once,
// and besides them at most those whose outcome is unknown.
func (c *consistencyCheck) auditCounter(id string, told counterClaim, got int64) {
	if got < told.acknowledged {
		c.violate(lostWrite, "counter %s holds %d of %d acknowledged increments", id, got, told.acknowledged)
	}
	if got > told.acknowledged+told.unknown {
		c.violate(doubledWrite, "counter %s holds %d, acknowledged are %d and unknown %d", id, got, told.acknowledged, told.unknown)
	}
}
