package overseer

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/storer"
)

// Keys that hosts write to the store.
const (
	Prefix            = "endiveturn/"
	hostsPrefix       = Prefix + "hosts/"
	assignmentsPrefix = Prefix + "leads/"
	leaderKey         = Prefix + "duty"
)

type hostRecord struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Capacity    int64  `json:"capacity"`
	// Ended is set once the process has left in order. It is the last record of the process,
	// which stays until the lease expires.
	Ended bool `json:"ended,omitempty"`
	// EndedIn is the era of the store in which it left.
	EndedIn int64 `json:"ended_in,omitempty"`
}

// encodeEnded encodes the record of a host that has left in order.
func encodeEnded(h cataloger.Host, era int64) []byte {
	return encode(hostRecord{Incarnation: h.Incarnation, Address: h.Address, DataCentre: h.DataCentre, Capacity: h.Capacity, Ended: true, EndedIn: era})
}

type assignmentRecord struct {
	ID     string `json:"id"`
	Born   int64  `json:"born"`
	Term   uint64 `json:"term"`
	Moving bool   `json:"moving"`
	// Grace is how long after Recorded open transactions may continue.
	Grace string `json:"grace"`
	// Recorded is left out if no grace period is granted, and by leaders of a former version.
	Recorded *processTimeRecord `json:"recorded,omitempty"`
	// Era is the era of the store in which the leader wrote the record. Leaders of a
	// former version leave it out.
	Era *int64 `json:"era"`
	// Pending is left out if no promotion is pending, and by leaders of a former version.
	Pending *pendingRecord `json:"pending,omitempty"`
}

type processTimeRecord struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Uptime      string `json:"uptime"`
}

type pendingRecord struct {
	ID         string `json:"id"`
	Born       int64  `json:"born"`
	FormerTerm uint64 `json:"former_term"`
}

type leaderRecord struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Successor is the host to which the leader transfers its leadership, if it does.
	Successor string `json:"successor,omitempty"`
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the record types always encode
	}
	return data
}

func encodeHost(h cataloger.Host) []byte {
	return encode(hostRecord{Incarnation: h.Incarnation, Address: h.Address, DataCentre: h.DataCentre, Capacity: h.Capacity})
}

func encodeAssignment(a cataloger.PrimaryAssignment, era int64) []byte {
	record := assignmentRecord{ID: a.ID, Born: a.StartedAtMillis, Term: a.Term, Moving: a.Changing, Grace: a.GracePeriod.String(), Era: &era}
	if t := a.RecordedAt; t != (cataloger.ProcessTime{}) {
		record.Recorded = &processTimeRecord{Host: t.Host, Incarnation: t.Incarnation, Uptime: t.Uptime.String()}
	}
	if p := a.Pending; p != (cataloger.PendingPromotion{}) {
		record.Pending = &pendingRecord{ID: p.ID, Born: p.StartedAtMillis, FormerTerm: p.FormerTerm}
	}
	return encode(record)
}

// WrittenIn returns the era of the store in which a leader wrote a primary assignment; ok
// is false for other records and for those of a former version.
func WrittenIn(key string, value []byte) (era int64, ok bool) {
	if !strings.HasPrefix(key, assignmentsPrefix) {
		return 0, false
	}
	var record assignmentRecord
	if err := json.Unmarshal(value, &record); err != nil {
		// The catalog rejects and reports a malformed record.
		return 0, false
	}
	if record.Era == nil {
		return 0, false
	}
	return *record.Era, true
}

// LeaderKey is the key of the record that names the leader.
const LeaderKey = leaderKey

// LeaderName returns the name of the host in the record of LeaderKey, or "".
func LeaderName(value []byte) string {
	name, err := decodeLeader(value)
	if err != nil {
		// CheckLeader reports it; the next leader replaces the record.
		return ""
	}
	return name
}

// CheckLeader returns an error if the record of LeaderKey names no host; ok is false for
// other keys.
func CheckLeader(key string, value []byte) (ok bool, err error) {
	if key != leaderKey {
		return false, nil
	}
	_, err = decodeLeader(value)
	return true, err
}

func decodeLeader(value []byte) (string, error) {
	var record leaderRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return "", errors.Wrap(err, "leader")
	}
	if record.Host == "" {
		return "", errors.New("leader: no host is named")
	}
	return record.Host, nil
}

