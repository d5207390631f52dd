package accountant

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/storer"
)

// A model simulates a fleet, its store and the receiver of reports in discrete steps. The
// hosts run the code of the product; leadership, the mirrors and the network are modelled.
type model struct {
	t      *testing.T
	random *rand.Rand
	seed   uint64
	now    time.Time
	hosts  []*modelHost
	faulty bool

	// value, revision and era are the record in the store; copied is a copy of it.
	value        []byte
	revision     int64
	era, counter int64
	copied       []byte
	copiedAt     int64
	// checkpoint is the checkpoint in the store, copiedCheckpoint a copy of it.
	checkpoint, copiedCheckpoint storer.Entry
	leader                       *modelHost
	leaseExpires                 time.Time
	writes, calls                []delayed
	storeDown                    time.Time
	// lostResponses is the number of next writes and calls whose responses are lost.
	lostResponses int

	// sent holds the requests that hosts have sent by window and customer.
	sent     map[int64]map[string]int64
	received map[int64]map[string]int64
	// receivedAt holds when a window arrived first.
	receivedAt map[int64]time.Time
	holders    map[int64]string
	arrivals   []arrival
}

// A delayed is a message that arrives later.
type delayed struct {
	at      time.Time
	deliver func()
}

// An arrival is a call that the receiver has accepted.
type arrival struct {
	at     time.Time
	holder string
	token  int64
}

// A modelHost is one process.
type modelHost struct {
	name                          string
	incarnation                   int
	clock                         *Clock
	book                          *Book
	sender                        *Sender
	checkpointer                  *Checkpointer
	skew                          time.Duration
	suspendedUntil                time.Time
	storeCutUntil, hostsCutUntil  time.Time
	leadership                    Leadership
	era                           int64
	value                         []byte
	revision                      int64
	renewedAt, campaignFrom, read time.Time
}

const (
	modelStep  = 50 * time.Millisecond
	modelLease = 1800 * time.Millisecond
	modelGap   = 3 * time.Second
)

var errModelLost = errors.New("no response")

func newModel(t *testing.T, seed uint64, hosts int, faulty bool) *model {
	m := &model{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), seed: seed, now: time.Unix(5000, 0), faulty: faulty, era: 1, counter: 1,
		sent: make(map[int64]map[string]int64), received: make(map[int64]map[string]int64), receivedAt: make(map[int64]time.Time), holders: make(map[int64]string),
	}
	for i := range hosts {
		m.hosts = append(m.hosts, &modelHost{name: fmt.Sprint("h", i)})
		m.restart(m.hosts[i])
	}
	return m
}

// killAll kills all processes, which start again after an outage.
func (m *model) killAll(outage time.Duration) {
	m.calls = nil
	for _, h := range m.hosts {
		m.restart(h)
		h.suspendedUntil = m.now.Add(outage)
	}
}

// restart starts a process of a host, which knows nothing.
func (m *model) restart(h *modelHost) {
	*h = modelHost{name: h.name, incarnation: h.incarnation + 1, skew: h.skew, storeCutUntil: h.storeCutUntil, hostsCutUntil: h.hostsCutUntil}
	now := func() time.Time { return m.now }
	schedule := Schedule{Window: 5 * time.Second, Due: 10 * time.Second}
	h.clock = &Clock{Now: now, WallClock: func() time.Time { return m.trueTime().Add(h.skew) }, Agreement: 125 * time.Millisecond}
	h.book = &Book{Schedule: schedule, Clock: h.clock, Self: Source{Host: h.name, Incarnation: fmt.Sprint(h.incarnation)}, Now: now}
	leadership := func() (Leadership, bool) {
		return h.leadership, h.leadership.Token > 0 && m.now.Before(h.leadership.Until) && storer.EraOf(h.leadership.Token) == h.era
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	h.checkpointer = &Checkpointer{
		Schedule: schedule, Clock: h.clock, Book: h.book, Now: now, Leadership: leadership, Logger: logger,
		Read: func(context.Context) ([]byte, int64, error) {
			if !m.reachesStore(h) || m.chance(0.1) {
				return nil, 0, errModelLost
			}
			return m.checkpoint.Value, m.checkpoint.ModRevision, nil
		},
		Write: func(_ context.Context, value []byte, expected int64) (int64, error) {
			return m.writeCheckpoint(h, value, expected)
		},
	}
	h.sender = &Sender{
		Holder: h.name, Schedule: schedule, Gap: modelGap, Clock: h.clock, Book: h.book, Now: now,
		Leadership: leadership, Incarnations: m.incarnations, Logger: logger, TakenOver: h.checkpointer.TakenOver,
		Stored: func() ([]byte, int64, bool) { return h.value, h.revision, h.value != nil },
		Write: func(_ context.Context, value []byte, expected int64) (int64, error) {
			return m.write(h, value, expected)
		},
		Send: func(_ context.Context, report Report) error { return m.send(report) },
	}
}

// trueTime is the time of day.
func (m *model) trueTime() time.Time { return m.now.Add(1_700_000_000 * time.Second) }

func (m *model) incarnations() map[string]string {
	incarnations := make(map[string]string)
	for _, h := range m.hosts {
		incarnations[h.name] = fmt.Sprint(h.incarnation)
	}
	return incarnations
}

func (m *model) reachesStore(h *modelHost) bool {
	return !m.now.Before(h.storeCutUntil) && !m.now.Before(m.storeDown)
}

// chance returns true with a probability in a run with faults, else false.
func (m *model) chance(probability float64) bool {
	return m.faulty && m.random.Float64() < probability
}

func (m *model) losesResponse() bool {
	if m.lostResponses == 0 {
		return false
	}
	m.lostResponses--
	return true
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.random.Int64N(int64(d))) }

