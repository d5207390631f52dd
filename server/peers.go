package server

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/acceptor"
	"github.com/endiveturn/endiveturn/budgeter"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger"
)

// cancelTimeout bounds forwarding a cancel request to another host.
const cancelTimeout = time.Second

func (s *Server) newGossiper() *gossiper.Gossiper {
	g := &gossiper.Gossiper{
		Self: gossiper.Host{
			Name: s.Settings.Host, DataCentre: s.Settings.DataCentre,
			PeerAddress: s.PeerListener.Addr().String(), ClientAddress: s.ClientListener.Addr().String(),
			// A process that starts after a reboot has to have a later incarnation, which the
			// clock of Now would not give it.
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Send: s.peerClient.Heartbeat,
		Probe: func(ctx context.Context, address string, target gossiper.Host) (bool, error) {
			return s.peerClient.Probe(ctx, address, target)
		},
		Fetch: s.fetchConfig,
		TakenOut: func(host, dataCentre string) bool {
			return isTakenOut(s.Config(), host, dataCentre)
		},
		Now:      s.Now,
		Rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger:   s.Logger,
		OnChange: s.handleMembershipChange,
	}
	for _, address := range s.Settings.Seeds {
		g.Seeds = append(g.Seeds, gossiper.HostEntry{PeerAddress: address})
	}
	if s.Settings.HostListPrefix != "" {
		g.List = s.listHosts
	}
	return g
}

// handleMembershipChange triggers a placement check and closes the connections
// to hosts that have failed, so that batches forwarded to them end at once
// instead of at their deadlines.
func (s *Server) handleMembershipChange() {
	s.placer.wake()
	s.disconnectFailed(s.gossip.View().Hosts)
}

// disconnectFailed closes the connections to hosts that have newly failed, and forgets
// hosts that are not known any more.
func (s *Server) disconnectFailed(hosts []gossiper.HostView) {
	known := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		known[h.Name] = true
		_, disconnected := s.disconnectedHosts.Load(h.Name)
		switch {
		case h.State == gossiper.Failed && !disconnected:
			s.disconnectedHosts.Store(h.Name, true)
			s.peerClient.CloseConnections(h.PeerAddress)
		case h.State != gossiper.Failed && disconnected:
			s.disconnectedHosts.Delete(h.Name)
		}
	}
	s.disconnectedHosts.Range(func(name, _ any) bool {
		if !known[name.(string)] {
			s.disconnectedHosts.Delete(name)
		}
		return true
	})
}

// A hostListEntry is the JSON form of an entry of the platform's host list.
type hostListEntry struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// hostStateLeaving is the state of hosts that are about to be removed.
const hostStateLeaving = "leaving"

// listHosts reads the platform's host list from the store. It skips hosts that
// are leaving and entries that are not valid JSON.
func (s *Server) listHosts(ctx context.Context) ([]gossiper.HostEntry, error) {
	entries, err := s.Store.Range(ctx, s.Settings.HostListPrefix)
	if err != nil {
		return nil, err
	}
	var hosts []gossiper.HostEntry
	for _, entry := range entries {
		var wire hostListEntry
		if err := json.Unmarshal(entry.Value, &wire); err != nil {
			s.Logger.Warn("host_list_entry_invalid", "key", entry.Key, "error", err)
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
		Listener: s.counted(s.PeerListener, budgeter.Peers),
		Opener:   localOpener{server: s},
		Heartbeat: func(_ context.Context, h gossiper.Heartbeat) (gossiper.Heartbeat, error) {
			return s.gossip.HandleHeartbeat(h), nil
		},
		Probe: func(ctx context.Context, target gossiper.Host) (bool, error) {
			return s.gossip.HandleProbe(ctx, target), nil
		},
		FetchSet: s.handleFetchConfig,
		PullTokens: func(_ context.Context, r limiter.PullRequest) (limiter.PullReply, error) {
			return s.limiter.HandlePull(r), nil
		},
		TakeOver: func(_ context.Context, service string, term uint64) error {
			s.Logger.Info("takeover_requested", "service", service, "term", term)
			s.placer.recordTakeoverRequest(service)
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

// cancelRemote forwards a cancel request to the host that assigned the process
// ID.
func (s *Server) cancelRemote(processID, secret uint32) {
	for _, h := range s.gossip.View().Hosts {
		if h.Name == s.Settings.Host || acceptor.HostHash(h.Name) != uint16(processID>>16) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := s.peerClient.Cancel(ctx, h.PeerAddress, processID, binary.BigEndian.AppendUint32(nil, secret))
		cancel()
		if err != nil {
			s.Logger.Warn("cancel_forward_failed", "host", h.Name, "error", err)
		}
	}
}

// liveClaim returns the claim of a service and whether it is in effect.
func (s *Server) liveClaim(service string) (gossiper.ClaimView, bool) {
	claim, ok := s.gossip.View().Claims[service]
	return claim, ok && claim.Live
}

// preferredHost returns the eligible host that ranks first for a service by rendezvous
// hashing, which should hold it, or "" if no host is eligible.
func (s *Server) preferredHost(service string) string { return s.gossip.View().PreferredHost(service) }

// isSingleHost reports whether this host has neither seeds nor a host list and
// has no other host in its view.
func (s *Server) isSingleHost() bool {
	return len(s.Settings.Seeds) == 0 && s.Settings.HostListPrefix == "" && len(s.gossip.View().Hosts) <= 1
}

func (s *Server) peerAddress(host string) (string, bool) {
	h, ok := s.gossip.View().Host(host)
	return h.PeerAddress, ok && host != s.Settings.Host
}

// locate returns the target for the batches of a service, in this order: this
// host if it holds the service, the host named in hint, which comes from a
// refusal, the holder with a live claim, and the preferred host, which is expected to
// claim the service.
func (s *Server) locate(service, hint string) (target, bool) {
	if h := s.placer.find(service); h != nil && !h.draining.Load() {
		return target{opener: h.holder, host: s.Settings.Host, reason: "held here"}, true
	}
	if address, ok := s.peerAddress(hint); ok && hint != "" {
		return s.remoteTarget(address, hint, "named by the former holder"), true
	}
	if claim, ok := s.liveClaim(service); ok && claim.Host != s.Settings.Host {
		return s.remoteTarget(claim.Address, claim.Host, "live holder"), true
	}
	preferred := s.preferredHost(service)
	if address, ok := s.peerAddress(preferred); ok {
		return s.remoteTarget(address, preferred, "next holder"), true
	}
	return target{}, false
}

func (s *Server) remoteTarget(address, host, reason string) target {
	return target{opener: s.peerClient.Opener(address), host: host, reason: reason}
}

// A localOpener opens exchanges for other hosts on the services that this host
// holds.
type localOpener struct{ server *Server }

// Open implements executor.Opener. If this host does not hold the service, the
// refusal names the holder if it is known.
func (o localOpener) Open(ctx context.Context, attributes executor.Attributes) (executor.Exchange, error) {
	s := o.server
	if h := s.placer.find(attributes.Service); h != nil && !h.draining.Load() {
		return h.holder.Open(ctx, attributes)
	}
	s.placer.wake()
	refusal := executor.RefuseNotRun(executor.CodeCannotServe, "service "+attributes.Service+" is not held by host "+s.Settings.Host)
	refusal.Outcome = executor.HeldElsewhere
	if claim, ok := s.liveClaim(attributes.Service); ok && claim.Host != s.Settings.Host {
		refusal.Holder = claim.Host
	}
	return nil, refusal
}
