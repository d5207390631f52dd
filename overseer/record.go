package overseer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
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
}

type assignmentRecord struct {
	ID     string `json:"id"`
	Born   int64  `json:"born"`
	Term   uint64 `json:"term"`
	Moving bool   `json:"moving"`
	Grace  string `json:"grace"`
	// Era is the era of the store in which the leader wrote the record. Leaders of a
	// former version leave it out.
	Era *int64 `json:"era"`
}

type leaderRecord struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
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
	return encode(assignmentRecord{
		ID: a.ID, Born: a.StartedAtMillis, Term: a.Term, Moving: a.Changing, Grace: a.GracePeriod.String(), Era: &era,
	})
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
	var record leaderRecord
	if err := json.Unmarshal(value, &record); err != nil {
		// A malformed record names no host; the next leader overwrites it.
		return ""
	}
	return record.Host
}

// DecodeHost decodes a host's record; ok is false for other keys.
func DecodeHost(key string, value []byte) (host cataloger.Host, ok bool, err error) {
	name, ok := strings.CutPrefix(key, hostsPrefix)
	if !ok {
		return cataloger.Host{}, false, nil
	}
	var record hostRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return cataloger.Host{}, true, errors.Wrapf(err, "record of host %s", name)
	}
	return cataloger.Host{
		Name: name, Incarnation: record.Incarnation, Address: record.Address, DataCentre: record.DataCentre, Capacity: record.Capacity,
	}, true, nil
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
	return cataloger.PrimaryAssignment{
		Service: service, ID: record.ID, StartedAtMillis: record.Born, Term: record.Term, Changing: record.Moving, GracePeriod: gracePeriod, Revision: revision,
	}, true, nil
}
