// Package gossiper implements a gossip protocol between the hosts. Through
// heartbeats it maintains the membership, detects failures, disseminates the claims
// of service holders and the configuration revision, and tracks whether the
// configuration of this host is fresh.
package gossiper

import "time"

// State is the state of a host as seen by the other hosts.
type State uint8

// The states of a host. Between two descriptions of a host with the same incarnation
// and version, the one with the higher state takes precedence.
const (
	// Alive hosts reply to heartbeats.
	Alive State = iota
	// Leaving hosts finish their work and are assigned no new services.
	Leaving
	// Suspect hosts did not reply to a heartbeat and have not refuted the suspicion yet.
	Suspect
	// Failed hosts did not refute the suspicion in time.
	Failed
	// Left hosts have completed a graceful stop.
	Left
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Failed:
		return "failed"
	case Left:
		return "left"
	}
	return "unknown"
}

// A Host describes a host, as announced by its own heartbeats or those of others.
type Host struct {
	// Name is unique among the hosts and stable across restarts.
	Name       string
	DataCentre string
	// PeerAddress is the IP address and port for connections from other hosts.
	PeerAddress string
	// ClientAddress is the IP address and port for client connections.
	ClientAddress string
	// Incarnation is the start time of the process in ns; a restarted host has
	// a higher one.
	Incarnation uint64
	// Version is incremented within an incarnation when the host refutes a report
	// about itself or changes its own state.
	Version uint64
	State   State
	// Departing is set if the host had started to leave before it was suspected, so
	// that a refuted suspicion does not make it eligible.
	Departing bool
}

// A HostEntry is an entry of the platform's host list, which may be out of date.
type HostEntry struct {
	// Name may be empty if only the address is known, as for seeds.
	Name        string
	DataCentre  string
	PeerAddress string
}

// A Claim states which host holds a service.
type Claim struct {
	Service string
	// Host is the name of the holder and Incarnation its incarnation at the time of
	// the claim.
	Host        string
	Incarnation uint64
	// Term is the term that the holder established in the database group; the claim
	// with the highest term takes precedence.
	Term uint64
	// Withdrawn is set if the holder no longer holds the service.
	Withdrawn bool
}

// An UnavailabilityReport states that the host does not reach a majority of the
// service's databases.
type UnavailabilityReport struct {
	Service     string
	Host        string
	Incarnation uint64
	// Sequence orders the reports of one incarnation for one service.
	Sequence uint64
	// Remaining is the time until the report expires; 0 revokes it.
	Remaining time.Duration
}

// Confirmations states which hosts have adopted a revision, as a bitmap over the
// sorted names of the present hosts. It is used in fleets that are too large for
// each host to receive this directly from every other host.
type Confirmations struct {
	Revision uint64
	// Hosts is the hash of the sorted names that the bitmap refers to.
	Hosts  uint64
	Bitmap []byte
}

// A Heartbeat is sent to a peer, which replies with a heartbeat of its own.
type Heartbeat struct {
	// From describes the sender.
	From Host
	// Revision is the configuration revision that the sender has adopted.
	Revision uint64
	// Fresh reports whether the sender is fresh; FreshAge is the age of the contact
	// that makes it fresh.
	Fresh    bool
	FreshAge time.Duration
	// ReceivedRecently reports whether the sender received a reply or a heartbeat
	// from the receiver within the last second, which shows that traffic passes both
	// ways.
	ReceivedRecently bool
	// Digest is a hash of the members and claims that the sender has.
	Digest uint64
	// RequestFullState requests a reply with all members and claims.
	RequestFullState bool
	// Members, Claims and UnavailabilityReports carry recent updates, or the full
	// state in a reply to a heartbeat with RequestFullState set.
	Members               []Host
	Claims                []Claim
	UnavailabilityReports []UnavailabilityReport
	Confirmations         Confirmations
}
