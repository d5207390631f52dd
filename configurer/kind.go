package configurer

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// A kind describes one kind of object for the codec, the diff and the delta.
type kind struct {
	// name is the value of the field "kind".
	name string
	// names returns the sorted names of the objects in a configuration.
	names func(*Config) []string
	// get returns the fields of a copy of an object.
	get func(*Config, string) ([]wireField, bool)
	// equal is a fast check before the fields are compared. It reports whether
	// both configurations contain the named object with deeply equal values; a
	// false result does not imply a difference.
	equal func(a, b *Config, name string) bool
	// add adds a new object to the configuration, whose table must not be
	// shared. The object has the default values except where fill sets others.
	// add returns the name of the object and whether it replaced another.
	add func(config *Config, fill func([]wireField)) (name string, replaced bool)
	// remove deletes an object from the configuration, whose table must not be
	// shared.
	remove func(*Config, string)
	// cloneTable replaces the table of the configuration by a copy of its own.
	cloneTable func(*Config)
}

// A wireField maps a JSON field name to a field of an object. The first field of
// every kind is the name of the object.
type wireField struct {
	name string
	// target points to the field, as a type with a unique JSON encoding.
	target any
	// secret is set if Diff must not show the values.
	secret bool
}

func newKind[T any](name string, table func(*Config) *map[string]T, defaults T, fields func(*T) []wireField) kind {
	return kind{
		name:  name,
		names: func(s *Config) []string { return slices.Sorted(maps.Keys(*table(s))) },
		get: func(s *Config, name string) ([]wireField, bool) {
			object, ok := (*table(s))[name]
			return fields(&object), ok
		},
		equal: func(a, b *Config, name string) bool {
			objectA, inA := (*table(a))[name]
			objectB, inB := (*table(b))[name]
			return inA && inB && reflect.DeepEqual(objectA, objectB)
		},
		add: func(s *Config, fill func([]wireField)) (string, bool) {
			object := defaults
			list := fields(&object)
			fill(list)
			name := *list[0].target.(*string)
			objects := table(s)
			if *objects == nil {
				*objects = make(map[string]T)
			}
			_, replaced := (*objects)[name]
			(*objects)[name] = object
			return name, replaced
		},
		remove:     func(s *Config, name string) { delete(*table(s), name) },
		cloneTable: func(s *Config) { *table(s) = maps.Clone(*table(s)) },
	}
}

// Default values of fields that a file omits.
const (
	defaultWeight         = 1
	defaultMaxQueued      = 100
	defaultMaxConnections = 1000
	defaultReplicaWait    = 10 * time.Millisecond
	defaultDeadline       = 5 * time.Second
	defaultDrainTimeout   = 10 * time.Second
)

// kinds lists the kinds in the order of the canonical form.
var kinds = []kind{
	newKind("data_centre", func(s *Config) *map[string]DataCentre { return &s.DataCentres }, DataCentre{}, dataCentreFields),
	newKind("host", func(s *Config) *map[string]Host { return &s.Hosts }, Host{}, hostFields),
	newKind("service", func(s *Config) *map[string]Service { return &s.Services }, Service{
		Acknowledge:  AcknowledgeMajority,
		ReplicaWait:  defaultReplicaWait,
		Deadline:     defaultDeadline,
		DrainTimeout: defaultDrainTimeout,
	}, serviceFields),
	newKind("database", func(s *Config) *map[string]Database { return &s.Databases }, Database{}, databaseFields),
	newKind("limit", func(s *Config) *map[string]Limit { return &s.Limits }, Limit{
		MaxQueued:      defaultMaxQueued,
		MaxConnections: defaultMaxConnections,
	}, limitFields),
	newKind("customer", func(s *Config) *map[string]Customer { return &s.Customers }, Customer{Weight: defaultWeight}, customerFields),
	newKind("key", func(s *Config) *map[string]Key { return &s.Keys }, Key{}, keyFields),
	newKind("route", func(s *Config) *map[string]Route { return &s.Routes }, Route{}, routeFields),
}

func findKind(name string) (kind, bool) {
	for _, k := range kinds {
		if k.name == name {
			return k, true
		}
	}
	return kind{}, false
}

func dataCentreFields(d *DataCentre) []wireField {
	return []wireField{
		{name: "name", target: &d.Name},
		{name: "region", target: &d.Region},
		{name: "taken_out", target: &d.TakenOut},
	}
}

func hostFields(h *Host) []wireField {
	return []wireField{
		{name: "name", target: &h.Name},
		{name: "taken_out", target: &h.TakenOut},
	}
}

func serviceFields(s *Service) []wireField {
	return []wireField{
		{name: "name", target: &s.Name},
		{name: "endpoint_user", target: &s.EndpointUser},
		{name: "endpoint_database", target: &s.EndpointDatabase},
		{name: "acknowledge", target: &s.Acknowledge},
		{name: "replica_wait", target: (*durationText)(&s.ReplicaWait)},
		{name: "deadline", target: (*durationText)(&s.Deadline)},
		{name: "drain_timeout", target: (*durationText)(&s.DrainTimeout)},
	}
}

func databaseFields(d *Database) []wireField {
	return []wireField{
		{name: "name", target: &d.Name},
		{name: "service", target: &d.Service},
		{name: "data_centre", target: &d.DataCentre},
		{name: "address", target: &d.Address},
		{name: "slots", target: &d.Slots},
		{name: "connections", target: &d.Connections},
		{name: "taken_out", target: &d.TakenOut},
	}
}

func limitFields(l *Limit) []wireField {
	return []wireField{
		{name: "name", target: &l.Name},
		{name: "rate", target: &l.Rate},
		{name: "burst", target: &l.Burst},
		{name: "max_queued", target: &l.MaxQueued},
		{name: "max_connections", target: &l.MaxConnections},
	}
}

func customerFields(c *Customer) []wireField {
	return []wireField{
		{name: "name", target: &c.Name},
		{name: "limit", target: &c.Limit},
		{name: "weight", target: &c.Weight},
	}
}

func keyFields(k *Key) []wireField {
	return []wireField{
		{name: "name", target: &k.Name},
		{name: "customer", target: &k.Customer},
		{name: "verifier", target: &k.Verifier, secret: true},
		{name: "withdrawn", target: &k.Revoked},
	}
}

func routeFields(r *Route) []wireField {
	return []wireField{
		{name: "name", target: &r.Name},
		{name: "service", target: &r.Service},
		{name: "customers", target: (*nameList)(&r.Customers)},
		{name: "open_as", target: &r.KeylessCustomer},
	}
}

// durationText is a duration that is encoded as a string such as "500ms".
type durationText time.Duration

// MarshalJSON encodes the duration as a string.
func (d durationText) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string that time.ParseDuration accepts.
func (d *durationText) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`want a duration such as "500ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is not a duration such as "500ms"`, text)
	}
	*d = durationText(parsed)
	return nil
}

// nameList is an unordered list of names. It is encoded in sorted order, and an
// empty list is decoded as nil, so that equal lists have the same encoding.
type nameList []string

// MarshalJSON encodes the names in sorted order.
func (l nameList) MarshalJSON() ([]byte, error) {
	sortedNames := append([]string{}, l...)
	slices.Sort(sortedNames)
	return json.Marshal(sortedNames)
}

// UnmarshalJSON decodes the names and sorts them.
func (l *nameList) UnmarshalJSON(data []byte) error {
	var names []string
	if err := json.Unmarshal(data, &names); err != nil {
		return errors.New("want a list of names")
	}
	slices.Sort(names)
	*l = nil
	if len(names) > 0 {
		*l = names
	}
	return nil
}
