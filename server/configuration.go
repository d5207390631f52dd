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

// readyCheckInterval is how often a host that starts during a store outage checks
// whether a majority of the hosts confirms that its configuration is the newest.
const readyCheckInterval = 100 * time.Millisecond

// A configHistory keeps the latest configurations as bases for deltas.
type configHistory struct {
	mu      sync.Mutex
	configs []configurer.Config
}

func (h *configHistory) add(config configurer.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, config)
	if len(h.configs) > maxHistoryConfigs {
		h.configs = slices.Clone(h.configs[len(h.configs)-maxHistoryConfigs:])
	}
}

func (h *configHistory) find(revision uint64) (configurer.Config, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.configs, func(s configurer.Config) bool { return s.Revision == revision })
	if i < 0 {
		return configurer.Config{}, false
	}
	return h.configs[i], true
}

func (s *Server) newSubscriber() *configurer.Subscriber {
	return &configurer.Subscriber{
		Store:          s.Store,
		ShouldWatch:    func() bool { return s.gossip.View().WatchesStore() },
		Now:            s.Now,
		Logger:         s.Logger,
		OnStoreContact: s.gossip.RecordStoreContact,
		OnConfig:       s.adopt,
		OnRejectedHead: s.restoreHead,
	}
}

// restoreHead publishes again what the store lost when it came back from an older copy.
func (s *Server) restoreHead(ctx context.Context, head configurer.Head, config configurer.Config) {
	publisher := &configurer.Publisher{Store: s.Store, Logger: s.Logger}
	if err := publisher.RestoreHead(ctx, head, config); err != nil {
		s.Logger.Warn("head_not_restored", "host", s.Settings.Host, "revision", head.Revision, "error", err.Error())
	}
}

// adopt makes config the active configuration of this host.
func (s *Server) adopt(config configurer.Config) {
	s.activeConfig.Store(&config)
	s.history.add(config)
	s.holderConfigurations.Clear()
	s.gossip.SetRevision(config.Revision)
	for _, h := range s.placer.all() {
		s.configureBuckets(config, h.service)
	}
	s.acceptor.CloseUnauthorizedIdle()
	s.placer.wake()
	s.count("configurations_adopted")
	s.Logger.Info("configuration_adopted", "host", s.Settings.Host, "revision", config.Revision)
}

