package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	hubModelHosts          = 195
	hubModelReportInterval = 180 * time.Millisecond
)

// A hubModel simulates a large fleet with one customer, whose hosts exchange usage with
// a hub that reports to each of them on behalf of all others.
type hubModel struct {
	now      time.Time
	limiters []*FleetLimiter
	// hub is the index of the hub, -1 while there is none.
	hub int
	// nextReport is when each host exchanges with the hub next.
	nextReport []time.Time
	random     *rand.Rand
}

func newHubModel(limit Limit) *hubModel {
	m := &hubModel{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	for range hubModelHosts {
		f := NewFleetLimiter(func() time.Time { return m.now })
		f.SetHosts(hubModelHosts)
		f.SetLimits(map[string]Limit{"customer": limit})
		m.limiters = append(m.limiters, f)
		m.nextReport = append(m.nextReport, m.now.Add(time.Duration(m.random.Int64N(int64(hubModelReportInterval)))))
	}
	return m
}

// setHub replaces the hub. The hosts forget the reports of the former one.
func (m *hubModel) setHub(hub int) {
	m.hub = hub
	if hub < 0 {
		return
	}
	for i, f := range m.limiters {
		f.RetainReports(map[string]bool{m.hubReport(): i != hub})
	}
}

// hubReport returns the name under which the hosts record the reports of the hub.
func (m *hubModel) hubReport() string { return fmt.Sprint("host-", m.hub, "/all") }

// step advances the time by modelStep and makes the exchanges that are due.
func (m *hubModel) step() {
	m.now = m.now.Add(modelStep)
	for i, f := range m.limiters {
		if m.hub < 0 || i == m.hub || m.now.Before(m.nextReport[i]) {
			continue
		}
		m.nextReport[i] = m.now.Add(hubModelReportInterval)
		name, hub := fmt.Sprint("host-", i), m.limiters[m.hub]
		hub.RecordReport(name, HostReport{Incarnation: "1", ReceivedAt: m.now, Uptime: time.Minute, Usage: f.Usage()})
		usage := hub.UsageOfOthers(name)
		f.RecordReport(m.hubReport(), HostReport{Incarnation: "1", ReceivedAt: m.now, Uptime: time.Minute, Hosts: hubModelHosts - 1, Usage: usage})
	}
}

// request requests an operation on one of the hosts, some of which have several times
// the clients of others.
func (m *hubModel) request() bool {
	i := min(m.random.IntN(hubModelHosts), m.random.IntN(hubModelHosts))
	return admit(m.limiters[i])
}

// TestLimitWithoutHub guards against a customer that gets more than its rate and burst
// while the hub of a large fleet is lost and cannot be replaced, because the store is
// down: the hosts then do not learn what others admit. It also guards against
// refusing a customer that stays below its rate.
func TestLimitWithoutHub(t *testing.T) {
	limit := Limit{Rate: 228, Burst: 228}
	const usualRate = 142.0
	tests := []struct {
		name string
		// The customer sends overload times its usual rate from overloadAt on.
		overload   float64
		overloadAt time.Duration
		// The hub is lost at lostAt, and another one takes its place at replacedAt.
		lostAt, replacedAt time.Duration
		maxRefused         float64
	}{
		{name: "hub lost in an overload", overload: 3.3, overloadAt: 6 * time.Second, lostAt: 8 * time.Second, replacedAt: 12 * time.Second, maxRefused: 1},
		{name: "overload without a hub", overload: 3.3, overloadAt: 9 * time.Second, lostAt: 8 * time.Second, replacedAt: 12 * time.Second, maxRefused: 1},
		{name: "overload as the hub is lost", overload: 3.3, overloadAt: 8 * time.Second, lostAt: 8 * time.Second, replacedAt: 12 * time.Second, maxRefused: 1},
		{name: "hub replaced soon", overload: 7.5, overloadAt: 6 * time.Second, lostAt: 8 * time.Second, replacedAt: 10 * time.Second, maxRefused: 1},
		{name: "hub lost soon after an overload began", overload: 7.5, overloadAt: 6 * time.Second, lostAt: 6500 * time.Millisecond, replacedAt: 9500 * time.Millisecond, maxRefused: 1},
		{name: "hub lost later in an overload", overload: 7.5, overloadAt: 6 * time.Second, lostAt: 7 * time.Second, replacedAt: 10 * time.Second, maxRefused: 1},
		{name: "usual rate", overload: 1, lostAt: 8 * time.Second, replacedAt: 12 * time.Second, maxRefused: 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newHubModel(limit)
			var admitted []int
			pending, requested, refused := 0.0, 0, 0
			for elapsed := time.Duration(0); elapsed < 18*time.Second; elapsed += modelStep {
				switch elapsed {
				case test.lostAt:
					m.setHub(-1)
				case test.replacedAt:
					m.setHub(1)
				}
				m.step()
				rate := usualRate
				if elapsed >= test.overloadAt {
					rate *= test.overload
				}
				count := 0
				for pending += rate * modelStep.Seconds(); pending >= 1; pending-- {
					requested++
					if m.request() {
						count++
					} else {
						refused++
					}
				}
				admitted = append(admitted, count)
			}
			most := (limit.Rate*5+limit.Burst)*1.1 + 20
			if got := maxWindowSum(admitted); float64(got) > most {
				t.Errorf("got %d operations in 5 s, want at most %.0f", got, most)
			}
			if got := float64(refused) / float64(requested); got > test.maxRefused {
				t.Errorf("got %.3f of the operations refused, want at most %.2f", got, test.maxRefused)
			}
		})
	}
}
