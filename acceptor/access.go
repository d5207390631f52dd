package acceptor

import (
	"slices"
	"time"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
)

// An access is what a Set grants to a caller.
type access struct {
	customer string
	// key is empty on a route that is open to all.
	key      string
	verifier string
	route    string
	service  string
	// revision is that of the set.
	revision uint64
	// deadline is that of the service.
	deadline       time.Duration
	maxConnections int
}

// open reports whether user needs no key for the route.
func open(set configurer.Set, user, route string) bool {
	_, known := set.Keys[user]
	return !known && set.Routes[route].OpenAs != ""
}

// grant returns the access that set grants to the holder of a key on a route.
// An empty key asks for the access that is open to all. A non-nil refusal ends
// the connection.
func grant(set configurer.Set, keyName, routeName string) (access, *executor.Refusal) {
	granted := access{key: keyName, route: routeName, revision: set.Revision}
	if keyName != "" {
		key, known := set.Keys[keyName]
		if !known || key.Withdrawn {
			return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "key is revoked")
		}
		granted.customer, granted.verifier = key.Customer, key.Verifier
	}
	route, known := set.Routes[routeName]
	if !known {
		return access{}, executor.RefuseNotRun(executor.CodeUnknownRoute, "route does not exist")
	}
	switch {
	case keyName != "" && !slices.Contains(route.Customers, granted.customer):
		return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "customer of the key is not on the route")
	case keyName == "" && route.OpenAs == "":
		return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "route demands a key")
	case keyName == "":
		granted.customer = route.OpenAs
	}
	service, known := set.Services[route.Service]
	if !known {
		return access{}, executor.RefuseNotRun(executor.CodeUnknownRoute, "route leads to no service")
	}
	granted.service, granted.deadline = service.Name, service.Deadline
	if granted.deadline <= 0 {
		granted.deadline = DefaultDeadline
	}
	customer, known := set.Customers[granted.customer]
	if !known {
		return access{}, executor.RefuseNotRun(executor.CodeInvalidAuthorization, "customer does not exist")
	}
	granted.maxConnections = set.Limits[customer.Limit].MaxConnections
	return granted, nil
}

// checkAccess checks the key and the route of an admitted connection in set.
func (c *connection) checkAccess(set configurer.Set) *executor.Refusal {
	_, refusal := c.present(set)
	return refusal
}

// present returns the access that an admitted connection has in set. A key
// that was given another secret or another customer counts as revoked.
func (c *connection) present(set configurer.Set) (access, *executor.Refusal) {
	granted, refusal := grant(set, c.key, c.route)
	if refusal == nil && (granted.customer != c.customer || granted.verifier != c.verifier) {
		refusal = executor.RefuseNotRun(executor.CodeInvalidAuthorization, "key has changed")
	}
	return granted, refusal
}
