package hoster

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime/pprof"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/cataloger"
	"github.com/endiveturn/endiveturn/connector"
	"github.com/endiveturn/endiveturn/director"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/overseer"
	"github.com/endiveturn/endiveturn/reporter"
	"github.com/endiveturn/endiveturn/timekeeper"
)

var (
	startHosts   = flag.String("start-hosts", "30,100", "numbers of hosts of TestFleetStart")
	startProfile = flag.String("start-profile", "", "file for the CPU profile of TestFleetStart")
)

const (
	// startSpread is the time within which all hosts of the fleet start.
	startSpread = 1500 * time.Millisecond
	// startDuration is for how long a start is observed.
	startDuration = 10 * time.Second
	startServices = 8
)

// A startCost is what a host of a fleet that starts costs.
type startCost struct {
	hosts int
	// processorTime is the mean of the hosts.
	processorTime time.Duration
	// medianBytes and maxBytes are sent and received by the median and the busiest host.
	medianBytes, maxBytes int64
	storeCalls            int64
	// readyAfter is when all hosts knew each other and had a view fresh enough to use
	// primaries, 0 if that was not so until startDuration.
	readyAfter time.Duration
}

// measureStart starts a fleet in virtual time and returns what it costs until startDuration.
func measureStart(t *testing.T, hosts int) startCost {
	t.Helper()
	cost := startCost{hosts: hosts}
	synctest.Test(t, func(t *testing.T) {
		defer timekeeper.Replace(func() time.Time { return time.Now().Round(0) })()
		f := newStartFleet()
		ctx, cancel := context.WithCancel(t.Context())
		began, done := processorTime(), make(chan struct{})
		for i := range hosts {
			h := f.newHost(i, hosts)
			go func() {
				defer func() { done <- struct{}{} }()
				time.Sleep(startSpread * time.Duration(i*7%hosts) / time.Duration(hosts))
				if err := h.Run(ctx); err != nil {
					t.Errorf("host %s: %v", h.Settings.Host, err)
				}
			}()
		}
		readyAfter := f.awaitReady(hosts)
		cost.processorTime = (processorTime() - began) / time.Duration(hosts)
		var bytes []int64
		cost.readyAfter = readyAfter
		for _, link := range f.links {
			bytes = append(bytes, link.bytes.Load())
		}
		slices.Sort(bytes)
		cost.medianBytes, cost.maxBytes, cost.storeCalls = bytes[len(bytes)/2], bytes[len(bytes)-1], f.store.calls.Load()
		cancel()
		for range hosts {
			<-done
		}
	})
	return cost
}

// awaitReady waits for startDuration and returns after which time all hosts were ready.
func (f *startFleet) awaitReady(hosts int) (readyAfter time.Duration) {
	const step = 100 * time.Millisecond
	for after := step; after <= startDuration; after += step {
		time.Sleep(step)
		ready := 0
		for _, h := range f.hosts {
			if h.knowsFleet(hosts) {
				ready++
			}
		}
		if ready < hosts {
			readyAfter = 0
		} else if readyAfter == 0 {
			readyAfter = after
		}
	}
	return readyAfter
}

// knowsFleet reports whether the host knows all hosts and may use primaries.
func (h *Host) knowsFleet(hosts int) bool {
	catalog := h.latestCatalog()
	return catalog != nil && len(catalog.Hosts) == hosts && timekeeper.Now().Sub(h.viewCompleteAsOf()) < director.MaxViewAge
}

// A startFleet is a fleet whose hosts, store and network run in this process. It has
// configured services, whose databases accept no connections, and no clients.
type startFleet struct {
	store   *startStore
	network *startNetwork
	hosts   []*Host
	links   []*startLink
}

func newStartFleet() *startFleet {
	f := &startFleet{store: newStartStore(), network: &startNetwork{listeners: make(map[string]*startListener)}}
	f.store.put("op/configuration", make([]byte, 20<<10))
	for i := range 3 * startServices {
		f.store.put(fmt.Sprintf("servers/%d", i), make([]byte, 200))
	}
	return f
}

func (f *startFleet) newHost(i, hosts int) *Host {
	link := &startLink{}
	settings := Settings{
		Host: fmt.Sprintf("frontend-%03d", i), DataCentre: fmt.Sprintf("dk-east-%d", i%4), ClientAddress: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250),
		ReadinessAddress: fmt.Sprintf("10.1.%d.%d:2", i/250, i%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:3", i/250, i%250), StopTimeout: time.Second,
		MemoryMegabytes: 184, MaxDescriptors: 4300, CPUShare: 0.192, LinkMegabits: 10,
	}
	for j := range hosts {
		settings.Seeds = append(settings.Seeds, fmt.Sprintf("10.1.%d.%d:3", j/250, j%250))
	}
	writer := reporter.NewWriter(io.Discard)
	h := &Host{
		Settings: settings, Platform: f.platform(), Writer: writer, Logger: reporter.NewLogger(writer, slog.LevelInfo), Registry: gometrics.NewRegistry(),
		Listen: func(_ context.Context, address string) (net.Listener, error) {
			return f.network.listen(address, link), nil
		},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return f.network.dial(ctx, address, link)
		},
	}
	f.hosts, f.links = append(f.hosts, h), append(f.links, link)
	return h
}

