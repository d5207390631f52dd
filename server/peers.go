package server

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/acceptor"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger"
)

// cancelTimeout bounds passing on a caller's cancel.
const cancelTimeout = time.Second

func (s *Server) newGossiper() *gossiper.Gossiper {
	g := &gossiper.Gossiper{
		Self: gossiper.Host{
			Name: s.Settings.Host, DataCentre: s.Settings.DataCentre,
			PeerAddress: s.PeerListener.Addr().String(), CallerAddress: s.CallerListener.Addr().String(),
			Incarnation: uint64(s.Now().UnixNano()),
		},
		Send: s.client.Heartbeat,
		Probe: func(ctx context.Context, address string, target gossiper.Host) (bool, error) {
			return s.client.Probe(ctx, address, target)
		},
		Fetch: s.fetch,
		TakenOut: func(host, dataCentre string) bool {
			return isTakenOut(s.Set(), host, dataCentre)
		},
		Now:      s.Now,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:   s.Logger,
		OnChange: s.membersChanged,
	}
	for _, address := range s.Settings.Seeds {
		g.Seeds = append(g.Seeds, gossiper.HostEntry{PeerAddress: address})
	}
	if s.Settings.HostListPrefix != "" {
		g.List = s.listHosts
	}
	return g
}

// membersChanged looks at placement again and closes the connections to hosts
// that have failed: batches that wait for their answers end at once, and not
// only when their deadlines have passed.
func (s *Server) membersChanged() {
	s.placer.nudge()
	for _, h := range s.gossip.View().Hosts {
		_, dropped := s.dropped.Load(h.Name)
		switch {
		case h.State == gossiper.Failed && !dropped:
			s.dropped.Store(h.Name, true)
			s.client.Drop(h.PeerAddress)
		case h.State != gossiper.Failed && dropped:
			s.dropped.Delete(h.Name)
		}
	}
}

// A wireHostEntry is a value of the platform's host list.
type wireHostEntry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// hostStateLeaving marks entries of hosts that are about to go.
const hostStateLeaving = "leaving"

// listHosts reads the platform's list of hosts from the store.
func (s *Server) listHosts(ctx context.Context) ([]gossiper.HostEntry, error) {
	entries, err := s.Store.Range(ctx, s.Settings.HostListPrefix)
	if err != nil {
		return nil, err
	}
	var hosts []gossiper.HostEntry
	for _, entry := range entries {
		var wire wireHostEntry
		if err := json.Unmarshal(entry.Value, &wire); err != nil {
			s.Logger.Warn("host list entry unreadable", "key", entry.Key, "error", err)
			continue
		}
		if wire.State == hostStateLeaving {
			continue
		}
		hosts = append(hosts, gossiper.HostEntry{Name: wire.Name, DataCentre: wire.DataCentre, PeerAddress: wire.Address})
	}
	return hosts, nil
}

func (s *Server) newPeerServer() *messenger.Server {
	return &messenger.Server{
		Listener: s.PeerListener,
		Opener:   localOpener{server: s},
		Heartbeat: func(_ context.Context, h gossiper.Heartbeat) (gossiper.Heartbeat, error) {
			return s.gossip.Handle(h), nil
		},
		Probe: func(ctx context.Context, target gossiper.Host) (bool, error) {
			return s.gossip.HandleProbe(ctx, target), nil
		},
		FetchSet: s.sendSet,
		PullTokens: func(_ context.Context, r limiter.PullRequest) (limiter.PullReply, error) {
			return s.limiter.Give(r), nil
		},
		TakeOver: func(_ context.Context, service string, term uint64) error {
			s.Logger.Info("asked to take over", "service", service, "term", term)
			s.placer.invite(service)
			return nil
		},
		Cancel: func(_ context.Context, processID uint32, secret []byte) error {
			if len(secret) != 4 {
				return errors.New("cancel secret has a wrong length")
			}
			s.acceptor.Cancel(processID, binary.BigEndian.Uint32(secret))
			return nil
		},
		Status: func(context.Context) ([]byte, error) { return s.statusJSON() },
		Logger: s.Logger,
	}
}

// cancelRemote passes a cancel on to the host that gave out the process id.
func (s *Server) cancelRemote(processID, secret uint32) {
	for _, h := range s.gossip.View().Hosts {
		if h.Name == s.Settings.Host || acceptor.HostHash(h.Name) != uint16(processID>>16) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := s.client.Cancel(ctx, h.PeerAddress, processID, binary.BigEndian.AppendUint32(nil, secret))
		cancel()
		if err != nil {
			s.Logger.Warn("cancel not passed on", "host", h.Name, "error", err)
		}
	}
}

// liveClaim returns the claim of a service whose holder is alive.
func (s *Server) liveClaim(service string) (gossiper.ClaimView, bool) {
	claim, ok := s.gossip.View().Claims[service]
	return claim, ok && claim.Live
}

// winner returns the host that should hold a service, or "".
func (s *Server) winner(service string) string { return s.gossip.View().Winner(service) }

// alone reports whether this host was told of no other.
func (s *Server) alone() bool {
	return len(s.Settings.Seeds) == 0 && s.Settings.HostListPrefix == "" && len(s.gossip.View().Hosts) <= 1
}

func (s *Server) peerAddress(host string) (string, bool) {
	h, ok := s.gossip.View().Host(host)
	return h.PeerAddress, ok && host != s.Settings.Host
}

// locate returns where batches of a service go: to this host if it holds the
// service, to the host that a refusal named, to the live holder, or to the host
// that will hold it.
func (s *Server) locate(service, hint string) (target, bool) {
	if h := s.placer.find(service); h != nil && !h.draining.Load() {
		return target{opener: h.holder, host: s.Settings.Host, reason: "held here"}, true
	}
	if address, ok := s.peerAddress(hint); ok && hint != "" {
		return s.remote(address, hint, "named by the former holder"), true
	}
	if claim, ok := s.liveClaim(service); ok && claim.Host != s.Settings.Host {
		return s.remote(claim.Address, claim.Host, "live holder"), true
	}
	winner := s.winner(service)
	if address, ok := s.peerAddress(winner); ok {
		return s.remote(address, winner, "next holder"), true
	}
	return target{}, false
}

func (s *Server) remote(address, host, reason string) target {
	return target{opener: s.client.Opener(address), host: host, reason: reason}
}

// A localOpener serves the exchanges of other hosts on the services held here.
type localOpener struct{ server *Server }

// Open implements executor.Opener. A host that does not hold the service names
// the holder it knows.
func (o localOpener) Open(ctx context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	s := o.server
	if h := s.placer.find(attributes.Service); h != nil && !h.draining.Load() {
		return h.holder.Open(ctx, attributes)
	}
	s.placer.nudge()
	refusal := executor.RefuseNotRun(executor.CodeCannotServe, "service "+attributes.Service+" is not held by host "+s.Settings.Host)
	refusal.Outcome = executor.Moved
	if claim, ok := s.liveClaim(attributes.Service); ok && claim.Host != s.Settings.Host {
		refusal.Holder = claim.Host
	}
	return nil, refusal
}
