package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/holder"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger"
)

// readyInterval is how often a host that starts during an outage of the store
// asks its peers whether it knows the latest set.
const readyInterval = 100 * time.Millisecond

// A setHistory keeps the last sets, against which deltas are sent.
type setHistory struct {
	mu   sync.Mutex
	sets []configurer.Set
}

func (h *setHistory) add(set configurer.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sets = append(h.sets, set)
	if len(h.sets) > keptSets {
		h.sets = slices.Clone(h.sets[len(h.sets)-keptSets:])
	}
}

func (h *setHistory) find(revision uint64) (configurer.Set, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.sets, func(s configurer.Set) bool { return s.Revision == revision })
	if i < 0 {
		return configurer.Set{}, false
	}
	return h.sets[i], true
}

func (s *Server) newFollower() *configurer.Follower {
	return &configurer.Follower{
		Store:     s.Store,
		Watching:  func() bool { return s.gossip.View().WatchesStore() },
		Now:       s.Now,
		Logger:    s.Logger,
		OnContact: s.gossip.StoreContact,
		OnSet:     s.adopt,
	}
}

// adopt puts a set into force on this host.
func (s *Server) adopt(set configurer.Set) {
	s.set.Store(&set)
	s.history.add(set)
	s.holderViews.Clear()
	s.gossip.SetRevision(set.Revision)
	for _, h := range s.placer.all() {
		s.configureBuckets(set, h.service)
	}
	s.acceptor.Recheck()
	s.placer.nudge()
	s.count("configurations_adopted")
	s.Logger.Info("configuration in force", "host", s.Settings.Host, "revision", set.Revision)
}

// awaitReady lets this host serve once it knows the set in force: the store
// named it or, while the store is down, a majority of the known hosts has no
// later one.
func (s *Server) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !s.ready.Load() {
		select {
		case <-s.follower.Ready():
			s.becomeReady("store")
		case <-ticker.C:
			if s.majorityHasNoLaterSet() {
				s.becomeReady("majority of the hosts")
			}
		case <-ctx.Done():
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

func (s *Server) becomeReady(source string) {
	s.ready.Store(true)
	s.placer.nudge()
	s.Logger.Info("host ready", "host", s.Settings.Host, "revision", s.Set().Revision, "source", source)
}

// majorityHasNoLaterSet reports whether a majority of at least three known
// hosts has been heard from in this incarnation and none has a later set.
func (s *Server) majorityHasNoLaterSet() bool {
	revision := s.Set().Revision
	if revision == 0 {
		return false
	}
	known, heard := 0, 0
	for _, c := range s.gossip.Confirmations() {
		known++
		if c.Revision > revision {
			return false
		}
		if c.Present && c.Revision > 0 {
			heard++
		}
	}
	return known >= 3 && heard > known/2
}

// fetch gets a newer set from a peer.
func (s *Server) fetch(ctx context.Context, address string, _ uint64) error {
	present := s.Set()
	answer, err := s.client.FetchSet(ctx, address, present.Revision)
	if err != nil {
		return err
	}
	if len(answer.Content) == 0 {
		return errors.New("peer has no newer set")
	}
	set, err := decodeSet(present, answer)
	if err != nil {
		return err
	}
	return s.follower.Offer(set)
}

func decodeSet(present configurer.Set, answer messenger.Set) (configurer.Set, error) {
	if answer.Base == 0 {
		return configurer.Decode(answer.Content)
	}
	delta, err := configurer.DecodeDelta(answer.Content)
	if err != nil {
		return configurer.Set{}, err
	}
	return delta.Apply(present)
}

// sendSet answers a peer that asks for the set, with a delta if it can.
func (s *Server) sendSet(_ context.Context, known uint64) (messenger.Set, error) {
	set := s.Set()
	if set.Revision <= known {
		return messenger.Set{Revision: set.Revision}, nil
	}
	if base, ok := s.history.find(known); ok && known > 0 {
		delta, err := configurer.NewDelta(base, set)
		if err != nil {
			return messenger.Set{}, err
		}
		content, err := delta.Encode()
		return messenger.Set{Revision: set.Revision, Base: known, Content: content}, err
	}
	content, err := configurer.Encode(set)
	return messenger.Set{Revision: set.Revision, Content: content}, err
}

// holderConfiguration returns what the holder of a service needs of the set.
func (s *Server) holderConfiguration(service string) holder.Configuration {
	set := s.Set()
	if cached, ok := s.holderViews.Load(service); ok {
		if configuration := cached.(holder.Configuration); configuration.Revision == set.Revision {
			return configuration
		}
	}
	configuration := holder.ConfigurationOf(set, service)
	s.holderViews.Store(service, configuration)
	return configuration
}

// A reach says which services the routes of each customer lead to, in the
// order of their names. It is worked out once per set, since the limiter asks
// for it on each pull.
type reach struct {
	revision uint64
	services map[string][]string
}

func reachOf(set configurer.Set) *reach {
	r := &reach{revision: set.Revision, services: make(map[string][]string, len(set.Customers))}
	add := func(customer, service string) {
		if customer != "" && !slices.Contains(r.services[customer], service) {
			r.services[customer] = append(r.services[customer], service)
		}
	}
	for _, route := range set.Routes {
		add(route.OpenAs, route.Service)
		for _, customer := range route.Customers {
			add(customer, route.Service)
		}
	}
	for _, services := range r.services {
		slices.Sort(services)
	}
	return r
}

// servicesOf returns the services that a customer reaches in the present set.
func (s *Server) servicesOf(customer string) []string {
	set := s.Set()
	r := s.reached.Load()
	if r == nil || r.revision != set.Revision {
		r = reachOf(set)
		s.reached.Store(r)
	}
	return r.services[customer]
}

// configureBuckets gives the limiter the shares of a held service.
func (s *Server) configureBuckets(set configurer.Set, service string) {
	wanted := make(map[limiter.Name]bool)
	for _, customer := range set.Customers {
		services := s.servicesOf(customer.Name)
		if !slices.Contains(services, service) {
			continue
		}
		limit := set.Limits[customer.Limit]
		n := float64(len(services))
		name := limiter.Name{Customer: customer.Name, Service: service}
		wanted[name] = true
		s.limiter.Configure(name, limiter.Share{Rate: limit.Rate / n, Burst: float64(limit.Burst) / n, TotalRate: limit.Rate})
	}
	for _, name := range s.limiter.Names() {
		if name.Service == service && !wanted[name] {
			s.limiter.Remove(name)
		}
	}
}

// donors returns the other buckets of a customer.
func (s *Server) donors(name limiter.Name) []limiter.Name {
	var donors []limiter.Name
	for _, service := range s.servicesOf(name.Customer) {
		if service != name.Service {
			donors = append(donors, limiter.Name{Customer: name.Customer, Service: service})
		}
	}
	return donors
}

// pullTokens asks the holder of a bucket for tokens, in the process if this
// host holds it.
func (s *Server) pullTokens(ctx context.Context, request limiter.PullRequest) (limiter.PullReply, error) {
	if h := s.placer.find(request.From.Service); h != nil {
		return s.limiter.Give(request), nil
	}
	claim, ok := s.liveClaim(request.From.Service)
	if !ok {
		return limiter.PullReply{}, errors.Errorf("no holder of service %s is known", request.From.Service)
	}
	return s.client.PullTokens(ctx, claim.Address, request)
}
