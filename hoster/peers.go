package hoster

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

// Databases are the functions that access databases.
type Databases struct {
	// Dial opens a connection for a customer.
	Dial func(ctx context.Context, endpoint cataloger.Endpoint, customer string) (connector.Transport, error)
	// Status queries the state of a database.
	Status func(ctx context.Context, endpoint cataloger.Endpoint) (executor.DatabaseStatus, error)
	// Demote makes a primary of a term lower than the given one a replica.
	Demote func(ctx context.Context, endpoint cataloger.Endpoint, term uint64) error
}

// report returns this host's report for the receiver. If the receiver is empty, the
// report is not specific to any.
func (h *Host) report(receiver string) exchanger.Report {
	usages, hosts := h.usages(receiver)
	revision, completeAsOf := h.mirror.Revision(), h.mirror.CompleteAsOf()
	r := exchanger.Report{
		Host: h.Settings.Host, Incarnation: h.incarnation, Address: h.Settings.PeerAddress, DataCentre: h.Settings.DataCentre,
		Revision: revision, Age: -1, Uptime: h.uptime(),
		Digest: h.mirror.Digest(), Stopping: h.stopping.Load(), Usages: usages, Hosts: hosts,
		Listed: h.mayCount(), MajorityHeardAge: -1, StoppingHosts: h.stoppingHostsToReport(),
		Counts: h.accounting.changes(receiver),
	}
	if catalog := h.latestCatalog(); catalog != nil {
		r.VotersRevision = catalog.Voters.Revision
	}
	if at := h.majorityReportedAsOf(); !at.IsZero() {
		r.MajorityHeardAge = timekeeper.Now().Sub(at)
	}
	if !completeAsOf.IsZero() {
		r.Age = timekeeper.Now().Sub(completeAsOf)
	}
	if h.mayReplacePrimaries(receiver) {
		r.ReleasedRevisions = h.director.ReleasedRevisions()
		healths := h.director.PrimaryHealths()
		r.Primaries, r.Unreachable = primaryHealths(healths), unreachableDatabases(healths)
	}
	return r
}

// mayReplacePrimaries reports whether the receiver of a report may be the leader, as
// far as this host knows. An empty receiver stands for this host itself.
func (h *Host) mayReplacePrimaries(receiver string) bool {
	hub, ok := h.hub()
	return !ok || receiver == "" || receiver == hub
}

// primaryHealths returns those of the observations of primaries that matter to the
// leader.
func primaryHealths(observed map[string]director.PrimaryHealth) map[string]exchanger.PrimaryHealth {
	healths := make(map[string]exchanger.PrimaryHealth)
	for service, health := range observed {
		observation := overseer.Observation{SinceSuccess: health.SinceSuccess, SinceFailure: health.SinceFailure, RefusesWrites: health.RefusesWrites}
		if !observation.IsRelevant() {
			continue
		}
		healths[service] = exchanger.PrimaryHealth{
			ID: health.Endpoint.ID, StartedAtMillis: health.Endpoint.StartedAtMillis,
			SinceSuccess: health.SinceSuccess, SinceFailure: health.SinceFailure, RefusesWrites: health.RefusesWrites,
		}
	}
	return healths
}

// unreachableDatabases returns the databases that fail for this host of the services whose
// primary fails for it, or nil.
func unreachableDatabases(observed map[string]director.PrimaryHealth) map[string][]string {
	var unreachable map[string][]string
	for service, health := range observed {
		observation := overseer.Observation{SinceSuccess: health.SinceSuccess, SinceFailure: health.SinceFailure}
		if !observation.Failing() || len(health.Unreachable) == 0 {
			continue
		}
		if unreachable == nil {
			unreachable = make(map[string][]string)
		}
		unreachable[service] = health.Unreachable
	}
	return unreachable
}

func (h *Host) recordsSince(revision int64) []exchanger.Record {
	records, _, _ := h.mirror.Since(revision)
	list := make([]exchanger.Record, 0, len(records))
	for _, record := range records {
		list = append(list, exchanger.Record(record))
	}
	return list
}

// handleMessage processes the report and the records of another host. The age of the
// sender's mirror can be dated only if it is known when the message was sent, as it
// is for the reply to a request of this host.
func (h *Host) handleMessage(message exchanger.Message, sent time.Time) {
	report := message.Report
	if h.acceptsUsage(report) {
		h.recordUsage(report)
	}
	h.accounting.apply(report, sent)
	records := make([]informer.Record, 0, len(message.Records))
	for _, record := range message.Records {
		records = append(records, informer.Record(record))
	}
	if !message.Completes(h.mirror.Revision()) || report.Age < 0 {
		return
	}
	completeAsOf := time.Time{}
	if !sent.IsZero() {
		completeAsOf = sent.Add(-report.Age)
	}
	if len(records) > 0 || !completeAsOf.IsZero() {
		h.mirror.Merge(records, report.Revision, completeAsOf)
	}
	h.recordMajorityFreshness(report, sent)
}

