package holder

import (
	"slices"
	"strings"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/scheduler"
)

// A Configuration is the part of a configurer.Config that a holder needs. It is
// immutable.
type Configuration struct {
	// Revision increases with each change.
	Revision uint64
	// Databases holds the databases of the service, sorted by name. TakenOut is
	// also set for those in a data centre that is taken out of service.
	Databases []configurer.Database
	// Shares holds the weight and the queue limit of each customer.
	Shares map[string]scheduler.Share
}

// NewConfiguration returns the configuration of a service in config.
func NewConfiguration(config configurer.Config, service string) Configuration {
	configuration := Configuration{Revision: config.Revision, Shares: make(map[string]scheduler.Share, len(config.Customers))}
	for _, database := range config.Databases {
		if database.Service != service {
			continue
		}
		database.TakenOut = database.TakenOut || config.DataCentres[database.DataCentre].TakenOut
		configuration.Databases = append(configuration.Databases, database)
	}
	slices.SortFunc(configuration.Databases, func(a, b configurer.Database) int { return strings.Compare(a.Name, b.Name) })
	for name, customer := range config.Customers {
		limit := config.Limits[customer.Limit]
		configuration.Shares[name] = scheduler.Share{Weight: customer.Weight, MaxQueued: limit.MaxQueued}
	}
	return configuration
}
