package configurer

import "maps"

// A Config is a complete configuration. It must not be modified once it is shared;
// its With methods return modified copies.
type Config struct {
	// Revision is the number under which the configuration was published. Each
	// publication increments it by one; 0 means not published.
	Revision uint64
	// The maps contain the objects by name.
	Customers   map[string]Customer
	Keys        map[string]Key
	Limits      map[string]Limit
	Services    map[string]Service
	Databases   map[string]Database
	Routes      map[string]Route
	DataCentres map[string]DataCentre
	Hosts       map[string]Host
}

// WithRevision returns a copy of s that has the given revision.
func (s Config) WithRevision(revision uint64) Config {
	s.Revision = revision
	return s
}

// WithDataCentre returns a copy of s in which the data centre is added or
// replaced.
func (s Config) WithDataCentre(dataCentre DataCentre) Config {
	s.DataCentres = withEntry(s.DataCentres, dataCentre.Name, dataCentre)
	return s
}

// WithHost returns a copy of s in which the host is added or replaced.
func (s Config) WithHost(host Host) Config {
	s.Hosts = withEntry(s.Hosts, host.Name, host)
	return s
}

// WithDatabase returns a copy of s in which the database is added or replaced.
func (s Config) WithDatabase(database Database) Config {
	s.Databases = withEntry(s.Databases, database.Name, database)
	return s
}

// WithKey returns a copy of s in which the key is added or replaced.
func (s Config) WithKey(key Key) Config {
	s.Keys = withEntry(s.Keys, key.Name, key)
	return s
}

// WithLimit returns a copy of s in which the limit is added or replaced.
func (s Config) WithLimit(limit Limit) Config {
	s.Limits = withEntry(s.Limits, limit.Name, limit)
	return s
}

func withEntry[V any](m map[string]V, name string, v V) map[string]V {
	m = maps.Clone(m)
	if m == nil {
		m = make(map[string]V, 1)
	}
	m[name] = v
	return m
}
