package server

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

type wireStatus struct {
	Host        string           `json:"host"`
	DataCentre  string           `json:"data_centre"`
	State       string           `json:"state"`
	Revision    uint64           `json:"revision"`
	Fresh       bool             `json:"fresh"`
	FreshReason string           `json:"fresh_reason"`
	Connections int              `json:"connections"`
	Uptime      string           `json:"uptime"`
	Services    []wireService    `json:"services"`
	Hosts       []wireHost       `json:"hosts"`
	Customers   []wireCustomer   `json:"customers"`
	Counters    map[string]int64 `json:"counters"`
}

type wireService struct {
	Name      string         `json:"name"`
	Held      bool           `json:"held"`
	Term      uint64         `json:"term"`
	Primary   string         `json:"primary"`
	Databases []wireDatabase `json:"databases"`
}

type wireDatabase struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Reachable   bool   `json:"reachable"`
	Lag         uint64 `json:"lag_entries"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Connections int    `json:"connections"`
}

type wireHost struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Revision   uint64 `json:"revision"`
	Age        string `json:"revision_age"`
}

type wireCustomer struct {
	Customer string  `json:"customer"`
	Service  string  `json:"service"`
	Tokens   float64 `json:"tokens"`
	Burst    float64 `json:"burst"`
	Rate     float64 `json:"rate"`
}

// EncodeStatus returns the JSON form of a status.
func EncodeStatus(s Status) ([]byte, error) {
	wire := wireStatus{
		Host: s.Host, DataCentre: s.DataCentre, State: s.State, Revision: s.Revision, Fresh: s.Fresh,
		FreshReason: s.FreshReason, Connections: s.Connections, Uptime: s.Uptime.String(), Counters: s.Counters,
		Services: []wireService{}, Hosts: []wireHost{}, Customers: []wireCustomer{},
	}
	for _, service := range s.Services {
		w := wireService{Name: service.Name, Held: service.Held, Term: service.Term, Primary: service.Primary, Databases: []wireDatabase{}}
		for _, d := range service.Databases {
			w.Databases = append(w.Databases, wireDatabase(d))
		}
		wire.Services = append(wire.Services, w)
	}
	for _, h := range s.Hosts {
		wire.Hosts = append(wire.Hosts, wireHost{
			Name: h.Name, DataCentre: h.DataCentre, State: h.State, Revision: h.Revision, Age: h.Age.String(),
		})
	}
	for _, c := range s.Customers {
		wire.Customers = append(wire.Customers, wireCustomer(c))
	}
	content, err := json.Marshal(wire)
	return content, errors.WithStack(err)
}

// DecodeStatus decodes the output of EncodeStatus.
func DecodeStatus(content []byte) (Status, error) {
	var wire wireStatus
	if err := json.Unmarshal(content, &wire); err != nil {
		return Status{}, errors.Wrap(err, "decode status")
	}
	uptime, err := time.ParseDuration(wire.Uptime)
	if err != nil {
		return Status{}, errors.Wrap(err, "decode status")
	}
	s := Status{
		Host: wire.Host, DataCentre: wire.DataCentre, State: wire.State, Revision: wire.Revision, Fresh: wire.Fresh,
		FreshReason: wire.FreshReason, Connections: wire.Connections, Uptime: uptime, Counters: wire.Counters,
	}
	for _, w := range wire.Services {
		service := ServiceStatus{Name: w.Name, Held: w.Held, Term: w.Term, Primary: w.Primary}
		for _, d := range w.Databases {
			service.Databases = append(service.Databases, DatabaseStatus(d))
		}
		s.Services = append(s.Services, service)
	}
	for _, h := range wire.Hosts {
		age, err := time.ParseDuration(h.Age)
		if err != nil {
			return Status{}, errors.Wrap(err, "decode status")
		}
		s.Hosts = append(s.Hosts, HostStatus{Name: h.Name, DataCentre: h.DataCentre, State: h.State, Revision: h.Revision, Age: age})
	}
	for _, c := range wire.Customers {
		s.Customers = append(s.Customers, CustomerStatus(c))
	}
	return s, nil
}
