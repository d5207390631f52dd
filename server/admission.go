package server

import (
	"context"
	"slices"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
)

// admit returns a refusal if this host may not serve a client at the moment.
// keyed reports whether the client has authenticated with a key.
func (s *Server) admit(_ context.Context, keyed bool) *executor.Refusal {
	switch {
	case s.leaving.Load():
		return executor.RefuseNotRun(executor.CodeStopping, "host is stopping")
	case !s.ready.Load():
		return executor.RefuseNotRun(executor.CodeCannotServe, "host does not know the configuration in force yet")
	case s.takenOut():
		return executor.RefuseNotRun(executor.CodeStopping, "host or its data centre is taken out of service")
	case keyed:
		return s.checkFresh()
	default:
		return nil
	}
}

// checkFresh refuses keyed requests if this host may have missed the revocation
// of a key.
func (s *Server) checkFresh() *executor.Refusal {
	if fresh, reason := s.gossip.Fresh(); !fresh {
		s.count("refused_not_fresh")
		return executor.RefuseNotRun(executor.CodeCannotServe, "host is cut off and may not check keys: "+reason)
	}
	return nil
}

// takenOut reports whether operators have taken this host or its data centre out
// of service.
func (s *Server) takenOut() bool {
	return isTakenOut(s.Config(), s.Settings.Host, s.Settings.DataCentre)
}

func isTakenOut(config configurer.Config, host, dataCentre string) bool {
	return config.Hosts[host].TakenOut || config.DataCentres[dataCentre].TakenOut
}

// checkKey repeats at the holder the checks of the host that accepted the client
// connection, since the holder may have a newer configuration revision.
func (s *Server) checkKey(attributes executor.Attributes) *executor.Refusal {
	config := s.Config()
	route, ok := config.Routes[attributes.Route]
	if !ok || route.Service != attributes.Service {
		return executor.RefuseNotRun(executor.CodeUnknownRoute, "route "+attributes.Route+" does not lead to the service")
	}
	if attributes.Key == "" {
		if route.KeylessCustomer == "" || route.KeylessCustomer != attributes.Customer {
			return executor.RefuseNotRun(executor.CodeInvalidAuthorization, "route "+route.Name+" demands a key")
		}
		return nil
	}
	key, ok := config.Keys[attributes.Key]
	if !ok || key.Revoked || key.Customer != attributes.Customer {
		return executor.RefuseNotRun(executor.CodeInvalidAuthorization, "key "+attributes.Key+" is withdrawn")
	}
	if !slices.Contains(route.Customers, key.Customer) {
		return executor.RefuseNotRun(executor.CodeInvalidAuthorization, "customer is not on route "+route.Name)
	}
	return s.checkFresh()
}
