package overseer

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// The leader keeps the list of voters. Each leader writes it once before it replaces a
// primary, so that a write of a former leader that the store carries out late fails. Who counts,
// and from when until when, is argued in docs/design/voters.md.

// votersKey is the key of the list of voters.
const votersKey = Prefix + "voters"

// VotersKey is the key of the list of voters.
const VotersKey = votersKey

// votersInterval is the minimum time between two changes of the list by the leader of a large
// fleet, whose hosts start one after the other. Each change is sent to all hosts and names all
// of them, so that with more than 100 hosts it is votersIntervalPerHost for each.
const (
	votersInterval        = 500 * time.Millisecond
	votersIntervalPerHost = 5 * time.Millisecond
)

// votersDue reports whether the leader may change the list that it wrote last.
func (o *Overseer) votersDue(list voterList, catalog *cataloger.Catalog) bool {
	interval := max(votersInterval, time.Duration(catalog.FleetSize())*votersIntervalPerHost)
	return !catalog.IsLargeFleet() || o.Now().Sub(list.writtenAt) >= interval
}

type votersRecord struct {
	Version int64            `json:"version"`
	Hosts   map[string]int64 `json:"hosts"`
	// The fields below are left out by leaders of an earlier version of this program.
	Former      []formerVoterRecord `json:"former,omitempty"`
	Known       int64               `json:"known,omitempty"`
	Established bool                `json:"established,omitempty"`
}

type formerVoterRecord struct {
	Host  string `json:"host"`
	Since int64  `json:"since"`
	Until int64  `json:"until"`
	Known int64  `json:"known"`
}

func encodeVoters(v cataloger.Voters) []byte {
	record := votersRecord{Version: v.Version, Hosts: v.Since, Known: v.Known, Established: v.Established}
	for _, f := range v.Former {
		record.Former = append(record.Former, formerVoterRecord(f))
	}
	return encode(record)
}

// DecodeVoters decodes the list of voters; ok is false for other keys.
func DecodeVoters(key string, value []byte, revision int64) (voters cataloger.Voters, ok bool, err error) {
	if key != votersKey {
		return cataloger.Voters{}, false, nil
	}
	var record votersRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return cataloger.Voters{}, true, errors.Wrap(err, "list of voters")
	}
	for name, since := range record.Hosts {
		if name == "" || since < 0 || since > record.Version {
			return cataloger.Voters{}, true, errors.Errorf("list of voters: host %q since %d in version %d", name, since, record.Version)
		}
	}
	if record.Version < 1 || record.Known < 0 || record.Known > record.Version {
		return cataloger.Voters{}, true, errors.Errorf("list of voters: version %d, of which %d is known, can't be", record.Version, record.Known)
	}
	voters = cataloger.Voters{Revision: revision, Version: record.Version, Since: record.Hosts, Known: record.Known, Established: record.Established}
	for _, f := range record.Former {
		if f.Host == "" || f.Since < 0 || f.Until <= f.Since || f.Until > record.Version || f.Known < 0 {
			return cataloger.Voters{}, true, errors.Errorf("list of voters: former host %q from %d to %d in version %d", f.Host, f.Since, f.Until, record.Version)
		}
		voters.Former = append(voters.Former, cataloger.FormerVoter(f))
	}
	return voters, true, nil
}

// A voterList is the list of voters as a leader has written it.
type voterList struct {
	voters cataloger.Voters
	// token is the fencing token of the leadership in which the list was written, 0 if it is
	// not certain that it was.
	token     int64
	writtenAt time.Time
	// silentSince holds when each voter was last heard, or since when, in this leadership, it
	// has not been. It is not changed once it is set.
	silentSince map[string]time.Time
}

// replacedBy returns the list after another writer has replaced it. A malformed one has no hosts.
func (l voterList) replacedBy(stored cataloger.Voters) voterList {
	if stored.Version <= l.voters.Version {
		l.voters.Revision = stored.Revision
		return l
	}
	l.voters = stored
	return l
}

// observeVoters records the list of voters of a catalog. Every host does so, since any may
// become the leader.
func (o *Overseer) observeVoters(voters cataloger.Voters) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.voterHistory.Observe(voters, o.Now())
}

// maintainVoters keeps the list of voters up to date. It reports whether this host has
// written the list in its present leadership, without which it replaces no primary.
func (o *Overseer) maintainVoters(ctx context.Context, catalog *cataloger.Catalog, members []Member) bool {
	token, ok := o.leaderToken()
	if !ok {
		return false
	}
	stored := o.storedVoters()
	o.mu.Lock()
	list := o.voters
	for _, member := range members {
		o.voterHistory.RecordReport(member.Name, member.VotersRevision, o.Now())
	}
	o.mu.Unlock()
	unwritten := list.token != token
	if unwritten {
		list = voterList{voters: stored}
	}
	if stored.Revision > list.voters.Revision {
		// Another writer has replaced the list.
		unwritten = true
		list = list.replacedBy(stored)
	}
	list.silentSince = o.silentVoters(list, catalog)
	o.mu.Lock()
	next, changed := o.voterHistory.Next(FleetState{
		Own: o.Host.Name, Voters: list.voters, Hosts: catalog.Hosts, Ended: catalog.Ended, SilentSince: list.silentSince, HeardAt: o.HeardAt, Now: o.Now(),
	})
	o.mu.Unlock()
	if unwritten || changed && o.votersDue(list, catalog) {
		return o.writeVoters(ctx, list, next, token)
	}
	o.setVoters(list)
	return true
}