// sees applies the present record of the store to the mirror of a host, which orders records
// by the era in which they were written.
func (h *modelHost) sees(m *model) {
	if m.era > h.era {
		if h.era > 0 && m.now.Before(h.leadership.Until) {
			h.campaignFrom = m.now
		} else {
			h.campaignFrom = m.now.Add(modelLease)
		}
		h.era, h.leadership = m.era, Leadership{EraSince: m.now}
	}
	h.read = m.now
	if m.value == nil {
		return
	}
	era, ok := WrittenIn(RecordKey, m.value)
	_, number := storer.SplitRevision(m.revision)
	if dated := storer.JoinRevision(era, number); ok && dated > h.revision {
		h.value, h.revision = m.value, dated
	}
}

// send delivers a call, at once or later: a suspended host sends it later, if it is still
// valid, and it may be on its way for a second.
func (m *model) send(report Report) error {
	if m.chance(0.2) {
		return errModelLost
	}
	if m.chance(0.3) {
		m.calls = append(m.calls, delayed{at: m.now.Add(m.upTo(4 * time.Second)), deliver: func() {
			if m.now.After(report.ValidUntil) {
				return
			}
			m.calls = append(m.calls, delayed{at: m.now.Add(m.upTo(time.Second)), deliver: func() { m.receive(report) }})
		}})
		return errModelLost
	}
	m.receive(report)
	if m.chance(0.2) || m.losesResponse() {
		return errModelLost
	}
	return nil
}

// receive checks what must never happen.
func (m *model) receive(report Report) {
	number, counts := report.Window.Number, report.Window.Counts
	if known, ok := m.received[number]; ok && !maps.Equal(known, counts) {
		m.t.Errorf("seed %d: window %d is reported as %v and as %v", m.seed, number, known, counts)
	}
	for customer, count := range counts {
		if count > m.sent[number][customer] {
			m.t.Errorf("seed %d: window %d: got %d requests of %s, sent were %d", m.seed, number, count, customer, m.sent[number][customer])
		}
	}
	if holder, ok := m.holders[report.Token]; ok && holder != report.Holder {
		m.t.Errorf("seed %d: token %d is of %s and of %s", m.seed, report.Token, holder, report.Holder)
	}
	other := false
	for i := len(m.arrivals) - 1; i >= 0 && m.now.Sub(m.arrivals[i].at) < modelGap; i-- {
		other = other || m.arrivals[i].holder != report.Holder
		if other && m.arrivals[i].holder == report.Holder {
			m.t.Errorf("seed %d: %s sends again within %v after another host", m.seed, report.Holder, modelGap)
		}
	}
	if n := len(m.arrivals); n > 0 && m.arrivals[n-1].token > report.Token {
		m.t.Errorf("seed %d: token %d after %d", m.seed, report.Token, m.arrivals[n-1].token)
	}
	if _, ok := m.received[number]; !ok {
		m.receivedAt[number] = m.trueTime()
	}
	m.received[number], m.holders[report.Token] = counts, report.Holder
	m.arrivals = append(m.arrivals, arrival{at: m.now, holder: report.Holder, token: report.Token})
}

// injectFault suspends, cuts off or restarts hosts, moves clocks, or stops or restores the
// store.
func (m *model) injectFault() {
	h := m.hosts[m.random.IntN(len(m.hosts))]
	if m.leader != nil && m.random.IntN(2) == 0 {
		h = m.leader
	}
	until := m.now.Add(m.upTo(8 * time.Second))
	switch m.random.IntN(10) {
	case 0:
		h.suspendedUntil = until
	case 1:
		h.storeCutUntil = until
	case 2:
		h.hostsCutUntil = until
	case 3, 4:
		m.restart(h)
	case 5:
		// A minority of the clocks is wrong.
		h = m.hosts[m.random.IntN((len(m.hosts)-1)/2)]
		h.skew = m.upTo(12*time.Second) - 6*time.Second
	case 6:
		m.storeDown = m.now.Add(m.upTo(30 * time.Second))
	case 7:
		m.copyStore()
	case 8:
		m.restoreStore()
	case 9:
		m.killAll(m.upTo(8 * time.Second))
	}
}

func (m *model) step() {
	m.now = m.now.Add(modelStep)
	if m.chance(0.01) {
		m.injectFault()
	}
	m.writes, m.calls = m.deliver(m.writes), m.deliver(m.calls)
	for _, h := range m.hosts {
		if m.now.Before(h.suspendedUntil) {
			continue
		}
		m.lead(h)
		m.request(h)
		m.exchange(h)
		h.checkpointer.Step(context.Background())
		h.sender.RecordStep(context.Background())
		h.sender.SendStep(context.Background())
	}
}

