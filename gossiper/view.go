package gossiper

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watchersPerDataCentre is how many hosts of a data centre watch the store.
const watchersPerDataCentre = 3

// A HostView is a known host.
type HostView struct {
	Host
	// ChangedAt is when State changed as this host saw it.
	ChangedAt time.Time
	// Eligible says that services may be placed on the host.
	Eligible bool
}

// A ClaimView is the claim that counts for a service.
type ClaimView struct {
	Claim
	// Live says that the claim was not withdrawn and that its holder has not
	// failed, left or restarted.
	Live bool
	// Address is the peer address of the holder, empty if it is not known.
	Address string
}

// A View is a snapshot of hosts and claims. It is immutable.
type View struct {
	// Self is the name of this host.
	Self string
	// Hosts holds all known hosts, this one too, in the order of their names.
	Hosts []HostView
	// Claims holds the claims by service.
	Claims map[string]ClaimView
	// TakenOut says that operators have taken a host or its data centre out of
	// service; nil stands for never.
	TakenOut func(host, dataCentre string) bool

	unable map[unableKey]bool
}

// View returns a snapshot.
func (c *Core) View(now time.Time, takenOut func(host, dataCentre string) bool) *View {
	v := &View{
		Self: c.Self.Name, TakenOut: takenOut,
		Claims: make(map[string]ClaimView, len(c.claims)), unable: make(map[unableKey]bool),
	}
	v.Hosts = append(v.Hosts, HostView{
		Host: c.Self, ChangedAt: c.started, Eligible: c.selfEligible && c.Self.placeable(),
	})
	for _, m := range c.members {
		v.Hosts = append(v.Hosts, HostView{Host: m.Host, ChangedAt: m.changedAt, Eligible: m.eligible && m.placeable()})
	}
	slices.SortFunc(v.Hosts, func(a, b HostView) int { return strings.Compare(a.Name, b.Name) })
	for service, claim := range c.claims {
		v.Claims[service] = c.viewClaim(claim)
	}
	for key, u := range c.unable {
		if !u.revoked && now.Before(u.until) {
			v.unable[key] = true
		}
	}
	return v
}

func (c *Core) viewClaim(claim Claim) ClaimView {
	view := ClaimView{Claim: claim}
	host, known := c.describe(claim.Host)
	if !known {
		return view
	}
	view.Address = host.PeerAddress
	gone := host.State == Failed || host.State == Left || host.Incarnation != claim.Incarnation
	view.Live = !claim.Withdrawn && !gone
	return view
}

// Host returns the host of the name.
func (v *View) Host(name string) (HostView, bool) {
	i, ok := slices.BinarySearchFunc(v.Hosts, name, func(h HostView, name string) int {
		return strings.Compare(h.Name, name)
	})
	if !ok {
		return HostView{}, false
	}
	return v.Hosts[i], true
}

// Ranking returns the eligible hosts for a service, best first, by rendezvous
// hashing: when a host goes, only its services move.
func (v *View) Ranking(service string) []string {
	var able, all []HostView
	for _, h := range v.Hosts {
		if !h.Eligible || v.TakenOut != nil && v.TakenOut(h.Name, h.DataCentre) {
			continue
		}
		all = append(all, h)
		if !v.unable[unableKey{service: service, host: h.Name}] {
			able = append(able, h)
		}
	}
	if len(able) == 0 {
		// When no host reaches a majority, the databases are down and not the
		// hosts: whoever comes first goes on trying.
		able = all
	}
	return rank(service, able)
}

// Winner returns the first of the ranking, or "" if no host is eligible.
func (v *View) Winner(service string) string {
	ranking := v.Ranking(service)
	if len(ranking) == 0 {
		return ""
	}
	return ranking[0]
}

// WatchesStore reports whether this host is one of the three of its data centre
// that watch the store.
func (v *View) WatchesStore() bool {
	self, ok := v.Host(v.Self)
	if !ok {
		return false
	}
	var hosts []HostView
	for _, h := range v.Hosts {
		if h.DataCentre == self.DataCentre && (h.placeable() || h.Name == v.Self) {
			hosts = append(hosts, h)
		}
	}
	ranking := rank("store watch "+self.DataCentre, hosts)
	return slices.Contains(ranking[:min(watchersPerDataCentre, len(ranking))], v.Self)
}

// rank orders hosts by their rendezvous scores for a key.
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

// A Confirmation says which revision a host is known to have adopted.
type Confirmation struct {
	Host     string
	Revision uint64
	// Age is the time since the host was known to have it.
	Age time.Duration
	// Present says that the host has not failed or left.
	Present bool
}

// Confirmations returns the revisions of all known hosts, in the order of names.
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
