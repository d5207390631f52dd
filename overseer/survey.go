package overseer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// surveyTimeout bounds how long the leader queries databases until enough have answered,
	// before the change fails and is begun again.
	surveyTimeout = 2 * time.Second
	// busyTimeout bounds how long a database that runs but is too busy to answer delays a
	// change that does not need its answer.
	busyTimeout = 500 * time.Millisecond
	// entryReturnTime is how long after an outage of the store the entry of a database that
	// runs may still be missing.
	entryReturnTime = 2200 * time.Millisecond
)

// errTooFewAnswers is returned when too few databases answer to be certain which of them has
// every acknowledged commit.
var errTooFewAnswers = errors.New("too few databases answer to know which has every acknowledged commit")

// A survey is what the databases of a service answered. With synchronous replicas it has so
// many answers that one of them has every acknowledged commit.
type survey struct {
	// answers are those of the databases that answered, silent stands for the others.
	answers, silent []Candidate
	// synchronous is set if commits are acknowledged only once replicas have received them.
	synchronous bool
}

// surveyDatabases queries all databases of the service but the former primary, also those
// that are not eligible for promotion: they too may be the only one with an acknowledged
// commit. It queries those again that run and are too busy to answer.
func (c *primaryChange) surveyDatabases(ctx context.Context) (survey, error) {
	o := c.overseer
	began := o.Now()
	answered := make(map[string]Candidate)
	for {
		catalog := o.Catalog()
		s := survey{synchronous: c.syncReplicas(catalog) > 0}
		s.query(ctx, o, c.holders(catalog), answered)
		complete := len(s.answers) >= c.answersNeeded(catalog, len(s.answers)+len(s.silent)) && o.Now().Sub(o.startedAt) >= entryReturnTime
		waited := o.Now().Sub(began)
		switch {
		case s.synchronous && complete, !s.synchronous && (!s.busy() || waited >= busyTimeout):
			c.logSurvey(s)
			return s, nil
		case waited >= surveyTimeout:
			c.logSurvey(s)
			return s, errTooFewAnswers
		}
		if !timekeeper.Sleep(ctx, pollInterval) {
			return s, ctx.Err()
		}
	}
}

// query queries the databases that have not answered before.
func (s *survey) query(ctx context.Context, o *Overseer, databases []cataloger.Endpoint, answered map[string]Candidate) {
	var open []cataloger.Endpoint
	for _, database := range databases {
		if answer, ok := answered[database.ID]; ok {
			s.answers = append(s.answers, answer)
		} else {
			open = append(open, database)
		}
	}
	for _, answer := range o.queryStatuses(ctx, open) {
		if answer.Reachable {
			answered[answer.Endpoint.ID] = answer
			s.answers = append(s.answers, answer)
		} else {
			s.silent = append(s.silent, answer)
		}
	}
}

// busy reports whether a database runs and was too busy to answer.
func (s survey) busy() bool {
	return slices.ContainsFunc(s.silent, func(c Candidate) bool { return c.Busy })
}

// syncReplicas returns how many replicas have received a commit when it is acknowledged.
func (c *primaryChange) syncReplicas(catalog *cataloger.Catalog) int {
	if catalog.Configuration == nil {
		return 0
	}
	return catalog.Configuration.Services[c.service].SyncReplicas
}

// answersNeeded returns how many of the databases beside the former primary have to answer, so
// that one that has received a commit synchronously is among them.
func (c *primaryChange) answersNeeded(catalog *cataloger.Catalog, databases int) int {
	return max(1, databases-c.syncReplicas(catalog)+1)
}

// holders returns the databases that may have acknowledged commits, without the former
// primary, unless it is a database like any other.
func (c *primaryChange) holders(catalog *cataloger.Catalog) []cataloger.Endpoint {
	var holders []cataloger.Endpoint
	for _, endpoint := range catalog.Endpoints[c.service] {
		former := endpoint.ID == c.assignment.ID && endpoint.StartedAtMillis == c.assignment.StartedAtMillis
		if !former || c.reason.primaryUnknown() {
			holders = append(holders, endpoint)
		}
	}
	return holders
}

// choose returns the database to promote: the most advanced of the eligible ones. With
// synchronous replicas it has to have everything that any database has received, so that one
// which is not eligible is promoted if it alone has that and the former primary does not work.
func (s survey) choose(eligible func(Candidate) bool, excluded map[string]bool, planned bool) (Candidate, error) {
	var candidates []Candidate
	for _, answer := range s.answers {
		if eligible(answer) && !excluded[answer.Endpoint.ID] {
			candidates = append(candidates, answer)
		}
	}
	best, most := MostAdvanced(candidates), MostAdvanced(s.answers)
	switch {
	case s.synchronous && most >= 0 && (best < 0 || ahead(s.answers[most], candidates[best])):
		if planned || excluded[s.answers[most].Endpoint.ID] {
			return Candidate{}, errTooFewAnswers
		}
		return s.answers[most], nil
	case best < 0:
		return Candidate{}, errNoCandidate
	}
	return candidates[best], nil
}

// queryStatuses queries databases concurrently.
func (o *Overseer) queryStatuses(ctx context.Context, endpoints []cataloger.Endpoint) []Candidate {
	candidates := make([]Candidate, len(endpoints))
	var group sync.WaitGroup
	for i, endpoint := range endpoints {
		group.Go(func() { candidates[i] = o.queryStatus(ctx, endpoint) })
	}
	group.Wait()
	return candidates
}

func (o *Overseer) queryStatus(ctx context.Context, endpoint cataloger.Endpoint) Candidate {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := o.Status(ctx, endpoint)
	if err != nil {
		return Candidate{Endpoint: endpoint, Busy: errors.Is(err, connector.ErrTooManyConnections)}
	}
	return Candidate{Endpoint: endpoint, Reachable: true, IsPrimary: status.Primary, DatabaseTerm: status.Term, Term: status.Received.Term, Offset: status.Received.Offset}
}

// logSurvey logs what each database answered.
func (c *primaryChange) logSurvey(s survey) {
	var answers []string
	for _, answer := range slices.Concat(s.answers, s.silent) {
		answers = append(answers, answer.String())
	}
	c.overseer.Logger.Info("databases_queried", "service", c.service, "reason", string(c.reason), "answers", answers, "synchronous", s.synchronous)
}

// String returns what the database answered, for logs.
func (c Candidate) String() string {
	switch {
	case c.Reachable:
		return fmt.Sprintf("%s=%d/%d", c.Endpoint.ID, c.Term, c.Offset)
	case c.Busy:
		return c.Endpoint.ID + "=busy"
	default:
		return c.Endpoint.ID + "=unreachable"
	}
}
