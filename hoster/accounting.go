package hoster

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/accountant"
	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/storer"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// accountingInterval is how often the leader checks whether a window can be closed or
	// reported.
	accountingInterval = 100 * time.Millisecond
	// checkpointCheckInterval is how often the leader checks whether a checkpoint is due.
	checkpointCheckInterval = 50 * time.Millisecond
	// standbyCount is how many other hosts of a large fleet the hub sends its own counts to,
	// so that they are not lost with it.
	standbyCount = 2
	// clockAgreementShare is the part of a window, times the tolerance, by which the clock
	// of a host may differ from the fleet's. Both ends of a window move by it.
	clockAgreementShare = 0.5
	// flushTimeout bounds how long a host that stops waits until others have its counts: two
	// exchanges. minFlushTimeout is the same if its time to stop is over, and
	// flushCheckInterval how often it looks.
	flushTimeout       = 450 * time.Millisecond
	minFlushTimeout    = 150 * time.Millisecond
	flushCheckInterval = 30 * time.Millisecond
)

// An accounting joins the counting of requests to a host. All methods may be called on nil,
// which stands for a deployment without usage reports.
type accounting struct {
	host   *Host
	clock  *accountant.Clock
	book   *accountant.Book
	sender *accountant.Sender
	// checkpointer keeps the counts of windows that are not recorded yet in the store.
	checkpointer *accountant.Checkpointer
	// standbys are those of the last catalog.
	standbys atomic.Pointer[standbys]
}

// standbys are the hosts that the hub sends its own counts to.
type standbys struct {
	catalog *cataloger.Catalog
	names   []string
}

func newAccounting(h *Host) *accounting {
	schedule := accountant.Schedule{Window: h.Settings.UsageWindow, Due: h.Settings.UsageDue}
	agreement := time.Duration(clockAgreementShare * h.Settings.UsageTolerance * float64(schedule.Window))
	a := &accounting{host: h}
	a.clock = &accountant.Clock{Now: timekeeper.Now, WallClock: time.Now, Agreement: agreement}
	a.book = &accountant.Book{
		Schedule: schedule, Clock: a.clock, Self: accountant.Source{Host: h.Settings.Host, Incarnation: h.incarnation}, Now: timekeeper.Now,
	}
	a.checkpointer = &accountant.Checkpointer{
		Schedule: schedule, Clock: a.clock, Book: a.book, Now: timekeeper.Now, Leadership: a.leadership, Read: a.readCheckpoint, Write: a.writeCheckpoint,
		Logger: h.Logger, Registry: h.Registry,
	}
	a.sender = &accountant.Sender{
		Holder: h.Settings.Host, Schedule: schedule, Gap: h.Settings.DutyGap, Clock: a.clock, Book: a.book, Now: timekeeper.Now,
		Leadership: a.leadership, Incarnations: a.incarnations, TakenOver: a.checkpointer.TakenOver, Stored: a.stored, Write: a.write, Send: h.Platform.ReportUsage,
		Logger: h.Logger, Registry: h.Registry,
	}
	return a
}

// recordWindows closes and records windows while this host is the leader, until ctx ends.
func (a *accounting) recordWindows(ctx context.Context) error {
	for timekeeper.Sleep(ctx, accountingInterval) {
		a.sender.RecordStep(ctx)
	}
	return ctx.Err()
}

// writeCheckpoints keeps the counts in the store while this host is the leader, until ctx ends.
func (a *accounting) writeCheckpoints(ctx context.Context) error {
	for timekeeper.Sleep(ctx, checkpointCheckInterval) {
		a.checkpointer.Step(ctx)
	}
	return ctx.Err()
}

// sendReports reports recorded windows while this host is the leader, until ctx ends.
func (a *accounting) sendReports(ctx context.Context) error {
	for timekeeper.Sleep(ctx, accountingInterval) {
		a.sender.SendStep(ctx)
	}
	return ctx.Err()
}

// collector returns the host that collects the counts, the leader, or "".
func (a *accounting) collector() string {
	record, ok := a.host.mirror.Get(overseer.LeaderKey)
	if !ok {
		return ""
	}
	return overseer.LeaderName(record.Value)
}

// changes returns the encoded counts for a host, or nil.
func (a *accounting) changes(receiver string) []byte {
	if a == nil || receiver == "" {
		return nil
	}
	collector := a.collector()
	a.book.SetCollector(collector)
	var changes accountant.Changes
	if a.receivesCounts(receiver, collector) {
		changes = a.book.Changes(receiver)
	} else {
		changes = a.book.Acknowledgement(receiver)
	}
	changes.WallClock, changes.FleetTime = a.clock.Readings()
	return accountant.Encode(changes)
}

