package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre is the number of hosts in a data centre that watch the store.
const watchersPerDataCentre = 3

// A HostView is a known host in a View.
type HostView struct {
	Host
	// ChangedAt is when State, Incarnation or Departing last changed in the view of
	// this host.
	ChangedAt time.Time
	// Eligible reports whether services may be placed on the host.
	Eligible bool
}

// A ClaimView is the claim that takes precedence for a service.
type ClaimView struct {
	Claim
	// Live reports whether the claim is in effect: it was not withdrawn, and its
	// holder has not failed, left or restarted.
	Live bool
	// Address is the peer address of the holder, empty if it is not known.
	Address string
}

// A View is a snapshot of hosts and claims. It is immutable.
type View struct {
	// Self is the name of this host.
	Self string
	// Hosts holds all known hosts, including this one, sorted by name.
	Hosts []HostView
	// Claims holds the claims by service.
	Claims map[string]ClaimView
	// TakenOut reports whether operators have taken a host or its data centre out of
	// service; nil means never.
	TakenOut func(host, dataCentre string) bool

	unavailable map[unavailabilityKey]bool
}

// View returns a snapshot of hosts and claims.
func (c *Core) View(now time.Time, takenOut func(host, dataCentre string) bool) *View {
	v := &View{
		Self: c.Self.Name, TakenOut: takenOut,
		Claims: make(map[string]ClaimView, len(c.claims)), unavailable: make(map[unavailabilityKey]bool),
	}
	v.Hosts = append(v.Hosts, HostView{
		Host: c.Self, ChangedAt: c.started, Eligible: c.selfEligible && c.Self.canHoldServices(),
	})
	for _, m := range c.members {
		v.Hosts = append(v.Hosts, HostView{Host: m.Host, ChangedAt: m.changedAt, Eligible: m.eligible && m.canHoldServices()})
	}
	slices.SortFunc(v.Hosts, func(a, b HostView) int { return strings.Compare(a.Name, b.Name) })
	for service, claim := range c.claims {
		v.Claims[service] = c.newClaimView(claim)
	}
	for key, u := range c.unavailable {
		if !u.revoked && now.Before(u.until) {
			v.unavailable[key] = true
		}
	}
	return v
}

func (c *Core) newClaimView(claim Claim) ClaimView {
	view := ClaimView{Claim: claim}
	host, known := c.lookupHost(claim.Host)
	if !known {
		return view
	}
	view.Address = host.PeerAddress
	holderLost := host.State == Failed || host.State == Left || host.Incarnation != claim.Incarnation
	view.Live = !claim.Withdrawn && !holderLost
	return view
}

// Host returns the host with the given name.
func (v *View) Host(name string) (HostView, bool) {
	i, ok := slices.BinarySearchFunc(v.Hosts, name, func(h HostView, name string) int {
		return strings.Compare(h.Name, name)
	})
	if !ok {
		return HostView{}, false
	}
	return v.Hosts[i], true
}

// Ranking returns the eligible hosts for a service, most preferred first, by
// rendezvous hashing: when a host is removed, only its services are reassigned.
func (v *View) Ranking(service string) []string {
	var available, all []HostView
	for _, h := range v.Hosts {
		if !h.Eligible || v.TakenOut != nil && v.TakenOut(h.Name, h.DataCentre) {
			continue
		}
		all = append(all, h)
		if !v.unavailable[unavailabilityKey{service: service, host: h.Name}] {
			available = append(available, h)
		}
	}
	if len(available) == 0 {
		// If no host reaches a majority, the cause lies with the databases and not
		// with the hosts: the highest-ranked host keeps trying.
		available = all
	}
	return rank(service, available)
}

// PreferredHost returns the first host of the ranking, or "" if no host is eligible.
func (v *View) PreferredHost(service string) string {
	ranking := v.Ranking(service)
	if len(ranking) == 0 {
		return ""
	}
	return ranking[0]
}

// WatchesStore reports whether this host is one of the watchersPerDataCentre hosts
// of its data centre that watch the store.
func (v *View) WatchesStore() bool {
	self, ok := v.Host(v.Self)
	if !ok {
		return false
	}
	var hosts []HostView
	for _, h := range v.Hosts {
		if h.DataCentre == self.DataCentre && (h.canHoldServices() || h.Name == v.Self) {
			hosts = append(hosts, h)
		}
	}
	ranking := rank("store watch "+self.DataCentre, hosts)
	return slices.Contains(ranking[:min(watchersPerDataCentre, len(ranking))], v.Self)
}

// rank returns the host names in descending order of their rendezvous scores for a
// key.
func rank(key string, hosts []HostView) []string {
	scores := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		scores[h.Name] = xxhash.Sum64String(key + "\x00" + h.Name)
	}
	return slices.SortedFunc(maps.Keys(scores), func(a, b string) int {
		if scores[a] != scores[b] {
			if scores[a] > scores[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
}

// A Confirmation states which revision a host is known to have adopted.
type Confirmation struct {
	Host     string
	Revision uint64
	// Age is the time since the host was last known to have it.
	Age time.Duration
	// Present reports whether the host has neither failed nor left.
	Present bool
}

// Confirmations returns the revisions of all hosts that have not left, sorted by
// host name.
func (c *Core) Confirmations(now time.Time) []Confirmation {
	list := []Confirmation{{Host: c.Self.Name, Revision: c.revision, Present: true}}
	for _, m := range c.members {
		if m.State == Left {
			continue
		}
		confirmation := Confirmation{Host: m.Name, Revision: m.revision, Present: m.present()}
		if !m.revisionAt.IsZero() {
			confirmation.Age = now.Sub(m.revisionAt)
		}
		list = append(list, confirmation)
	}
	slices.SortFunc(list, func(a, b Confirmation) int { return strings.Compare(a.Host, b.Host) })
	return list
}
