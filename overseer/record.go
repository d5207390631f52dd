package overseer

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/cataloger"
)

// Keys of the store that hosts write.
const (
	Prefix      = "endiveturn/"
	hostsPrefix = Prefix + "hosts/"
	leadsPrefix = Prefix + "leads/"
	dutyKey     = Prefix + "duty"
)

type wireHost struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Capacity    int64  `json:"capacity"`
}

type wireLead struct {
	ID     string `json:"id"`
	Born   int64  `json:"born"`
	Term   uint64 `json:"term"`
	Moving bool   `json:"moving"`
	Grace  string `json:"grace"`
}

type wireDuty struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types above always encode
	}
	return data
}

func encodeHost(h cataloger.Host) []byte {
	return encode(wireHost{Incarnation: h.Incarnation, Address: h.Address, DataCentre: h.DataCentre, Capacity: h.Capacity})
}

func encodeLead(l cataloger.Lead) []byte {
	return encode(wireLead{ID: l.ID, Born: l.Born, Term: l.Term, Moving: l.Moving, Grace: l.Grace.String()})
}

// DutyKey is the key whose record names the holder of the duty.
const DutyKey = dutyKey

// DutyHolder returns the name of the host that a record of DutyKey names, or "".
func DutyHolder(value []byte) string {
	var wire wireDuty
	if err := json.Unmarshal(value, &wire); err != nil {
		// A record that can't be read names nobody; the next holder replaces it.
		return ""
	}
	return wire.Host
}

// HostOf decodes a host's record; ok is false for other keys.
func HostOf(key string, value []byte) (host cataloger.Host, ok bool, err error) {
	name, ok := strings.CutPrefix(key, hostsPrefix)
	if !ok {
		return cataloger.Host{}, false, nil
	}
	var wire wireHost
	if err := json.Unmarshal(value, &wire); err != nil {
		return cataloger.Host{}, true, errors.Wrapf(err, "host %s", name)
	}
	return cataloger.Host{
		Name: name, Incarnation: wire.Incarnation, Address: wire.Address, DataCentre: wire.DataCentre, Capacity: wire.Capacity,
	}, true, nil
}

// LeadOf decodes the record of a service's primary; ok is false for other keys.
func LeadOf(key string, value []byte, revision int64) (lead cataloger.Lead, ok bool, err error) {
	service, ok := strings.CutPrefix(key, leadsPrefix)
	if !ok {
		return cataloger.Lead{}, false, nil
	}
	var wire wireLead
	if err := json.Unmarshal(value, &wire); err != nil {
		return cataloger.Lead{}, true, errors.Wrapf(err, "lead of %s", service)
	}
	grace, err := time.ParseDuration(wire.Grace)
	if err != nil {
		return cataloger.Lead{}, true, errors.Wrapf(err, "lead of %s", service)
	}
	return cataloger.Lead{
		Service: service, ID: wire.ID, Born: wire.Born, Term: wire.Term, Moving: wire.Moving, Grace: grace, Revision: revision,
	}, true, nil
}