// recordUsage records what a host has used of the customers' rate limits, or, if it
// is the hub, what all other hosts have used.
func (h *Host) recordUsage(report exchanger.Report) {
	usages := make(map[string]limiter.Usage, len(report.Usages))
	for name, usage := range report.Usages {
		usages[name] = limiter.Usage(usage)
	}
	source := report.Host
	if report.Hosts > 0 {
		source += allHostsSuffix
	}
	h.limits.RecordReport(source, limiter.HostReport{Incarnation: report.Incarnation, ReceivedAt: timekeeper.Now(), Uptime: report.Uptime, Hosts: report.Hosts, Usage: usages})
}

// members returns the other hosts of the fleet as members for the overseer. A report
// counts only if it is that of the registered process: a new process of the same name
// has not acknowledged what a former one did.
func (h *Host) members() []overseer.Member {
	catalog := h.latestCatalog()
	if catalog == nil {
		return nil
	}
	reports := h.exchanger.Reports()
	var members []overseer.Member
	for name, host := range h.fleet(catalog) {
		if name == h.Settings.Host {
			continue
		}
		peer := reports[name]
		member := overseer.Member{Name: name, Observations: make(map[string]overseer.HostObservation)}
		member.RecentlyHeard = timekeeper.Now().Sub(peer.HeardAt) < director.MaxViewAge
		if peer.Report.Incarnation == host.Incarnation {
			member.ReleasedRevisions, member.VotersRevision = peer.Report.ReleasedRevisions, peer.Report.VotersRevision
			addObservations(member.Observations, peer.Report, observationAge(peer, timekeeper.Now()))
		}
		members = append(members, member)
	}
	return members
}

// self returns this host as a member.
func (h *Host) self() overseer.Member {
	report := h.report("")
	member := overseer.Member{
		Name: h.Settings.Host, RecentlyHeard: true, ReleasedRevisions: report.ReleasedRevisions, Observations: make(map[string]overseer.HostObservation),
	}
	addObservations(member.Observations, report, 0)
	return member
}

// maxObservationAge is the age above which observations of primaries are ignored.
const maxObservationAge = 2 * time.Second

// observationAge returns the age of a report's observations. The delay between
// sending and reading counts for one exchange interval at most, since a longer one
// is a sign of a slow reader and not of a primary that does not respond.
func observationAge(peer exchanger.Peer, now time.Time) time.Duration {
	return now.Sub(peer.ReceivedAt) + min(peer.ReceivedAt.Sub(peer.HeardAt), exchanger.Interval)
}

func addObservations(observations map[string]overseer.HostObservation, report exchanger.Report, age time.Duration) {
	if age > maxObservationAge {
		return
	}
	for service, p := range report.Primaries {
		o := overseer.Observation{SinceSuccess: p.SinceSuccess, SinceFailure: p.SinceFailure, RefusesWrites: p.RefusesWrites}
		if o.SinceSuccess >= 0 {
			o.SinceSuccess += age
		}
		if o.SinceFailure > 0 {
			o.SinceFailure += age
		}
		observations[service] = overseer.HostObservation{ID: p.ID, StartedAtMillis: p.StartedAtMillis, Age: age, Unreachable: report.Unreachable[service], Observation: o}
	}
}

// viewCompleteAsOf returns the latest instant at which this host's view of the
// primaries is known to have been complete, either from the store or by confirmation
// of a majority of the hosts. The latter is sufficient because only a host of the
// fleet replaces primaries, and only once enough hosts have acknowledged the change.
//
// Without its own key in the view a host is unknown to the leader, which would not wait for
// it, so that the view counts as outdated.
func (h *Host) viewCompleteAsOf() time.Time {
	catalog := h.latestCatalog()
	if catalog == nil || h.ended.Load() {
		return time.Time{}
	}
	own, registered := catalog.Hosts[h.Settings.Host]
	if !registered {
		return time.Time{}
	}
	byStore := h.primariesCompleteAsOf()
	if own.Incarnation != h.incarnation {
		return viewOfNewProcess(byStore, h.majorityCompleteAsOf(), h.started)
	}
	if timekeeper.Now().Sub(byStore) < storeFreshAge {
		return byStore
	}
	if byHosts := h.majorityCompleteAsOf(); byHosts.After(byStore) {
		return byHosts
	}
	return byStore
}

// newProcessMargin is longer than the age up to which a leader counts the acknowledgement of a
// host that may have restarted since.
const newProcessMargin = director.MaxViewAge + 150*time.Millisecond

// viewOfNewProcess returns the instant as of which the view of a process is complete that started
// at startedAt and whose host is registered by a former process. That one may have acknowledged
// a change of which the view of another host, which this process has taken over, knows nothing:
// only what was confirmed after the former process had ended counts.
func viewOfNewProcess(byStore, byHosts, startedAt time.Time) time.Time {
	if byStore.Before(startedAt) {
		byStore = time.Time{}
	}
	if byHosts.Sub(startedAt) < newProcessMargin || byHosts.Before(byStore) {
		return byStore
	}
	return byHosts
}

// assignmentRevision returns the revision of the primary assignment of a service in the mirror,
// 0 if there is none. viewCompleteAsOf dates the mirror, and the catalog in force is built from
// it a moment later.
func (h *Host) assignmentRevision(service string) int64 {
	record, ok := h.mirror.Get(overseer.AssignmentKey(service))
	if !ok {
		return 0
	}
	return record.Revision
}
