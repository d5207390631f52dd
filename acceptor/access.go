package acceptor

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
)

// An access is what a configuration grants to a client.
type access struct {
	customer string
	// key is the name of the key; empty on a route that needs none.
	key      string
	verifier string
	route    string
	service  string
	// revision is the revision of the configuration.
	revision uint64
	// deadline is the deadline of the service.
	deadline       time.Duration
	maxConnections int
}

// allowsKeyless reports whether user needs no key on the route: the name is not
// that of a key and the route is open to clients without a key.
func allowsKeyless(config configurer.Config, user, route string) bool {
	_, known := config.Keys[user]
	return !known && config.Routes[route].KeylessCustomer != ""
}

// grant returns the access that config grants on a route with a key. An empty
// keyName requests the access without a key. A non-nil refusal ends the
// connection.
func grant(config configurer.Config, keyName, routeName string) (access, *executor.Refusal) {
	granted := access{key: keyName, route: routeName, revision: config.Revision}
	if keyName != "" {
		key, known := config.Keys[keyName]
		if !known || key.Revoked {
			return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "key is revoked")
		}
		granted.customer, granted.verifier = key.Customer, key.Verifier
	}
	route, known := config.Routes[routeName]
	if !known {
		return access{}, executor.RefuseNotRun(executor.CodeUnknownRoute, "route does not exist")
	}
	switch {
	case keyName != "" && !slices.Contains(route.Customers, granted.customer):
		return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "customer of the key is not on the route")
	case keyName == "" && route.KeylessCustomer == "":
		return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "route demands a key")
	case keyName == "":
		granted.customer = route.KeylessCustomer
	}
	service, known := config.Services[route.Service]
	if !known {
		return access{}, executor.RefuseNotRun(executor.CodeUnknownRoute, "route leads to no service")
	}
	granted.service, granted.deadline = service.Name, service.Deadline
	if granted.deadline <= 0 {
		granted.deadline = DefaultDeadline
	}
	customer, known := config.Customers[granted.customer]
	if !known {
		return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "customer does not exist")
	}
	granted.maxConnections = config.Limits[customer.Limit].MaxConnections
	return granted, nil
}

// checkAccess checks that config still grants access to a registered connection.
func (c *connection) checkAccess(config configurer.Config) *executor.Refusal {
	_, refusal := c.currentAccess(config)
	return refusal
}

// currentAccess returns the access that config grants to a registered connection.
// A key whose verifier or customer has changed counts as revoked.
func (c *connection) currentAccess(config configurer.Config) (access, *executor.Refusal) {
	granted, refusal := grant(config, c.key, c.route)
	if refusal == nil && (granted.customer != c.customer || granted.verifier != c.verifier) {
		refusal = executor.RefuseNotRun(executor.CodeInvalidAuthorization, "key has changed")
	}
	return granted, refusal
}