// deliver delivers the messages that arrive now, and returns the others.
func (m *model) deliver(messages []delayed) []delayed {
	var later []delayed
	for _, message := range messages {
		if message.at.After(m.now) {
			later = append(later, message)
			continue
		}
		before := len(m.calls)
		message.deliver()
		later = append(later, m.calls[before:]...)
		m.calls = m.calls[:before]
	}
	return later
}

// lead renews or acquires the leadership of a host, as overseer does.
func (m *model) lead(h *modelHost) {
	if !m.reachesStore(h) {
		return
	}
	if m.now.Sub(h.read) > 300*time.Millisecond {
		h.sees(m)
	}
	switch {
	case m.leader == h && m.now.Before(m.leaseExpires):
		if m.now.Sub(h.renewedAt) >= 450*time.Millisecond && h.leadership.Token > 0 {
			h.renewedAt, m.leaseExpires = m.now, m.now.Add(modelLease)
			h.leadership.Until = m.leaseExpires
		}
	case m.now.Before(m.leaseExpires) || h.era != m.era || m.now.Before(h.campaignFrom) || m.random.IntN(10) > 0:
	default:
		m.acquire(h)
	}
}

// acquire makes a host the leader.
func (m *model) acquire(h *modelHost) {
	m.counter++
	m.leader, m.leaseExpires, h.renewedAt = h, m.now.Add(modelLease), m.now
	eraSince := h.leadership.EraSince
	h.leadership = Leadership{Token: storer.JoinRevision(m.era, m.counter), Since: m.now, Until: m.leaseExpires, EraSince: eraSince}
}

// request sends requests of customers to databases.
func (m *model) request(h *modelHost) {
	for _, customer := range []string{"c1", "c2"} {
		if m.random.IntN(20) > 0 {
			continue
		}
		window := h.book.Begin(customer)
		mayHaveRun := m.random.IntN(10) > 0
		h.book.End(customer, window, mayHaveRun)
		if !mayHaveRun {
			continue
		}
		if m.sent[window] == nil {
			m.sent[window] = make(map[string]int64)
		}
		m.sent[window][customer]++
	}
}

// exchange exchanges reports with the leader, and with the other hosts to learn their clocks.
func (m *model) exchange(h *modelHost) {
	hub := m.leader
	if hub == nil || hub == h || m.random.IntN(4) > 0 || m.now.Before(h.hostsCutUntil) || m.now.Before(hub.hostsCutUntil) || m.now.Before(hub.suspendedUntil) {
		return
	}
	for _, party := range []*modelHost{h, hub} {
		party.book.SetCollector(hub.name)
	}
	m.message(h, hub, h.book.Changes(hub.name), false)
	reply := hub.book.Acknowledgement(h.name)
	if h == m.hosts[0] || h == m.hosts[1] {
		reply = hub.book.Changes(h.name)
	}
	if !m.chance(0.1) {
		m.message(hub, h, reply, true)
	}
}

func (m *model) message(from, to *modelHost, changes Changes, fromHub bool) {
	changes.WallClock, changes.FleetTime = from.clock.Readings()
	decoded, err := Decode(Encode(changes))
	if err != nil {
		m.t.Fatal(err)
	}
	to.clock.Record(from.name, decoded.WallClock, decoded.FleetTime, m.now, fromHub)
	to.book.Apply(from.book.Self, decoded)
}

// TestModel guards against two different reports of a window, against tokens and senders out
// of order, and against counts above what was sent: hosts are suspended, cut off and
// restarted, responses and messages are lost or late, clocks jump, the store stops and comes
// back from an older copy.
func TestModel(t *testing.T) {
	reported, passed := 0, 0
	for seed := range uint64(60) {
		m := newModel(t, seed, 7, true)
		for range 6000 {
			m.step()
		}
		reported += len(m.received)
		passed += 6000 * int(modelStep/time.Millisecond) / 5000
		if t.Failed() {
			return
		}
	}
	t.Logf("%d of %d windows reported", reported, passed)
	if reported*2 < passed {
		t.Errorf("%d of %d windows reported, want at least half", reported, passed)
	}
}

// TestModelWithoutFaults guards against windows of a healthy fleet that are missing, late or
// have other counts than were sent.
func TestModelWithoutFaults(t *testing.T) {
	m := newModel(t, 1, 88, false)
	for range 2000 {
		m.step()
	}
	schedule := m.hosts[0].sender.Schedule
	first := schedule.Number(m.trueTime().Add(-80 * time.Second))
	for number := first; schedule.End(number).Add(schedule.Due).Before(m.trueTime()); number++ {
		if !maps.Equal(m.received[number], m.sent[number]) {
			t.Errorf("window %d: got %v, want %v", number, m.received[number], m.sent[number])
		}
		if late := m.receivedAt[number].Sub(schedule.End(number)); late > 2*time.Second {
			t.Errorf("window %d is reported %v after its end", number, late)
		}
	}
}
