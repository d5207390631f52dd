package hoster

import (
	"context"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// heardRecently is how long a host that was heard counts as one of the
	// fleet though the store does not list it.
	heardRecently = 5 * time.Second
	// sharesKept is how long the connections of a host that left are not dealt
	// to others: a host that is cut off from the store may still use them.
	sharesKept = 20 * time.Second
)

func (h *Host) noteChange() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// current returns the newest catalog, or nil.
func (h *Host) current() *cataloger.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// view makes a catalog after each change of the copy of the store.
func (h *Host) view(ctx context.Context) error {
	v := &viewer{decoder: h.Platform.Decoder, now: timekeeper.Now, rejected: func(key string, revision int64, err error) {
		h.Logger.Warn("record_rejected", "key", key, "revision", revision, "error", err.Error())
	}}
	leads := int64(0)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-h.changed:
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		records, revision := h.mirror.Records()
		catalog, next := v.view(records, revision)
		h.addHeard(catalog)
		h.mu.Lock()
		catalog.Sharers = h.sharers.update(catalog.Hosts, timekeeper.Now())
		if h.fleetSince.IsZero() && h.mirror.Listed() {
			h.fleetSince = timekeeper.Now()
		}
		h.catalog = catalog
		h.mu.Unlock()
		h.director.SetCatalog(catalog)
		if moved := leadRevisions(catalog); moved != leads {
			leads = moved
			h.exchanger.Spread()
		}
		wait := time.Hour
		if !next.IsZero() {
			wait = max(time.Millisecond, next.Sub(timekeeper.Now()))
		}
		timer.Reset(wait)
	}
}

// addHeard adds hosts that are heard though the store does not list them.
func (h *Host) addHeard(catalog *cataloger.Catalog) {
	now := timekeeper.Now()
	for name, peer := range h.exchanger.Reports() {
		if _, ok := catalog.Hosts[name]; ok || peer.Heard.IsZero() || now.Sub(peer.Heard) > heardRecently {
			continue
		}
		catalog.Hosts[name] = cataloger.Host{
			Name: name, Incarnation: peer.Report.Incarnation, Address: peer.Report.Address, DataCentre: peer.Report.DataCentre,
		}
	}
}

// leadRevisions returns a number that changes with each lead.
func leadRevisions(catalog *cataloger.Catalog) int64 {
	sum := int64(0)
	for _, lead := range catalog.Leads {
		sum += lead.Revision
	}
	return sum
}

// sharers holds when each host was last one of the fleet.
type sharers map[string]sharer

type sharer struct {
	host cataloger.Host
	seen time.Time
	// since is from when on the host has been one of the fleet, short absences
	// aside.
	since time.Time
}

// update takes in the present hosts and returns all that connections are
// shared out to.
func (s sharers) update(hosts map[string]cataloger.Host, now time.Time) []cataloger.Host {
	for name, host := range hosts {
		known, ok := s[name]
		if !ok || now.Sub(known.seen) > shortAbsence {
			known.since = now
		}
		s[name] = sharer{host: host, seen: now, since: known.since}
	}
	list := make([]cataloger.Host, 0, len(s))
	for name, known := range s {
		if now.Sub(known.seen) > sharesKept {
			delete(s, name)
			continue
		}
		list = append(list, known.host)
	}
	cataloger.SortHosts(list)
	return list
}
