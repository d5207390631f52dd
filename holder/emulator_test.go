package holder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
	"github.com/endiveturn/endiveturn/groupemulator"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/promoter"
	"github.com/endiveturn/endiveturn/scheduler"
)

const emulatorConnections = 12

// startEmulated starts a holder with a watcher and a group of the emulator.
func startEmulated(t testing.TB) (*Holder, *groupemulator.Group) {
	t.Helper()
	group := &groupemulator.Group{Service: "orders", User: "endpoint", Password: "secret"}
	for _, name := range []string{"a", "b", "c"} {
		group.Members = append(group.Members, groupemulator.Member{
			Name: name, DataCentre: "dc-" + name, Address: "127.0.0.1:0", Slots: 5, Connections: emulatorConnections,
			ApplyLag: 20 * time.Millisecond,
		})
	}
	if err := group.Start(); err != nil {
		t.Fatal(err)
	}
	configuration := Configuration{Revision: 1, Shares: map[string]scheduler.Share{}}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	watcher := &promoter.Watcher{
		Service: "orders", Host: "h1", Now: time.Now, Logger: logger, DrainTimeout: time.Second,
		Dial: (&promoter.Dialer{Password: "secret", Timeout: time.Second}).Dial,
	}
	for _, m := range group.Members {
		address := group.Address(m.Name)
		watcher.Members = append(watcher.Members, promoter.Member{Name: m.Name, Address: address, DataCentre: m.DataCentre})
		configuration.Databases = append(configuration.Databases, configurer.Database{
			Name: m.Name, Service: "orders", Address: address, Slots: m.Slots, Connections: m.Connections,
		})
	}
	h := &Holder{
		Service: configurer.Service{
			Name: "orders", EndpointUser: "endpoint", EndpointDatabase: "orders",
			Acknowledge: configurer.AcknowledgeMajority, ReplicaWait: 10 * time.Millisecond, Deadline: 3 * time.Second,
		},
		Configuration: func() Configuration { return configuration },
		Group:         watcher, Limiter: &limiter.Limiter{Now: time.Now, Wait: time.Second},
		Dial: dialFake, Password: "secret", Now: time.Now, Logger: logger,
	}
	for _, customer := range []string{"acme", "apex"} {
		h.Limiter.Configure(limiter.Name{Customer: customer, Service: "orders"}, limiter.Share{Rate: 1e6, Burst: 1e6, TotalRate: 1e6})
	}
	watcher.PauseWrites = h.PauseWrites
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = h.Run(ctx) })
	running.Go(func() { _ = watcher.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		group.Stop()
	})
	return h, group
}

// A caller writes bookings of one session and reads them back.
type caller struct {
	holder   *Holder
	customer string
	session  string
	// written holds the ids whose commit was acknowledged, refused those that
	// were reported as not run.
	written []string
	refused []string
	stale   int
	reads   int
	gap     time.Duration
	last    time.Time
}

func (c *caller) do(exchange executor.Exchange, text string, class executor.Class) ([]byte, error) {
	batch := query(text, class)
	var answer bytes.Buffer
	_, err := exchange.Run(context.Background(), batch, &answer)
	return answer.Bytes(), err
}

func (c *caller) open() executor.Exchange {
	exchange, err := c.holder.Open(context.Background(), executor.Attributes{Customer: c.customer, Session: c.session})
	if err != nil {
		panic(err)
	}
	return exchange
}

// write commits a booking, in every third round within a transaction.
func (c *caller) write(round int) {
	id := fmt.Sprintf("%s-%d", c.session, round)
	exchange := c.open()
	defer exchange.Close()
	insert := fmt.Sprintf("INSERT INTO bookings (id, customer, amount) VALUES ('%s', '%s', 1)", id, c.customer)
	var answer []byte
	var err error
	if round%3 == 0 {
		if _, err := c.do(exchange, "BEGIN", executor.ClassBegin); err != nil {
			return
		}
		if answer, err := c.do(exchange, insert, executor.ClassWrite); err != nil || bytes.HasPrefix(answer, []byte("E")) {
			return
		}
		answer, err = c.do(exchange, "COMMIT", executor.ClassWrite)
	} else {
		answer, err = c.do(exchange, insert, executor.ClassWrite)
	}
	switch {
	case err == nil && bytes.HasPrefix(answer, []byte("C")) && !bytes.Contains(answer, []byte("ROLLBACK")):
		c.written = append(c.written, id)
		now := time.Now()
		c.gap = max(c.gap, now.Sub(c.last))
		c.last = now
	case errors.Is(err, executor.ErrNotRun), errors.Is(err, executor.ErrRolledBack):
		c.refused = append(c.refused, id)
	}
}

// read looks for the last booking.
func (c *caller) read() {
	if len(c.written) == 0 {
		return
	}
	id := c.written[len(c.written)-1]
	exchange := c.open()
	defer exchange.Close()
	answer, err := c.do(exchange, "SELECT id FROM bookings WHERE id = '"+id+"'", executor.ClassRead)
	if err == nil && bytes.Contains(answer, []byte("SELECT ")) {
		c.reads++
		if !bytes.Contains(answer, []byte(id)) {
			c.stale++
		}
	}
}

