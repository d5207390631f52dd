package overseer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/storer"
)

// The leader keeps the list of voters. Each leader writes it once before it replaces a
// primary, so that a write of a former leader that the store carries out late fails.

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
	if record.Version < 1 {
		return cataloger.Voters{}, true, errors.Errorf("list of voters: version %d is not positive", record.Version)
	}
	return cataloger.Voters{Revision: revision, Version: record.Version, Since: record.Hosts}, true, nil
}

// A voterList is the list of voters as a leader has written it.
type voterList struct {
	voters cataloger.Voters
	// token is the fencing token of the leadership in which the list was written, 0 if it is
	// not certain that it was.
	token     int64
	writtenAt time.Time
	// absentSince holds since when, in this leadership, a voter has not been part of the
	// fleet. It is not changed once it is set.
	absentSince map[string]time.Time
}

// maintainVoters keeps the list of voters up to date. It reports whether this host has
// written the list in its present leadership, without which it replaces no primary.
func (o *Overseer) maintainVoters(ctx context.Context, catalog *cataloger.Catalog, members []Member) bool {
	token, ok := o.leaderToken()
	if !ok {
		return false
	}
	o.mu.Lock()
	list := o.voters
	o.mu.Unlock()
	stored := o.storedVoters()
	unwritten := list.token != token
	if unwritten {
		list = voterList{voters: stored}
	}
	if stored.Revision > list.voters.Revision {
		// Another writer has replaced the list.
		unwritten, list.voters.Revision = true, stored.Revision
	}
	list.absentSince = o.absentVoters(list, catalog)
	next, changed := o.nextVoters(list, catalog, members)
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

// absentVoters returns since when each voter that is not part of the fleet has been absent.
func (o *Overseer) absentVoters(list voterList, catalog *cataloger.Catalog) map[string]time.Time {
	absent := make(map[string]time.Time)
	for name := range list.voters.Since {
		if _, ok := catalog.Hosts[name]; ok || name == o.Host.Name {
			continue
		}
		absent[name] = o.Now()
		if since, ok := list.absentSince[name]; ok {
			absent[name] = since
		}
	}
	return absent
}

// nextVoters returns the list that follows from the hosts of the fleet, and whether it
// differs. A host that has left is removed once none of its views is recent enough to count.
func (o *Overseer) nextVoters(list voterList, catalog *cataloger.Catalog, members []Member) (next cataloger.Voters, changed bool) {
	var added, removed []string
	for _, name := range hostNames(catalog, o.Host.Name) {
		if !list.voters.Has(name) {
			added = append(added, name)
		}
	}
	for name, since := range list.absentSince {
		if o.Now().Sub(since) > o.FleetExpiry {
			removed = append(removed, name)
		}
	}
	if len(added)+len(removed) == 0 && !list.voters.AllKnown() && o.allHaveVoters(list.voters, members) {
		return list.voters.WithAllKnown(), true
	}
	return list.voters.WithChanges(added, removed), len(added)+len(removed) > 0
}

// hostNames returns the names of the hosts of the fleet and that of this host.
func hostNames(catalog *cataloger.Catalog, own string) []string {
	names := []string{own}
	for name := range catalog.Hosts {
		if name != own {
			names = append(names, name)
		}
	}
	return names
}

// allHaveVoters reports whether every voter has reported that it has the list.
func (o *Overseer) allHaveVoters(voters cataloger.Voters, members []Member) bool {
	revisions := make(map[string]int64, len(members))
	for _, member := range members {
		revisions[member.Name] = member.VotersRevision
	}
	for name := range voters.Since {
		if name != o.Host.Name && revisions[name] < voters.Revision {
			return false
		}
	}
	return true
}

// writeVoters writes the next list on condition that the stored one is the given one. If the
// outcome is unknown, the hosts that it adds already count.
func (o *Overseer) writeVoters(ctx context.Context, list voterList, next cataloger.Voters, token int64) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value := encode(votersRecord{Version: next.Version, Hosts: next.Since})
	written, err := o.Store.Write(ctx, storer.Put{Key: votersKey, Value: value, ExpectedRevision: list.voters.Revision})
	if err != nil {
		o.applyConflict(err)
		o.setVoters(voterList{voters: next})
		o.Logger.Warn("voters_not_recorded", "version", next.Version, "error", err.Error())
		return false
	}
	o.Mirror.ApplyWrite(informer.Record{Key: votersKey, Value: value, Revision: written})
	o.Logger.Info("voters_recorded", "version", next.Version, "hosts", len(next.Since), "all_known", next.AllKnown(), "revision", written)
	next.Revision = written
	o.setVoters(voterList{voters: next, token: token, writtenAt: o.Now(), absentSince: list.absentSince})
	return true
}

func (o *Overseer) setVoters(list voterList) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.voters = list
}

// confirmationExpiry returns how long after the record of a change a host without it may
// still confirm the freshness of views, if only the hosts for which acknowledged is true are
// known to have it: 0 if no host may.
func (o *Overseer) confirmationExpiry(acknowledged func(name string) bool) time.Duration {
	o.mu.Lock()
	voters := o.voters.voters
	o.mu.Unlock()
	switch {
	case voters.AllPossible(acknowledged):
		return o.FleetExpiry
	case voters.MajorityPossible(acknowledged), voters.ListMissing(acknowledged):
		return o.MajorityExpiry
	default:
		return 0
	}
}

// silentVoters returns the voters beside the members of the fleet that may still use a primary
// although they do not report. A view of a voter that the store lost MajorityExpiry ago is
// confirmed only by all voters together, so not without this host if that voter knows it.
func (o *Overseer) silentVoters(members []Member) []string {
	known := make(map[string]bool, len(members))
	for _, member := range members {
		known[member.Name] = true
	}
	o.mu.Lock()
	list := o.voters
	o.mu.Unlock()
	var silent []string
	for name, since := range list.voters.Since {
		absentSince, absent := list.absentSince[name]
		expired := absent && o.Now().Sub(absentSince) > o.MajorityExpiry && list.voters.Has(o.Host.Name) && list.voters.Since[o.Host.Name] <= since
		if !known[name] && !expired {
			silent = append(silent, name)
		}
	}
	return silent
}
