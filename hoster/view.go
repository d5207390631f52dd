package hoster

import (
	"maps"
	"time"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/informer"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/storer"
)

// missingEndpointRetention is how long a database is still used after its
// registration expired. A registration that expired during an outage of the store
// comes back within this time if the database is running.
const missingEndpointRetention = 2200 * time.Millisecond

// A Decoder decodes the records that the platform and its operators write.
type Decoder struct {
	// Configuration decodes the operators' configuration; ok is false for other
	// keys.
	Configuration func(key string, value []byte) (configuration cataloger.Configuration, ok bool, err error)
	// Endpoint decodes a database's registration; ok is false for other keys.
	Endpoint func(key string, value []byte) (endpoint cataloger.Endpoint, ok bool, err error)
	// EvacuatedDataCentre returns the data centre that a record marks as evacuated;
	// ok is false for other keys.
	EvacuatedDataCentre func(key string) (dataCentre string, ok bool)
}

// A catalogBuilder builds catalogs from the records of the mirror. It is not safe
// for concurrent use.
type catalogBuilder struct {
	decoder Decoder
	// onReject is called for each revision of a record that is malformed.
	onReject func(key string, revision int64, err error)
	now      func() time.Time

	configuration *cataloger.Configuration
	// configurationRevisions are the revisions of the configuration records that were
	// decoded last, by key: malformed ones and those of a lower version included, as a
	// configuration may be large.
	configurationRevisions map[string]int64
	// endpoints holds decoded registrations by key.
	endpoints map[string]registration
	// hosts holds decoded records of hosts by key, voters the decoded list of voters.
	hosts             map[string]hostRegistration
	voters            cataloger.Voters
	rejectedRevisions map[string]int64
}

type hostRegistration struct {
	overseer.Registration
	revision int64
}

type registration struct {
	endpoint cataloger.Endpoint
	revision int64
	valid    bool
	// missingSince is when the registration was first found missing, zero while it
	// is present.
	missingSince time.Time
}

// build returns the catalog of the records. next is when the catalog has to be built
// again even if the records do not change; it may be zero.
func (b *catalogBuilder) build(records []informer.Record, revision int64) (catalog *cataloger.Catalog, next time.Time) {
	c := &cataloger.Catalog{
		Revision: revision, Endpoints: make(map[string][]cataloger.Endpoint), Assignments: make(map[string]cataloger.PrimaryAssignment),
		Evacuated: make(map[string]bool), Hosts: make(map[string]cataloger.Host), Ended: make(map[string]string),
	}
	present := make(map[string]bool)
	for _, record := range records {
		b.addRecord(c, record, present)
	}
	next = b.expireMissing(present)
	b.forgetHosts(c)
	for _, r := range b.endpoints {
		if r.valid {
			c.Endpoints[r.endpoint.Service] = append(c.Endpoints[r.endpoint.Service], r.endpoint)
		}
	}
	for _, endpoints := range c.Endpoints {
		cataloger.SortEndpoints(endpoints)
	}
	c.Configuration = b.configuration
	c.AssignmentsEra = assignmentsEra(c)
	return c, next
}

// assignmentsEra returns the earliest era in which the primary assignment of a service in
// use was written, or the era of the catalog.
func assignmentsEra(c *cataloger.Catalog) int64 {
	era := storer.EraOf(c.Revision)
	if c.Configuration == nil {
		return era
	}
	for service, assignment := range c.Assignments {
		_, configured := c.Configuration.Services[service]
		if configured && len(c.Endpoints[service]) > 0 {
			era = min(era, storer.EraOf(assignment.Revision))
		}
	}
	return era
}

func (b *catalogBuilder) addRecord(c *cataloger.Catalog, record informer.Record, present map[string]bool) {
	if dataCentre, ok := b.decoder.EvacuatedDataCentre(record.Key); ok {
		c.Evacuated[dataCentre] = true
		return
	}
	if b.addHost(c, record) || b.addVoters(c, record) {
		return
	}
	if ok, err := overseer.CheckLeader(record.Key, record.Value); ok {
		if err != nil {
			b.reject(record, err)
		}
		return
	}
	if assignment, ok, err := overseer.DecodeAssignment(record.Key, record.Value, record.Revision); ok {
		if err != nil {
			b.reject(record, err)
			assignment, _ = overseer.MalformedAssignment(record.Key, record.Revision)
		}
		c.Assignments[assignment.Service] = assignment
		return
	}
	if b.applyConfiguration(record) {
		return
	}
	b.addEndpoint(record, present)
}

