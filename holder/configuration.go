package holder

import (
	"slices"
	"strings"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/scheduler"
)

// A Configuration is what a holder needs of a configurer.Set. It is immutable.
type Configuration struct {
	// Revision grows with each change.
	Revision uint64
	// Databases holds the databases of the service in the order of their names;
	// TakenOut is also set for those in a data centre that is taken out.
	Databases []configurer.Database
	// Shares holds weight and queue bound of every customer.
	Shares map[string]scheduler.Share
}

// ConfigurationOf returns what the set says about a service.
func ConfigurationOf(set configurer.Set, service string) Configuration {
	configuration := Configuration{Revision: set.Revision, Shares: make(map[string]scheduler.Share, len(set.Customers))}
	for _, database := range set.Databases {
		if database.Service != service {
			continue
		}
		database.TakenOut = database.TakenOut || set.DataCentres[database.DataCentre].TakenOut
		configuration.Databases = append(configuration.Databases, database)
	}
	slices.SortFunc(configuration.Databases, func(a, b configurer.Database) int { return strings.Compare(a.Name, b.Name) })
	for name, customer := range set.Customers {
		limit := set.Limits[customer.Limit]
		configuration.Shares[name] = scheduler.Share{Weight: customer.Weight, MaxQueued: limit.MaxQueued}
	}
	return configuration
}
