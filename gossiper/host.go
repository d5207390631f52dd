// Package gossiper keeps the membership of the hosts, the holder claims, the
// spread of the configuration revision and the freshness of this host, by
// heartbeats between the hosts.
package gossiper

import "time"

// State is the state of a host as the others see it.
type State uint8

// The states of a host. Of two entries of the same incarnation and version the
// one with the higher state wins.
const (
	// Alive hosts answer heartbeats.
	Alive State = iota
	// Leaving hosts finish their work and get no new services.
	Leaving
	// Suspect hosts did not answer and have not refuted yet.
	Suspect
	// Failed hosts did not refute in time.
	Failed
	// Left hosts have ended a planned stop.
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

// A Host is one host as its own heartbeats, or those of others, describe it.
type Host struct {
	// Name is unique among the hosts and stays the same over restarts.
	Name       string
	DataCentre string
	// PeerAddress is the IP address and port of the messenger.
	PeerAddress string
	// CallerAddress is the IP address and port for callers.
	CallerAddress string
	// Incarnation is the start time of the process in ns; a restarted host has
	// a higher one.
	Incarnation uint64
	// Version grows within an incarnation when the host refutes a suspicion or
	// starts to leave.
	Version uint64
	State   State
	// Departing says that the host had started to leave before it was
	// suspected, so that a refuted suspicion does not make it eligible.
	Departing bool
}

// A HostEntry is a line of the platform's host list, which may lag.
type HostEntry struct {
	// Name may be empty where only the address is known, as for seeds.
	Name        string
	DataCentre  string
	PeerAddress string
}

// A Claim says which host holds a service.
type Claim struct {
	Service string
	// Host is the name of the holder and Incarnation its incarnation then.
	Host        string
	Incarnation uint64
	// Term is the term of the group that the holder raised; the claim with the
	// highest term counts.
	Term uint64
	// Withdrawn says that the holder has handed the service over.
	Withdrawn bool
}

// An Unable says that a host reaches no majority of a service's databases.
type Unable struct {
	Service     string
	Host        string
	Incarnation uint64
	// Sequence orders the declarations of one incarnation for one service.
	Sequence uint64
	// Remaining is the time for which the declaration still counts; 0 revokes it.
	Remaining time.Duration
}

// Confirmations says which hosts have adopted a revision, as a bitmap over the
// sorted names of the known hosts. It is used where hosts are too many to be
// heard from directly.
type Confirmations struct {
	Revision uint64
	// Hosts is the hash of the sorted names that the bitmap refers to.
	Hosts  uint64
	Bitmap []byte
}

// A Heartbeat is sent to a peer, which answers with one of its own.
type Heartbeat struct {
	// From describes the sender.
	From Host
	// Revision is the configuration revision the sender has adopted.
	Revision uint64
	// Fresh says that the sender is fresh, with FreshAge as the age of the
	// contact that makes it so.
	Fresh    bool
	FreshAge time.Duration
	// Heard says that the sender got an answer or a heartbeat from the receiver
	// within the last second: traffic passes both ways.
	Heard bool
	// Digest is a hash of the members and claims the sender knows.
	Digest uint64
	// Full asks the receiver for all members and claims.
	Full bool
	// Members, Claims and Unable carry changes, or everything after Full.
	Members       []Host
	Claims        []Claim
	Unable        []Unable
	Confirmations Confirmations
}