// receivesCounts reports whether a host gets the counts of this one: in a large fleet the
// collector and, from the collector, its standbys.
func (a *accounting) receivesCounts(receiver, collector string) bool {
	catalog := a.host.latestCatalog()
	if catalog == nil {
		return false
	}
	if _, ok := catalog.Hosts[receiver]; !ok {
		return false
	}
	if !catalog.IsLargeFleet() || receiver == collector {
		return true
	}
	return collector == a.host.Settings.Host && slices.Contains(a.standbysOf(catalog), receiver)
}

// standbysOf returns the other hosts of the largest capacity.
func (a *accounting) standbysOf(catalog *cataloger.Catalog) []string {
	if known := a.standbys.Load(); known != nil && known.catalog == catalog {
		return known.names
	}
	hosts := make([]cataloger.Host, 0, len(catalog.Hosts))
	for name, host := range catalog.Hosts {
		if name != a.host.Settings.Host {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b cataloger.Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, 0, standbyCount)
	for _, host := range hosts[:min(standbyCount, len(hosts))] {
		names = append(names, host.Name)
	}
	a.standbys.Store(&standbys{catalog: catalog, names: names})
	return names
}

// apply records the counts and the clock in a report that was not sent before an instant, or
// the zero time.
func (a *accounting) apply(report exchanger.Report, sent time.Time) {
	if a == nil || len(report.Counts) == 0 {
		return
	}
	changes, err := accountant.Decode(report.Counts)
	if err != nil {
		a.host.Logger.Warn("usage_counts_rejected", "host", report.Host, "error", err.Error())
		return
	}
	hub, ok := a.host.hub()
	fromHub := ok && hub == report.Host
	a.clock.Record(report.Host, changes.WallClock, changes.FleetTime, sent, fromHub)
	a.book.Apply(accountant.Source{Host: report.Host, Incarnation: report.Incarnation}, changes)
}

// flush waits until the leader has all counts of this host, which stops, or, if this host is
// the leader, until its standbys have them.
func (a *accounting) flush(ctx context.Context, deadline time.Time) {
	if a == nil {
		return
	}
	timeout := max(minFlushTimeout, min(flushTimeout, time.Until(deadline)))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !a.flushed() {
		a.host.exchanger.TriggerExchanges()
		if !timekeeper.Sleep(ctx, flushCheckInterval) {
			return
		}
	}
}

// flushed reports whether the hosts that need the counts of this one have them all.
func (a *accounting) flushed() bool {
	collector := a.collector()
	if collector != a.host.Settings.Host {
		return a.book.AcknowledgedBy(collector)
	}
	catalog := a.host.latestCatalog()
	if catalog == nil {
		return true
	}
	for _, name := range a.standbysOf(catalog) {
		if !a.book.AcknowledgedBy(name) {
			return false
		}
	}
	return true
}

func (a *accounting) leadership() (accountant.Leadership, bool) {
	leadership, ok := a.host.overseer.Leadership()
	return accountant.Leadership(leadership), ok
}

// incarnations returns the registered processes by host.
func (a *accounting) incarnations() map[string]string {
	incarnations := map[string]string{a.host.Settings.Host: a.host.incarnation}
	if catalog := a.host.latestCatalog(); catalog != nil {
		for name, host := range catalog.Hosts {
			incarnations[name] = host.Incarnation
		}
	}
	return incarnations
}

func (a *accounting) stored() (value []byte, revision int64, ok bool) {
	record, ok := a.host.mirror.Get(accountant.RecordKey)
	return record.Value, record.Revision, ok
}

// write writes the record, and applies the outcome to the mirror.
func (a *accounting) write(ctx context.Context, value []byte, expectedRevision int64) (int64, error) {
	put := storer.Put{Key: accountant.RecordKey, Value: value, ExpectedRevision: expectedRevision}
	revision, err := a.host.Platform.Store.Write(ctx, put)
	if err == nil {
		a.host.mirror.ApplyWrite(informer.Record{Key: put.Key, Value: value, Revision: revision})
		return revision, nil
	}
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && conflict.Current.ModRevision > 0 {
		a.host.mirror.ApplyWrite(informer.Record{Key: put.Key, Value: conflict.Current.Value, Revision: conflict.Current.ModRevision})
	}
	return 0, err
}

// readCheckpoint returns the checkpoint in the store, which is not mirrored.
func (a *accounting) readCheckpoint(ctx context.Context) (value []byte, revision int64, err error) {
	page, err := a.host.Platform.Store.List(ctx, accountant.CheckpointKey, "")
	if err != nil {
		return nil, 0, err
	}
	for _, entry := range page.Entries {
		if entry.Key == accountant.CheckpointKey {
			return entry.Value, entry.ModRevision, nil
		}
	}
	return nil, 0, nil
}

func (a *accounting) writeCheckpoint(ctx context.Context, value []byte, expectedRevision int64) (int64, error) {
	return a.host.Platform.Store.Write(ctx, storer.Put{Key: accountant.CheckpointKey, Value: value, ExpectedRevision: expectedRevision})
}

// isCheckpoint reports whether a key is that of the checkpoint, which only the leader reads.
func isCheckpoint(key string) bool { return key == accountant.CheckpointKey }