func (f *startFleet) platform() Platform {
	configuration := cataloger.Configuration{Version: 1, Services: make(map[string]cataloger.Service), Customers: make(map[string]cataloger.Customer)}
	for i := range startServices {
		name := fmt.Sprint("service-", i)
		configuration.Services[name] = cataloger.Service{Name: name, MaxConnections: 62, SyncReplicas: 1}
	}
	for i := range 86 {
		name := fmt.Sprint("customer-", i)
		configuration.Customers[name] = cataloger.Customer{Name: name, Keys: []string{name}, Rate: 20, Burst: 20}
	}
	return Platform{
		Store: f.store.functions(), IsExternalKey: func(key string) bool { return !strings.HasPrefix(key, overseer.Prefix) },
		ReadinessPath: "/ready", Decoder: startDecoder(configuration),
		Databases: Databases{
			Dial: func(context.Context, cataloger.Endpoint, string) (connector.Transport, error) {
				return nil, connector.ErrTooManyConnections
			},
			Status: func(context.Context, cataloger.Endpoint) (executor.DatabaseStatus, error) {
				return executor.DatabaseStatus{Primary: true, Term: 1}, nil
			},
			Demote: func(context.Context, cataloger.Endpoint, uint64) error { return nil },
		},
		Promote: func(context.Context, string, overseer.Promotion) error { return overseer.ErrNotRunning },
	}
}

func startDecoder(configuration cataloger.Configuration) Decoder {
	return Decoder{
		Configuration: func(key string, _ []byte) (cataloger.Configuration, bool, error) {
			return configuration, key == "op/configuration", nil
		},
		Endpoint: func(key string, _ []byte) (cataloger.Endpoint, bool, error) {
			number, ok := strings.CutPrefix(key, "servers/")
			if !ok {
				return cataloger.Endpoint{}, false, nil
			}
			i, err := strconv.Atoi(number)
			return cataloger.Endpoint{
				ID: "i-" + number, StartedAtMillis: 1, Service: fmt.Sprint("service-", i/3), Address: "10.2.0.1:1", DataCentre: fmt.Sprint("dk-east-", i%3),
				Slots: 4, ClaimsPrimary: i%3 == 0,
			}, true, err
		},
		EvacuatedDataCentre: func(string) (string, bool) { return "", false },
	}
}

// TestFleetStart guards against a start of a large fleet that costs each host processor time
// or bytes that grow with the square of the fleet.
func TestFleetStart(t *testing.T) {
	if *startProfile != "" {
		file, err := os.Create(*startProfile)
		if err != nil {
			t.Fatal(err)
		}
		if err := pprof.StartCPUProfile(file); err != nil {
			t.Fatal(err)
		}
		defer pprof.StopCPUProfile()
	}
	var smallest startCost
	for _, text := range strings.Split(*startHosts, ",") {
		hosts, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		c := measureStart(t, hosts)
		t.Logf("%d hosts: %v of processor time a host, %d KB on the median host, %d KB on the busiest, %d store calls, all ready after %v", c.hosts,
			c.processorTime.Round(time.Millisecond), c.medianBytes>>10, c.maxBytes>>10, c.storeCalls, c.readyAfter)
		if smallest.hosts == 0 {
			smallest = c
		}
		checkGrowth(t, smallest, c)
	}
}

// checkGrowth checks that the costs grow at most in proportion to the hosts, and those of the
// busiest host, the hub, which has to tell all hosts of all hosts, less than with the square.
func checkGrowth(t *testing.T, smallest, c startCost) {
	t.Helper()
	const busiestExponent = 1.5
	ratio := float64(c.hosts) / float64(smallest.hosts)
	if c.readyAfter == 0 {
		t.Errorf("%d hosts: not all are ready after %v", c.hosts, startDuration)
	}
	if got, limit := c.processorTime, time.Duration(ratio*float64(smallest.processorTime)); got > limit {
		t.Errorf("%d hosts: got %v of processor time a host, want at most %v", c.hosts, got, limit)
	}
	if got, limit := c.medianBytes, int64(ratio*float64(smallest.medianBytes)); got > limit {
		t.Errorf("%d hosts: got %d bytes on the median host, want at most %d", c.hosts, got, limit)
	}
	if got, limit := c.maxBytes, int64(math.Pow(ratio, busiestExponent)*float64(smallest.maxBytes)); got > limit {
		t.Errorf("%d hosts: got %d bytes on the busiest host, want at most %d", c.hosts, got, limit)
	}
}
