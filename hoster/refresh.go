package hoster

import (
	"context"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/exchanger"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// unlistedHostRetention is how long a host that has reported counts as part of the
	// fleet although the store does not list it.
	unlistedHostRetention = 5 * time.Second
	// quotaRetention is how long the connection quota of a host that left is not
	// given to others: a host that is partitioned from the store may still use its
	// connections.
	quotaRetention = 20 * time.Second
)

// notifyChange has a catalog built, at once unless the change is deferrable.
func (h *Host) notifyChange(deferrable bool) {
	changed := h.changed
	if deferrable {
		changed = h.changedDeferrable
	}
	select {
	case changed <- struct{}{}:
	default:
	}
}

// reportConflict reports that the mirror ignored a record which differs from the one
// that it holds at the same revision.
func (h *Host) reportConflict(key string, revision int64) {
	gometrics.GetOrRegisterCounter("records_conflicting", h.Registry).Inc(1)
	h.Logger.Warn("record_conflicts", "key", key, "revision", revision)
}

// maxLoggedError is the largest number of bytes of an error in a log line: the error about a
// record may quote the record.
const maxLoggedError = 4 << 10

func shorten(text string) string {
	if len(text) <= maxLoggedError {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedError], "") + "..."
}

// latestCatalog returns the latest catalog, or nil.
func (h *Host) latestCatalog() *cataloger.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// buildCatalogs builds a catalog after each change of the mirror, or after several that are
// deferrable.
func (h *Host) buildCatalogs(ctx context.Context) error {
	builder := &catalogBuilder{decoder: h.Platform.Decoder, now: timekeeper.Now, onReject: func(key string, revision int64, err error) {
		gometrics.GetOrRegisterCounter("records_rejected", h.Registry).Inc(1)
		h.Logger.Warn("record_rejected", "key", key, "revision", revision, "error", shorten(err.Error()))
	}}
	lastRevisionSum := int64(0)
	var pacer catalogPacer
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-h.changed:
		case <-h.changedDeferrable:
			if !pacer.postpone(timekeeper.Now(), h.largeFleet()) {
				timer.Reset(pacer.wait(timekeeper.Now()))
				continue
			}
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		began := timekeeper.Now()
		records, revision := h.mirror.Records()
		catalog, next := builder.build(records, revision)
		h.addUnlistedHosts(catalog)
		catalog.Stopping = h.stoppingHosts(catalog)
		h.mu.Lock()
		catalog.RecentHosts = h.recentHosts.update(catalog, timekeeper.Now())
		catalog.Starting = h.newHosts.update(catalog.Hosts, timekeeper.Now())
		h.catalog = catalog
		h.mu.Unlock()
		h.director.SetCatalog(catalog)
		if revisionSum := assignmentRevisionSum(catalog); revisionSum != lastRevisionSum {
			lastRevisionSum = revisionSum
			h.exchanger.TriggerExchanges()
		}
		pacer.built(began, next)
		timer.Reset(pacer.wait(timekeeper.Now()))
	}
}

// addUnlistedHosts adds hosts that reported recently although the store does not list
// them.
func (h *Host) addUnlistedHosts(catalog *cataloger.Catalog) {
	now := timekeeper.Now()
	h.exchanger.EachPeer(func(name string, peer *exchanger.Peer) bool {
		if _, ok := catalog.Hosts[name]; ok || peer.HeardAt.IsZero() || now.Sub(peer.HeardAt) > unlistedHostRetention {
			return true
		}
		host := cataloger.Host{
			Name: name, Incarnation: peer.Report.Incarnation, Address: peer.Report.Address, DataCentre: peer.Report.DataCentre,
		}
		if !catalog.HasEnded(host) {
			catalog.Hosts[name] = host
		}
		return true
	})
}

// assignmentRevisionSum returns a number that changes with each primary assignment.
func assignmentRevisionSum(catalog *cataloger.Catalog) int64 {
	sum := int64(0)
	for _, assignment := range catalog.Assignments {
		sum += assignment.Revision
	}
	return sum
}

// recentHosts holds when each host was last part of the fleet.
type recentHosts map[string]recentHost

type recentHost struct {
	host   cataloger.Host
	seenAt time.Time
}

// update records the present hosts and returns all hosts among which connections are
// divided. Hosts that have left in order have closed theirs, and those that the leader
// has removed from the voters, because it has not heard them for seconds, are most likely gone.
func (s recentHosts) update(catalog *cataloger.Catalog, now time.Time) []cataloger.Host {
	for name, host := range catalog.Hosts {
		s[name] = recentHost{host: host, seenAt: now}
	}
	list := make([]cataloger.Host, 0, len(s))
	for name, known := range s {
		if now.Sub(known.seenAt) > quotaRetention || catalog.HasEnded(known.host) {
			delete(s, name)
			continue
		}
		if catalog.Voters.WasRemoved(name) {
			continue
		}
		list = append(list, known.host)
	}
	cataloger.SortHosts(list)
	return list
}
