package budgeter

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// A testBudget is a budget with a record of what it closed and reported.
type testBudget struct {
	*Budget
	closed []string
	events []Event
}

func newTestBudget(limits Limits) *testBudget {
	b := &testBudget{}
	b.Budget = &Budget{Limits: limits, Now: time.Now, OnEvent: func(e Event) { b.events = append(b.events, e) }}
	return b
}

func (b *testBudget) open(t *testing.T, name string) *Account {
	t.Helper()
	a, err := b.Open(Clients, name, func() { b.closed = append(b.closed, name) })
	if err != nil {
		t.Fatalf("open %s: %v", name, err)
	}
	return a
}

// TestLargestIsClosedFirst guards against a budget that, when it is used up, refuses
// those that need little instead of closing the connection that takes most.
func TestLargestIsClosedFirst(t *testing.T) {
	b := newTestBudget(Limits{Memory: 1000, ConnectionCost: 10})
	small, large := b.open(t, "small"), b.open(t, "large")
	steps := []struct {
		name    string
		account *Account
		bytes   int64
		want    error
		closed  []string
	}{
		{name: "within the budget", account: large, bytes: 700},
		{name: "the largest would grow", account: large, bytes: 1500, want: ErrMemory},
		{name: "a smaller one needs room", account: small, bytes: 500, closed: []string{"large"}},
		{name: "the closed one can't grow", account: large, bytes: 800, want: ErrClosed, closed: []string{"large"}},
		{name: "too much is being closed", account: small, bytes: 700, want: ErrMemory, closed: []string{"large"}},
	}
	for _, step := range steps {
		if err := step.account.Resize(Message, step.bytes); !errors.Is(err, step.want) {
			t.Errorf("%s: got %v, want %v", step.name, err, step.want)
		}
		if !slices.Equal(b.closed, step.closed) {
			t.Errorf("%s: closed: got %q, want %q", step.name, b.closed, step.closed)
		}
	}
	large.End()
	large.End()
	if err := small.Resize(Message, 700); err != nil {
		t.Errorf("after the closed one has ended: got %v, want nil", err)
	}
	small.End()
	if got := b.Load(); got.Memory != 0 || got.Closing != 0 || got.Connections[Clients] != 0 {
		t.Errorf("load after the end: got %+v, want none", got)
	}
}

// TestLimitsOfConnections guards against numbers of connections, addresses, customers
// and bytes that are not bounded, or that stay counted after the end of a connection.
func TestLimitsOfConnections(t *testing.T) {
	tests := []struct {
		name   string
		limits Limits
		try    func(b *testBudget) error
		want   error
	}{
		{name: "connections", limits: Limits{Connections: [classes]int{Clients: 1}}, try: func(b *testBudget) error { return b.try("b") }, want: ErrConnections},
		{name: "address", limits: Limits{PerAddress: 1}, try: func(b *testBudget) error { return b.try("a") }, want: ErrAddress},
		{name: "other address", limits: Limits{PerAddress: 1}, try: func(b *testBudget) error { return b.try("b") }},
		{name: "cost", limits: Limits{Memory: 15, ConnectionCost: 10}, try: func(b *testBudget) error { return b.try("b") }, want: ErrMemory},
	}
	for _, test := range tests {
		b := newTestBudget(test.limits)
		first := b.open(t, "a")
		if err := test.try(b); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
		if got, want := len(b.events), boolToInt(test.want != nil); got != want {
			t.Errorf("%s: events: got %d, want %d", test.name, got, want)
		}
		first.End()
		if err := b.try("a"); err != nil {
			t.Errorf("%s: after the first has ended: %v", test.name, err)
		}
	}
	b := newTestBudget(Limits{PerCustomer: 1, ConnectionMemory: 100})
	first, second := b.open(t, "a"), b.open(t, "a")
	for _, err := range []error{first.SetCustomer("c"), second.SetCustomer("d")} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := b.open(t, "a").SetCustomer("c"); !errors.Is(err, ErrCustomer) {
		t.Errorf("customer: got %v, want %v", err, ErrCustomer)
	}
	if err := first.Resize(Session, 101); !errors.Is(err, ErrConnectionMemory) {
		t.Errorf("connection memory: got %v, want %v", err, ErrConnectionMemory)
	}
}

func (b *testBudget) try(address string) error {
	_, err := b.Open(Clients, address, func() {})
	return err
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// TestIdleConnectionsAreReplaced guards against a crowd that only stays connected and
// keeps everyone else out, and against sessions in use that are closed for new ones.
func TestIdleConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(Limits{Connections: [classes]int{Clients: 3}, IdleWhenShort: time.Minute})
		busy, idle := b.open(t, "busy"), b.open(t, "idle")
		idle.Complete()
		b.open(t, "unproven")
		if err := b.try("early"); !errors.Is(err, ErrConnections) {
			t.Errorf("while all were just opened: got %v, want %v", err, ErrConnections)
		}
		time.Sleep(2 * time.Second)
		busy.Complete()
		busy.Begin()
		b.open(t, "second").Complete()
		if want := []string{"unproven"}; !slices.Equal(b.closed, want) {
			t.Errorf("closed: got %q, want %q", b.closed, want)
		}
		if err := b.try("third"); !errors.Is(err, ErrConnections) {
			t.Errorf("while none is idle for long: got %v, want %v", err, ErrConnections)
		}
		time.Sleep(time.Minute)
		b.open(t, "fourth")
		if want := []string{"unproven", "idle"}; !slices.Equal(b.closed, want) {
			t.Errorf("closed: got %q, want %q", b.closed, want)
		}
	})
}

// TestPlan guards against limits that leave no descriptors for databases, or that keep
// out the sessions of the platform: 4,000 in a fleet of three data centres, all those of
// one of them at its smallest host.
func TestPlan(t *testing.T) {
	tests := []struct {
		name        string
		megabytes   int64
		descriptors int
		minClients  int
	}{
		{name: "smallest host", megabytes: 184, descriptors: 4300, minClients: 1334},
		{name: "few descriptors", megabytes: 128, descriptors: 600, minClients: 100},
		{name: "hardly any", megabytes: 64, descriptors: 64, minClients: 1},
	}
	for _, test := range tests {
		limits := Plan(test.megabytes<<20, test.descriptors)
		sum := 0
		for _, count := range limits.Connections {
			if count <= 0 {
				t.Errorf("%s: a class has no connections: %v", test.name, limits.Connections)
			}
			sum += count
		}
		if got, most := sum, max(test.descriptors, fileDescriptors+minConnections)-fileDescriptors; got > most*3/4+1 {
			t.Errorf("%s: connections: got %d, want at most three quarters of %d", test.name, got, most)
		}
		if got := limits.Connections[Clients]; got < test.minClients {
			t.Errorf("%s: clients: got %d, want at least %d", test.name, got, test.minClients)
		}
		if got := int64(test.minClients) * limits.ConnectionCost; got > limits.Memory {
			t.Errorf("%s: %d idle clients take %d bytes, more than the budget of %d", test.name, test.minClients, got, limits.Memory)
		}
	}
	if got := Plan(0, 0); got.Memory != 0 || got.Connections != [classes]int{} {
		t.Errorf("nothing known: got %+v, want no limits", got)
	}
}