// RegisteredHost returns the name of the host whose record has the key; ok is false for
// other keys.
func RegisteredHost(key string) (name string, ok bool) { return strings.CutPrefix(key, hostsPrefix) }

// A Registration is the decoded record of a host.
type Registration struct {
	Host cataloger.Host
	// State is what the record says about the host's process.
	State RegistrationState
}

// A RegistrationState is what the record of a host says about its process.
type RegistrationState int

const (
	// StateRegistered is that of a process which may use primaries.
	StateRegistered RegistrationState = iota
	// StateEnded is that of a process which has left in order.
	StateEnded
	// StateUnknown is that of a record which says that a process has left, and that the store
	// restored from a copy: a later process of the host may run.
	StateUnknown
)

// DecodeHost decodes a host's record of a revision; ok is false for other keys.
func DecodeHost(key string, value []byte, revision int64) (registration Registration, ok bool, err error) {
	name, ok := RegisteredHost(key)
	if !ok {
		return Registration{}, false, nil
	}
	var record hostRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return Registration{}, true, errors.Wrapf(err, "record of host %s", name)
	}
	if address, err := netip.ParseAddrPort(record.Address); err != nil || address.Port() == 0 || name == "" || record.Capacity < 0 {
		return Registration{}, true, errors.Errorf("record of host %q: address %q or capacity %d can't be used", name, record.Address, record.Capacity)
	}
	registration.Host = cataloger.Host{
		Name: name, Incarnation: record.Incarnation, Address: record.Address, DataCentre: record.DataCentre, Capacity: record.Capacity,
	}
	switch {
	case record.Ended && record.EndedIn == storer.EraOf(revision):
		registration.State = StateEnded
	case record.Ended:
		registration.State = StateUnknown
	}
	return registration, true, nil
}

// AssignmentKey returns the key of the record that assigns a service's primary.
func AssignmentKey(service string) string { return assignmentsPrefix + service }

// maxGracePeriod is the longest time for which transactions may continue with a primary that
// is being replaced.
const maxGracePeriod = time.Minute

// MalformedAssignment stands for an assignment that can't be decoded: no host uses a primary,
// and the leader replaces it as after a change that was interrupted. ok is false for other
// keys.
func MalformedAssignment(key string, revision int64) (assignment cataloger.PrimaryAssignment, ok bool) {
	service, ok := strings.CutPrefix(key, assignmentsPrefix)
	return cataloger.PrimaryAssignment{Service: service, Changing: true, Revision: revision}, ok
}

// DecodeAssignment decodes the record that assigns a service's primary; ok is false
// for other keys.
func DecodeAssignment(key string, value []byte, revision int64) (assignment cataloger.PrimaryAssignment, ok bool, err error) {
	service, ok := strings.CutPrefix(key, assignmentsPrefix)
	if !ok {
		return cataloger.PrimaryAssignment{}, false, nil
	}
	var record assignmentRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return cataloger.PrimaryAssignment{}, true, errors.Wrapf(err, "primary assignment of %s", service)
	}
	gracePeriod, err := time.ParseDuration(record.Grace)
	if err != nil {
		return cataloger.PrimaryAssignment{}, true, errors.Wrapf(err, "primary assignment of %s", service)
	}
	if gracePeriod < 0 || gracePeriod > maxGracePeriod {
		return cataloger.PrimaryAssignment{}, true, errors.Errorf("primary assignment of %s: grace period %v is not from 0 to %v", service, gracePeriod, maxGracePeriod)
	}
	assignment = cataloger.PrimaryAssignment{
		Service: service, ID: record.ID, StartedAtMillis: record.Born, Term: record.Term, Changing: record.Moving, GracePeriod: gracePeriod, Revision: revision,
	}
	if t := record.Recorded; t != nil {
		uptime, err := time.ParseDuration(t.Uptime)
		if err != nil {
			return cataloger.PrimaryAssignment{}, true, errors.Wrapf(err, "primary assignment of %s", service)
		}
		assignment.RecordedAt = cataloger.ProcessTime{Host: t.Host, Incarnation: t.Incarnation, Uptime: uptime}
	}
	if p := record.Pending; p != nil {
		assignment.Pending = cataloger.PendingPromotion{ID: p.ID, StartedAtMillis: p.Born, FormerTerm: p.FormerTerm}
	}
	return assignment, true, nil
}