// addHost adds the host of a record. It decodes each record once.
func (b *catalogBuilder) addHost(c *cataloger.Catalog, record informer.Record) (ok bool) {
	if known, ok := b.hosts[record.Key]; ok && known.revision == record.Revision {
		addRegistration(c, known.Registration)
		return true
	}
	registration, ok, err := overseer.DecodeHost(record.Key, record.Value, record.Revision)
	if !ok {
		return false
	}
	if err != nil {
		b.reject(record, err)
		return true
	}
	if b.hosts == nil {
		b.hosts = make(map[string]hostRegistration)
	}
	b.hosts[record.Key] = hostRegistration{Registration: registration, revision: record.Revision}
	addRegistration(c, registration)
	return true
}

func addRegistration(c *cataloger.Catalog, r overseer.Registration) {
	switch r.State {
	case overseer.StateRegistered:
		c.Hosts[r.Host.Name] = r.Host
	case overseer.StateEnded:
		c.Ended[r.Host.Name] = r.Host.Incarnation
	case overseer.StateUnknown:
	}
}

// forgetHosts drops the decoded records of hosts that are not in the catalog.
func (b *catalogBuilder) forgetHosts(c *cataloger.Catalog) {
	if len(b.hosts) == len(c.Hosts) {
		return
	}
	maps.DeleteFunc(b.hosts, func(_ string, known hostRegistration) bool {
		_, registered := c.Hosts[known.Host.Name]
		_, ended := c.Ended[known.Host.Name]
		return !registered && !ended
	})
}

// addVoters adds the list of voters. It decodes each revision once, as the list names all
// hosts.
func (b *catalogBuilder) addVoters(c *cataloger.Catalog, record informer.Record) (ok bool) {
	if record.Key != overseer.VotersKey {
		return false
	}
	if b.voters.Revision != record.Revision {
		voters, _, err := overseer.DecodeVoters(record.Key, record.Value, record.Revision)
		if err != nil {
			b.reject(record, err)
			// No host counts with a list that it can't read.
			voters = cataloger.Voters{Revision: record.Revision, Version: 1}
		}
		b.voters = voters
	}
	c.Voters = b.voters
	return true
}

func (b *catalogBuilder) applyConfiguration(record informer.Record) bool {
	if revision, ok := b.configurationRevisions[record.Key]; ok && revision == record.Revision {
		return true
	}
	configuration, ok, err := b.decoder.Configuration(record.Key, record.Value)
	if !ok {
		return false
	}
	if b.configurationRevisions == nil {
		b.configurationRevisions = make(map[string]int64)
	}
	b.configurationRevisions[record.Key] = record.Revision
	switch {
	case err != nil:
		b.reject(record, err)
	case b.configuration == nil || configuration.Version > b.configuration.Version:
		indexed := configuration.WithKeyIndex()
		b.configuration = &indexed
	}
	return true
}

func (b *catalogBuilder) addEndpoint(record informer.Record, present map[string]bool) {
	if existing, ok := b.endpoints[record.Key]; ok && existing.revision == record.Revision {
		present[record.Key] = true
		existing.missingSince = time.Time{}
		b.endpoints[record.Key] = existing
		return
	}
	endpoint, ok, err := b.decoder.Endpoint(record.Key, record.Value)
	if !ok {
		return
	}
	if err != nil {
		b.reject(record, err)
	}
	if b.endpoints == nil {
		b.endpoints = make(map[string]registration)
	}
	endpoint.Revision = record.Revision
	present[record.Key] = true
	b.endpoints[record.Key] = registration{endpoint: endpoint, revision: record.Revision, valid: err == nil}
}

// expireMissing drops registrations that have been missing for
// missingEndpointRetention. Malformed ones and those of draining databases are
// dropped as soon as they are missing. It returns when the next registration
// expires, or the zero time.
func (b *catalogBuilder) expireMissing(present map[string]bool) time.Time {
	now := b.now()
	var next time.Time
	for key, r := range b.endpoints {
		if present[key] {
			continue
		}
		if r.missingSince.IsZero() {
			r.missingSince = now
			b.endpoints[key] = r
		}
		expiry := r.missingSince.Add(missingEndpointRetention)
		if r.endpoint.Draining || !r.valid || !now.Before(expiry) {
			delete(b.endpoints, key)
			continue
		}
		if next.IsZero() || expiry.Before(next) {
			next = expiry
		}
	}
	return next
}

// reject reports a malformed record once per revision.
func (b *catalogBuilder) reject(record informer.Record, err error) {
	if b.rejectedRevisions == nil {
		b.rejectedRevisions = make(map[string]int64)
	}
	if b.rejectedRevisions[record.Key] == record.Revision {
		return
	}
	b.rejectedRevisions[record.Key] = record.Revision
	b.onReject(record.Key, record.Revision, err)
}
