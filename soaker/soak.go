// Package soaker runs hosts and stand-ins as processes, injects faults from outside
// by signals and proxies while clients work, and checks what clients and databases
// see against the promises of the product.
package soaker

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/timekeeper"
)

const (
	// healTimeout bounds the time in which every host has to serve after all faults
	// are healed, also on a busy machine.
	healTimeout = 30 * time.Second
	// publishTimeout bounds the attempts to publish one change.
	publishTimeout = 60 * time.Second
	// banDelay is the time after publish in which a withdrawn key or a data centre
	// that was taken out may still be served.
	banDelay = 3 * time.Second
	// stopGrace is added to the stop timeout of a host on a busy machine.
	stopGrace = 10 * time.Second
	// pinnedClients is the number of clients of each customer that use one host only,
	// per host, and roamingClients that of those that use all hosts.
	pinnedClients  = 2
	roamingClients = 3
)

// A Soak is one run with one seed. Its exported fields must be set before Run.
type Soak struct {
	// Executable is the program endiveturn.
	Executable string
	Seed       uint64
	// Duration is the time in which faults begin.
	Duration time.Duration
	// Hosts is the number of hosts, at least 1.
	Hosts int
	// Dir is the folder in which settings and logs are kept. It must not exist.
	Dir string

	fleet     *fleet
	history   *History
	incidents *Incidents
	board     *board
	logger    *slog.Logger
	// changes holds the subjects whose change is in force.
	changes sync.Map
	// reserved holds the names of what is or will be out of service.
	reserving sync.Mutex
	reserved  map[string]bool
}

// A Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     int
	Counts     map[string]int
	Violations []Violation
	// Recovered is the time after the end of all faults until every host served.
	Recovered time.Duration
	Took      time.Duration
}

// String returns the report in one line, followed by a line for each violation.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d violations, %d faults, recovered in %v, took %v;", r.Seed, len(r.Violations), r.Faults,
		r.Recovered.Round(time.Millisecond), r.Took.Round(time.Millisecond))
	names := make([]string, 0, len(r.Counts))
	for name := range r.Counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%d", name, r.Counts[name])
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&text, "\n  %s: %s", v.Kind, v.Detail)
	}
	return text.String()
}

// Run runs the soak. An error means that it could not be judged.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	start := time.Now()
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return Report{}, errors.Wrap(err, "create directory")
	}
	log, err := os.Create(filepath.Join(s.Dir, "soak.log"))
	if err != nil {
		return Report{}, errors.Wrap(err, "create log")
	}
	defer log.Close()
	s.logger = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	s.history, s.incidents, s.board = NewHistory(s.logger), &Incidents{}, &board{last: make(map[string]Row)}
	s.reserved = make(map[string]bool)
	schedule := NewSchedule(s.Seed, s.Duration, s.Hosts, databaseCount)
	recovered, err := s.run(ctx, schedule)
	if err != nil {
		return Report{}, err
	}
	return Report{
		Seed: s.Seed, Faults: len(schedule), Counts: s.history.Counts(), Violations: s.history.Violations(),
		Recovered: recovered, Took: time.Since(start),
	}, nil
}

// run runs processes, load, faults and the audit, and returns the time in which the hosts
// recovered.
func (s *Soak) run(ctx context.Context, schedule []Fault) (recovered time.Duration, err error) {
	ports, err := reservePorts()
	if err != nil {
		return 0, err
	}
	defer ports.release()
	s.fleet = &fleet{executable: s.Executable, dir: s.Dir, ports: ports, logger: s.logger, onExit: func(name string, err error) {
		s.history.Report(unexpectedExit, "%s ended by itself: %v", name, err)
	}}
	linkCtx, cancel := context.WithCancel(ctx)
	defer s.fleet.links.Wait()
	defer cancel()
	defer s.fleet.stop()
	if err := s.fleet.start(linkCtx, s.Hosts); err != nil {
		return 0, err
	}
	if err := s.awaitService(ctx); err != nil {
		return 0, errors.WithMessage(err, "before the first fault")
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	load := s.startClients(loadCtx)
	s.injectAll(ctx, schedule)
	s.logger.Info("faults_healed")
	healed := time.Now()
	if err := s.awaitService(ctx); err != nil {
		s.history.Report(notServing, "%v after all faults were healed: %v", healTimeout, err)
	}
	recovered = time.Since(healed)
	stopLoad()
	load.Wait()
	s.audit(ctx)
	return recovered, ctx.Err()
}

// startClients starts all clients, which work until ctx ends.
func (s *Soak) startClients(ctx context.Context) *sync.WaitGroup {
	load := &sync.WaitGroup{}
	stream := uint64(0)
	start := func(c *client, operate func(*client, context.Context)) {
		stream++
		c.rng = rand.New(rand.NewPCG(s.Seed, stream))
		load.Go(func() { c.run(ctx, func(ctx context.Context) { operate(c, ctx) }) })
	}
	for _, k := range keyOwners[:2] {
		for i, h := range s.fleet.hosts {
			for n := range pinnedClients {
				start(s.newClient(fmt.Sprintf("%s-pinned%d-%d", k.customer, i+1, n), k.customer, k.key, []*host{h}), (*client).operate)
			}
		}
		for n := range roamingClients {
			c := s.newClient(fmt.Sprintf("%s-roaming%d", k.customer, n), k.customer, k.key, s.fleet.hosts)
			if c.usesToken = n == 0; !c.usesToken {
				c.session = c.name
			}
			start(c, (*client).operate)
		}
	}
	for i, h := range s.fleet.hosts {
		start(s.newClient(fmt.Sprintf("probe%d", i+1), secondCustomer, probeKey, []*host{h}), (*client).probe)
	}
	return load
}

func (s *Soak) newClient(name, customer, key string, hosts []*host) *client {
	return &client{
		name: name, customer: customer, key: key, hosts: hosts, history: s.history, incidents: s.incidents, board: s.board,
		rng: rand.New(rand.NewPCG(s.Seed, 0)), conns: make([]*pgx.Conn, len(hosts)), intact: make([]time.Time, len(hosts)),
	}
}

// awaitService waits until every host serves every key.
func (s *Soak) awaitService(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healTimeout)
	defer cancel()
	for _, h := range s.fleet.hosts {
		for _, k := range keyOwners {
			c := s.newClient("await", k.customer, k.key, []*host{h})
			for {
				err := c.tryOnce(ctx)
				if err == nil {
					break
				}
				if !timekeeper.Sleep(ctx, retryInterval) {
					return errors.Wrapf(err, "%s does not serve key %s", h.name, k.key)
				}
			}
		}
	}
	return nil
}

// audit reads all rows through each host and from the primary database.
func (s *Soak) audit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healTimeout)
	defer cancel()
	for _, h := range s.fleet.hosts {
		for _, k := range keyOwners[:2] {
			c := s.newClient("audit", k.customer, k.key, []*host{h})
			rows, err := c.allRows(ctx)
			if err != nil {
				s.history.Report(unreachableAudit, "%s, customer %s: %v", h.name, k.customer, err)
				continue
			}
			s.history.CheckFinal(h.name, k.customer, rows)
		}
	}
	rows, err := s.fleet.primaryRows(ctx)
	if err != nil {
		s.history.Report(unreachableAudit, "primary database: %v", err)
		return
	}
	s.history.CheckFinal("primary database", "", rows)
}