// TestFaultsOfTheGroup guards against lost and repeated writes, stale own reads,
// wrong customers, and bounds exceeded, while databases are killed and cut off.
func TestFaultsOfTheGroup(t *testing.T) {
	h, group := startEmulated(t)
	end := time.Now().Add(6 * time.Second)
	var callers []*caller
	var running sync.WaitGroup
	for i := range 12 {
		c := &caller{holder: h, customer: []string{"acme", "apex"}[i%2], session: fmt.Sprint("s", i), last: time.Now()}
		callers = append(callers, c)
		running.Go(func() {
			for round := 1; time.Now().Before(end); round++ {
				c.write(round)
				c.read()
			}
		})
	}
	running.Go(func() { disturb(group, end) })
	running.Wait()
	content := map[string]groupemulator.Row{}
	for wait := time.Now().Add(3 * time.Second); time.Now().Before(wait); time.Sleep(10 * time.Millisecond) {
		if content = group.Content(); len(content) > 0 {
			break
		}
	}
	committed := make(map[string]string)
	for _, w := range group.Writes() {
		committed[w.ID] = w.Customer
	}
	total, reads, gap := 0, 0, time.Duration(0)
	for _, c := range callers {
		total, reads, gap = total+len(c.written), reads+c.reads, max(gap, c.gap)
		if c.stale > 0 {
			t.Errorf("session %s: %d stale own reads", c.session, c.stale)
		}
		for _, id := range c.written {
			if _, ok := content[id]; !ok {
				t.Errorf("acknowledged write %s is lost", id)
			}
			if got := committed[id]; got != c.customer {
				t.Errorf("write %s ran for customer %q, want %q", id, got, c.customer)
			}
		}
		for _, id := range c.refused {
			if _, ok := committed[id]; ok {
				t.Errorf("write %s was reported as not run or rolled back, but was committed", id)
			}
		}
	}
	if duplicates := group.Duplicates(); len(duplicates) > 0 {
		t.Errorf("writes that ran twice: %v", duplicates)
	}
	for _, name := range []string{"a", "b", "c"} {
		stats := group.Stats(name)
		t.Logf("%s: %+v", name, stats)
		if stats.SlotWaits > 0 || stats.MaxConnections > emulatorConnections {
			t.Errorf("%s: %d batches without a slot, %d connections at once", name, stats.SlotWaits, stats.MaxConnections)
		}
	}
	t.Logf("writes %d, reads %d, longest gap of a session %s, promotions %d", total, reads, gap, len(group.Promotions()))
	if total < 500 || reads < 500 {
		t.Errorf("%d writes and %d reads only", total, reads)
	}
}

// disturb kills and cuts off databases in turn, mostly the primary.
func disturb(group *groupemulator.Group, end time.Time) {
	for round := 0; time.Now().Before(end.Add(-1500 * time.Millisecond)); round++ {
		time.Sleep(500 * time.Millisecond)
		victim := group.Primary()
		if round%4 == 3 {
			victim = "b"
		}
		var undo func(string) error
		switch round % 3 {
		case 0:
			_ = group.Kill(victim)
			undo = group.Restart
		case 1:
			_ = group.IsolateFromPeers(victim)
			undo = group.Heal
		default:
			_ = group.Isolate(victim)
			undo = group.Heal
		}
		time.Sleep(900 * time.Millisecond)
		_ = undo(victim)
	}
}

// TestReplicaCutOff guards against reads that wait for a replica that is cut off
// until their deadline, although other databases could serve them.
func TestReplicaCutOff(t *testing.T) {
	h, group := startEmulated(t)
	for _, name := range []string{"a", "b", "c"} {
		must(t, group.SetStatementCost(name, 5*time.Millisecond))
	}
	c := &caller{holder: h, customer: "acme", session: "warm"}
	c.write(1)
	replica := "b"
	if group.Primary() == "b" {
		replica = "c"
	}
	end := time.Now().Add(2500 * time.Millisecond)
	var running sync.WaitGroup
	for i := range 10 {
		c := &caller{holder: h, customer: "acme", session: fmt.Sprint("r", i)}
		running.Go(func() {
			for time.Now().Before(end) {
				exchange := c.open()
				start := time.Now()
				_, err := c.do(exchange, "SELECT 1", executor.ClassRead)
				if took := time.Since(start); err != nil || took > 2*time.Second {
					t.Errorf("read after %s: %v", took, err)
				}
				_ = exchange.Close()
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	must(t, group.Isolate(replica))
	running.Wait()
	must(t, group.Heal(replica))
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestPlannedChange guards against batches that fail while operators take the
// primary out of service.
func TestPlannedChange(t *testing.T) {
	h, group := startEmulated(t)
	(&caller{holder: h, customer: "acme", session: "warm"}).write(1)
	first := group.Primary()
	end := time.Now().Add(2 * time.Second)
	var running sync.WaitGroup
	for i := range 10 {
		c := &caller{holder: h, customer: "acme", session: fmt.Sprint("p", i), last: time.Now()}
		running.Go(func() {
			round := 1
			for ; time.Now().Before(end); round++ {
				c.write(round)
				c.read()
			}
			if got, want := len(c.written), round-1; got != want || c.stale > 0 {
				t.Errorf("acknowledged = %d of %d writes, %d stale reads", got, want, c.stale)
			}
			if c.gap > time.Second {
				t.Errorf("longest gap between writes = %s", c.gap)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	watcher := h.Group.(*promoter.Watcher)
	members := append([]promoter.Member(nil), watcher.Members...)
	for i := range members {
		members[i].Leaving = members[i].Name == first
	}
	watcher.SetMembers(members)
	running.Wait()
	if got := group.Primary(); got == first {
		t.Errorf("primary is still %s", got)
	}
}