// waitUntilReady marks this host as ready once it has the newest configuration:
// it was read from the store or, during a store outage, a majority of the known
// hosts has no newer one. It returns when ctx is cancelled.
func (s *Server) waitUntilReady(ctx context.Context) error {
	ticker := time.NewTicker(readyCheckInterval)
	defer ticker.Stop()
	for !s.ready.Load() {
		select {
		case <-s.subscriber.Ready():
			s.markReady("store")
		case <-ticker.C:
			if s.majorityHasNoNewerConfig() {
				s.markReady("majority of the hosts")
			}
		case <-ctx.Done():
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

func (s *Server) markReady(source string) {
	s.ready.Store(true)
	s.placer.wake()
	s.Logger.Info("host_ready", "host", s.Settings.Host, "revision", s.Config().Revision, "source", source)
}

// majorityHasNoNewerConfig reports whether at least three hosts are known, a majority
// of them is present and has reported its revision since this host started, and
// none has a newer revision.
func (s *Server) majorityHasNoNewerConfig() bool {
	revision := s.Config().Revision
	if revision == 0 {
		return false
	}
	known, confirmed := 0, 0
	for _, c := range s.gossip.Confirmations() {
		known++
		if c.Revision > revision {
			return false
		}
		if c.Present && c.Revision > 0 {
			confirmed++
		}
	}
	return known >= 3 && confirmed > known/2
}

// fetchConfig fetches a newer configuration from a peer and passes it to the
// subscriber.
func (s *Server) fetchConfig(ctx context.Context, address string, _ uint64) error {
	current := s.Config()
	reply, err := s.peerClient.FetchSet(ctx, address, current.Revision)
	if err != nil {
		return err
	}
	if len(reply.Content) == 0 {
		return errors.New("peer has no newer configuration")
	}
	config, err := decodeConfig(current, reply)
	if err != nil {
		return err
	}
	return s.subscriber.ApplyFromPeer(config)
}

func decodeConfig(current configurer.Config, reply messenger.EncodedConfig) (configurer.Config, error) {
	if reply.Base == 0 {
		return configurer.Decode(reply.Content)
	}
	delta, err := configurer.DecodeDelta(reply.Content)
	if err != nil {
		return configurer.Config{}, err
	}
	return delta.Apply(current)
}

// handleFetchConfig replies to a peer that has the revision known with the
// configuration, as a delta if that revision is in the history.
func (s *Server) handleFetchConfig(_ context.Context, known uint64) (messenger.EncodedConfig, error) {
	config := s.Config()
	if config.Revision <= known {
		return messenger.EncodedConfig{Revision: config.Revision}, nil
	}
	if base, ok := s.history.find(known); ok && known > 0 {
		delta, err := configurer.NewDelta(base, config)
		if err != nil {
			return messenger.EncodedConfig{}, err
		}
		content, err := delta.Encode()
		return messenger.EncodedConfig{Revision: config.Revision, Base: known, Content: content}, err
	}
	content, err := configurer.Encode(config)
	return messenger.EncodedConfig{Revision: config.Revision, Content: content}, err
}

// holderConfiguration returns the part of the active configuration that the
// holder of a service needs.
func (s *Server) holderConfiguration(service string) holder.Configuration {
	config := s.Config()
	if cached, ok := s.holderConfigurations.Load(service); ok {
		if configuration := cached.(holder.Configuration); configuration.Revision == config.Revision {
			return configuration
		}
	}
	configuration := holder.NewConfiguration(config, service)
	s.holderConfigurations.Store(service, configuration)
	return configuration
}

// A reachableServices holds the services that the routes of each customer refer
// to, sorted by name. It is computed once per configuration, since the limiter
// needs it on each pull.
type reachableServices struct {
	revision uint64
	services map[string][]string
}

func newReachableServices(config configurer.Config) *reachableServices {
	r := &reachableServices{revision: config.Revision, services: make(map[string][]string, len(config.Customers))}
	add := func(customer, service string) {
		if customer != "" && !slices.Contains(r.services[customer], service) {
			r.services[customer] = append(r.services[customer], service)
		}
	}
	for _, route := range config.Routes {
		add(route.KeylessCustomer, route.Service)
		for _, customer := range route.Customers {
			add(customer, route.Service)
		}
	}
	for _, services := range r.services {
		slices.Sort(services)
	}
	return r
}

// servicesOf returns the services that a customer can reach in the active
// configuration.
func (s *Server) servicesOf(customer string) []string {
	config := s.Config()
	r := s.reachable.Load()
	if r == nil || r.revision != config.Revision {
		r = newReachableServices(config)
		s.reachable.Store(r)
	}
	return r.services[customer]
}

// configureBuckets configures the limiter's token buckets of a held service. The
// limit of a customer is divided evenly between the services that it can reach.
func (s *Server) configureBuckets(config configurer.Config, service string) {
	configured := make(map[limiter.BucketName]bool)
	for _, customer := range config.Customers {
		services := s.servicesOf(customer.Name)
		if !slices.Contains(services, service) {
			continue
		}
		limit := config.Limits[customer.Limit]
		n := float64(len(services))
		name := limiter.BucketName{Customer: customer.Name, Service: service}
		configured[name] = true
		s.limiter.Configure(name, limiter.Share{Rate: limit.Rate / n, Burst: float64(limit.Burst) / n, TotalRate: limit.Rate})
	}
	for _, name := range s.limiter.Names() {
		if name.Service == service && !configured[name] {
			s.limiter.Remove(name)
		}
	}
}

// donors returns the other token buckets of the customer.
func (s *Server) donors(name limiter.BucketName) []limiter.BucketName {
	var donors []limiter.BucketName
	for _, service := range s.servicesOf(name.Customer) {
		if service != name.Service {
			donors = append(donors, limiter.BucketName{Customer: name.Customer, Service: service})
		}
	}
	return donors
}

// pullTokens requests tokens from the holder of a bucket, by a local call if this
// host holds it.
func (s *Server) pullTokens(ctx context.Context, request limiter.PullRequest) (limiter.PullReply, error) {
	if h := s.placer.find(request.From.Service); h != nil {
		return s.limiter.HandlePull(request), nil
	}
	claim, ok := s.liveClaim(request.From.Service)
	if !ok {
		return limiter.PullReply{}, errors.Errorf("no holder of service %s is known", request.From.Service)
	}
	return s.peerClient.PullTokens(ctx, claim.Address, request)
}
