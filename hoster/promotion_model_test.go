package hoster

import (
	"fmt"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/overseer"
)

// modelEffectTimeout is after what time a leader takes it that a promotion has taken effect, and
// maxModelEffect the longest time that one takes.
const (
	modelEffectTimeout = 5 * time.Second
	maxModelEffect     = 4 * time.Second
)

// A modelDatabase is a database of the one service of the model.
type modelDatabase struct {
	id      string
	primary bool
	term    uint64
	cut     bool
}

// A modelRequest is a requested promotion that has not taken effect.
type modelRequest struct {
	database string
	at       time.Time
}

// A modelGroup simulates the databases and the platform that promotes them.
type modelGroup struct {
	databases  []*modelDatabase
	promotions []modelRequest
	// record is the primary assignment in the store, without its revision.
	record cataloger.PrimaryAssignment
	// fault is the first violation of the rules, or "".
	fault string
	// resumed counts the changes that another leader completed or waited for.
	resumed int
}

func newModelGroup() modelGroup {
	g := modelGroup{record: cataloger.PrimaryAssignment{ID: "d0", Term: 1}}
	for i := range 3 {
		g.databases = append(g.databases, &modelDatabase{id: fmt.Sprint("d", i), primary: i == 0, term: 1})
	}
	return g
}

func (g *modelGroup) current() *modelDatabase {
	newest := g.databases[0]
	for _, d := range g.databases {
		if d.primary && (!newest.primary || d.term > newest.term) {
			newest = d
		}
	}
	return newest
}

// stepDatabases cuts databases off or heals them, and lets promotions take effect.
func (m *fleetModel) stepDatabases() {
	g := &m.group
	if m.random.IntN(40) == 0 {
		for _, d := range g.databases {
			d.cut = m.random.IntN(3) == 0
		}
	}
	var left []modelRequest
	for _, p := range g.promotions {
		if m.now.Before(p.at) {
			left = append(left, p)
			continue
		}
		m.takeEffect(p.database)
	}
	g.promotions = left
	current := g.current()
	for _, d := range g.databases {
		if d != current && !d.cut && !current.cut {
			d.primary, d.term = false, current.term
		}
	}
}

// takeEffect makes a database the primary of the next term, unless it is the current one.
func (m *fleetModel) takeEffect(id string) {
	g := &m.group
	current := g.current()
	if current.id == id {
		return
	}
	if !g.record.Changing && g.record.ID != id && g.fault == "" {
		g.fault = fmt.Sprintf("%s becomes the primary while %s is assigned in term %d", id, g.record.ID, g.record.Term)
	}
	for _, d := range g.databases {
		if d.id == id {
			d.primary, d.term = true, current.term+1
		}
	}
}

// responses returns what the databases respond to the leader.
func (g *modelGroup) responses() []overseer.Candidate {
	var responses []overseer.Candidate
	for _, d := range g.databases {
		r := overseer.Candidate{Endpoint: cataloger.Endpoint{ID: d.id}}
		if !d.cut {
			r.Reachable, r.IsPrimary, r.DatabaseTerm = true, d.primary, d.term
		}
		responses = append(responses, r)
	}
	return responses
}

// promote continues a change once the former primary is fenced: it waits for the promotion that
// the store records as pending or requests it again, records and requests one, or waits for its
// evidence. done is set when the change has completed.
func (m *fleetModel) promote(h *modelHost) (done bool) {
	g := &m.group
	pending := g.record.Pending
	evidence := overseer.EvidenceOf(pending.ID, pending.FormerTerm, g.responses(), h.requested && m.now.Sub(h.pendingSince) >= modelEffectTimeout)
	switch {
	case pending.ID == "":
		return m.request(h)
	case evidence == overseer.EvidenceHigherTerm, h.requested && evidence != overseer.EvidenceNone:
		return m.completeChange(h, pending, evidence)
	case m.now.Sub(h.pendingSince) >= modelEffectTimeout:
		g.record.Pending, h.requested, h.repeated = cataloger.PendingPromotion{}, false, false
	case m.random.IntN(20) == 0 && g.responds(pending.ID):
		h.requested, h.repeated, h.pendingSince = true, true, m.now
		m.send(pending.ID)
	}
	return false
}

func (g *modelGroup) responds(id string) bool {
	for _, r := range g.responses() {
		if r.Endpoint.ID == id {
			return r.Reachable
		}
	}
	return false
}

// request records a promotion of a random database that responds, and requests it. Now and then
// the leader dies in between.
func (m *fleetModel) request(h *modelHost) (done bool) {
	g := &m.group
	highest := g.record.Term
	var candidates []string
	for _, r := range g.responses() {
		highest = max(highest, r.DatabaseTerm)
		if r.Reachable {
			candidates = append(candidates, r.Endpoint.ID)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	id := candidates[m.random.IntN(len(candidates))]
	g.record.Pending = cataloger.PendingPromotion{ID: id, FormerTerm: highest}
	h.requested, h.repeated, h.pendingSince = true, false, m.now
	if m.random.IntN(10) == 0 {
		m.start(h.name)
		return false
	}
	m.send(id)
	return false
}

// send requests a promotion, which takes effect later.
func (m *fleetModel) send(id string) {
	g := &m.group
	for _, p := range g.promotions {
		if p.database != id && g.fault == "" {
			g.fault = fmt.Sprintf("promotion of %s is requested while that of %s may take effect", id, p.database)
		}
	}
	g.promotions = append(g.promotions, modelRequest{database: id, at: m.now.Add(time.Duration(m.random.Int64N(int64(maxModelEffect))))})
}

func (m *fleetModel) completeChange(h *modelHost, pending cataloger.PendingPromotion, evidence overseer.Evidence) (done bool) {
	g := &m.group
	if !h.requested {
		g.resumed++
	}
	for _, d := range g.databases {
		if d.id == pending.ID {
			g.record = cataloger.PrimaryAssignment{ID: d.id, Term: d.term}
			if evidence == overseer.EvidenceOnlyPrimary || !h.requested || h.repeated {
				g.record.Pending = cataloger.PendingPromotion{ID: d.id, FormerTerm: d.term}
			}
		}
	}
	h.requested, h.repeated = false, false
	if current := g.current(); current.id != pending.ID && g.fault == "" {
		g.fault = fmt.Sprintf("the change to %s completes while %s is the primary", pending.ID, current.id)
	}
	return true
}