// storedVoters returns the list in the mirror. A malformed list is replaced like a missing one.
func (o *Overseer) storedVoters() cataloger.Voters {
	record, ok := o.Mirror.Get(votersKey)
	if !ok {
		return cataloger.Voters{}
	}
	voters, _, err := DecodeVoters(votersKey, record.Value, record.Revision)
	if err != nil {
		o.Logger.Warn("voters_rejected", "revision", record.Revision, "error", err.Error())
		return cataloger.Voters{Revision: record.Revision}
	}
	return voters
}

// silentVoters returns when each other voter was last heard, or since when this leader has been
// waiting for it. In a large fleet only the leader hears all hosts.
func (o *Overseer) silentVoters(list voterList, catalog *cataloger.Catalog) map[string]time.Time {
	silent := make(map[string]time.Time, len(list.voters.Since))
	for name := range list.voters.Since {
		if name == o.Host.Name {
			continue
		}
		since, ok := list.silentSince[name]
		if !ok {
			since = o.Now()
		}
		heardAt := o.HeardAt(name)
		if heardAt.After(since) || !catalog.IsLargeFleet() && !heardAt.IsZero() {
			since = heardAt
		}
		silent[name] = since
	}
	return silent
}

// writeVoters writes the next list on condition that the stored one is the given one. If the
// outcome is unknown, the hosts that it adds already count, and those that it removes still do.
func (o *Overseer) writeVoters(ctx context.Context, list voterList, next cataloger.Voters, token int64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value := encodeVoters(next)
	written, err := o.Store.Write(ctx, storer.Put{Key: votersKey, Value: value, ExpectedRevision: list.voters.Revision})
	if err != nil {
		o.applyConflict(err)
		o.setVoters(voterList{voters: next})
		o.Logger.Warn("voters_not_recorded", "version", next.Version, "error", err.Error())
		return false
	}
	o.Mirror.ApplyWrite(informer.Record{Key: votersKey, Value: value, Revision: written})
	o.Logger.Info("voters_recorded", "version", next.Version, "hosts", len(next.Since), "former", len(next.Former),
		"known", next.Known, "all_known", next.AllKnown(), "revision", written)
	next.Revision = written
	o.setVoters(voterList{voters: next, token: token, writtenAt: o.Now(), silentSince: list.silentSince})
	o.observeVoters(next)
	return true
}

func (o *Overseer) setVoters(list voterList) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.voters = list
}

// uncertainty returns what was known at an instant about the voters that may confirm views,
// except this host and those for which excluded is true. Hosts that have left in order count as
// such only if the view has all changes up to a revision, so that no later process of theirs is
// overlooked.
func (o *Overseer) uncertainty(at time.Time, excluded func(name string) bool, revision int64) (cataloger.Voters, cataloger.Uncertainty) {
	var ended map[string]string
	if catalog := o.Catalog(); catalog != nil && catalog.Revision >= revision {
		ended = catalog.Ended
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	voters := o.voters.voters
	return voters, o.voterHistory.Uncertainty(voters, at, func(name string) bool {
		_, left := ended[name]
		return left || name == o.Host.Name || excluded(name)
	})
}

// confirmationExpiry returns how long after the record of a change a host without it may
// still confirm the freshness of views, if only the hosts for which acknowledged is true are
// known to have it: 0 if no host may. revision is that of the record.
func (o *Overseer) confirmationExpiry(acknowledged func(name string) bool, revision int64) time.Duration {
	voters, uncertainty := o.uncertainty(o.Now(), acknowledged, revision)
	switch {
	case voters.AllPossible(uncertainty):
		return o.FleetExpiry
	case voters.MajorityPossible(uncertainty), voters.ListMissing(uncertainty):
		return o.MajorityExpiry
	default:
		return 0
	}
}

// unconfirmedVoters returns the present and former voters beside the members of the fleet that
// may still use a primary although they do not report. The store has lost their keys, so that
// only other hosts confirm their views, and only before one with a newer list is heard. What
// became known within MaxViewAge does not count, as a view that was confirmed before is in use.
func (o *Overseer) unconfirmedVoters(members []Member, revision int64) []string {
	voters, uncertainty := o.uncertainty(o.Now().Add(-o.MaxViewAge-fenceMargin), func(string) bool { return false }, revision)
	confirming := voters.Confirming(uncertainty)
	for _, member := range members {
		delete(confirming, member.Name)
	}
	return slices.Sorted(maps.Keys(confirming))
}
