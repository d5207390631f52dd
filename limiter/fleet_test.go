package limiter

import (
	"fmt"
	"testing"
	"time"
)

// The time step and the interval between reports of the model.
const (
	modelStep           = 10 * time.Millisecond
	modelReportInterval = 250 * time.Millisecond
)

// A fleetModel simulates hosts with one customer, whose reports reach the other
// hosts after a delay.
type fleetModel struct {
	now      time.Time
	hosts    int
	limiters []*FleetLimiter
	// restarts counts how often all hosts were started; it is their incarnation.
	restarts int
	// startedAt is when each host's process started.
	startedAt []time.Time
	// inTransit contains the reports that are not delivered yet.
	inTransit []delayedReport
}

type delayedReport struct {
	deliverAt time.Time
	from, to  int
	report    HostReport
}

func newFleetModel(hosts int, limit Limit) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), hosts: hosts}
	m.restart(limit)
	return m
}

// restart replaces the processes of all hosts by new ones.
func (m *fleetModel) restart(limit Limit) {
	m.limiters, m.inTransit, m.startedAt = nil, nil, nil
	m.restarts++
	for range m.hosts {
		f := NewFleetLimiter(func() time.Time { return m.now })
		f.SetHosts(m.hosts)
		f.SetLimits(map[string]Limit{"customer": limit})
		m.limiters = append(m.limiters, f)
		m.startedAt = append(m.startedAt, m.now)
	}
}

// step advances the time by modelStep and sends the reports of all hosts that are
// not partitioned, with delays that make some reports arrive after later ones.
func (m *fleetModel) step(partitioned map[int]bool) {
	m.now = m.now.Add(modelStep)
	ticks := int(m.now.UnixNano() / int64(modelStep))
	ticksPerReport := int(modelReportInterval / modelStep)
	for from, f := range m.limiters {
		if (ticks+from)%ticksPerReport != 0 || partitioned[from] {
			continue
		}
		delay := time.Duration(ticks/ticksPerReport%2) * 400 * time.Millisecond
		for to := range m.limiters {
			if to != from && !partitioned[to] {
				report := HostReport{Incarnation: fmt.Sprint(m.restarts), Uptime: m.now.Sub(m.startedAt[from]), Usage: f.Usage()}
				m.inTransit = append(m.inTransit, delayedReport{deliverAt: m.now.Add(delay), from: from, to: to, report: report})
			}
		}
	}
	undelivered := m.inTransit[:0]
	for _, r := range m.inTransit {
		if m.now.Before(r.deliverAt) {
			undelivered = append(undelivered, r)
			continue
		}
		r.report.ReceivedAt = m.now
		m.limiters[r.to].RecordReport(string(rune('a'+r.from)), r.report)
	}
	m.inTransit = undelivered
}

// TestFleetKeepsLimitUnderOverload guards against admitting more than rate and
// burst across all hosts while a customer sends many times its rate, and against
// refusing it long after it is back below its rate.
func TestFleetKeepsLimitUnderOverload(t *testing.T) {
	const (
		hosts         = 9
		window        = quotaWindow
		overage       = 0.1
		slack         = 20
		overloadStart = 3 * time.Second
		overloadEnd   = 10 * time.Second
		end           = 20 * time.Second
	)
	tests := []struct {
		name  string
		limit Limit
		// normalRate and overloadRate are in operations per second over all hosts.
		normalRate, overloadRate float64
		// restartAt is when all hosts are restarted; 0 means never.
		restartAt time.Duration
	}{
		{name: "large", limit: Limit{Rate: 117, Burst: 117}, normalRate: 100, overloadRate: 900},
		{name: "small", limit: Limit{Rate: 20, Burst: 20}, normalRate: 16, overloadRate: 160},
		{name: "large, all hosts killed", limit: Limit{Rate: 190, Burst: 190}, normalRate: 120, overloadRate: 800, restartAt: 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newFleetModel(hosts, test.limit)
			var admitted []int
			refusedAfter, attemptedAfter := 0, 0
			pending := 0.0
			sequence := 0
			for elapsed := time.Duration(0); elapsed < end; elapsed += modelStep {
				m.step(nil)
				if test.restartAt > 0 && elapsed == test.restartAt {
					m.restart(test.limit)
				}
				rate := test.normalRate
				if elapsed >= overloadStart && elapsed < overloadEnd {
					rate = test.overloadRate
				}
				pending += rate * modelStep.Seconds()
				count := 0
				for ; pending >= 1; pending-- {
					sequence++
					allowed := admit(m.limiters[sequence*sequence%hosts])
					if allowed {
						count++
					}
					if elapsed > overloadEnd+3*time.Second {
						attemptedAfter++
						if !allowed {
							refusedAfter++
						}
					}
				}
				admitted = append(admitted, count)
			}
			maxAdmitted := (test.limit.Rate*window.Seconds()+test.limit.Burst)*(1+overage) + slack
			if got := maxWindowSum(admitted); float64(got) > maxAdmitted {
				t.Errorf("admitted %d in %v, want at most %.0f", got, window, maxAdmitted)
			}
			if got, want := refusedAfter, attemptedAfter/20; got > want {
				t.Errorf("refused %d of %d after the overload, want at most %d", got, attemptedAfter, want)
			}
		})
	}
}

// admit requests an operation and, if it is admitted, counts it as run.
func admit(f *FleetLimiter) bool {
	admitted, _ := f.Admit("customer")
	if admitted {
		f.RecordUse("customer")
	}
	return admitted
}

// TestFleetKeepsLimitAfterRefunds guards against exceeding the limit right after
// an outage in which admitted operations could not be run: the refunded tokens
// must not offset operations that are run later.
func TestFleetKeepsLimitAfterRefunds(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	m := newFleetModel(9, limit)
	var used []int
	for i := range 1200 {
		m.step(nil)
		outage := i < 600
		count := 0
		for _, f := range m.limiters {
			admitted, _ := f.Admit("customer")
			switch {
			case !admitted:
			case outage:
				f.Refund("customer")
			default:
				f.RecordUse("customer")
				count++
			}
		}
		used = append(used, count)
	}
	maxUsed := (limit.Rate*5+limit.Burst)*1.1 + 20
	if got := maxWindowSum(used); float64(got) > maxUsed {
		t.Errorf("used %d in 5s, want at most %.0f", got, maxUsed)
	}
}

// TestUsageOfCustomerListedAgain guards against deducting operations twice when a
// host lists a customer again after a time without demand.
func TestUsageOfCustomerListedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleetLimiter(func() time.Time { return now })
	f.SetHosts(2)
	f.SetLimits(map[string]Limit{"customer": {Rate: 10, Burst: 10}})
	report := func(used int64, listed bool) {
		now = now.Add(time.Second)
		r := HostReport{Incarnation: "1", Uptime: time.Hour, ReceivedAt: now, Usage: make(map[string]Usage)}
		if listed {
			r.Usage["customer"] = Usage{Used: used, Demand: 1}
		}
		f.RecordReport("other", r)
	}
	report(500, true)
	report(501, true)
	for range 20 {
		report(0, false)
	}
	report(501, true)
	now = now.Add(time.Second)
	if !admit(f) {
		t.Error("refused although no operation was run for 20s")
	}
}

// TestHubListsCustomer guards against refusing a customer with a low rate when the
// hub, which reports for all other hosts, lists it for the first time or again:
// the count then includes all operations since the hosts started.
func TestHubListsCustomer(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleetLimiter(func() time.Time { return now })
	f.SetHosts(88)
	f.SetLimits(map[string]Limit{"customer": {Rate: 6, Burst: 6}})
	report := func(used int64, demand float64) {
		now = now.Add(time.Second)
		r := HostReport{Incarnation: "1", Uptime: time.Hour, Hosts: 87, ReceivedAt: now, Usage: make(map[string]Usage)}
		if demand > 0 {
			r.Usage["customer"] = Usage{Used: used, Demand: demand}
		}
		f.RecordReport("hub/all", r)
	}
	report(0, 0)
	report(900, 3)
	report(903, 3)
	if !admit(f) {
		t.Error("refused when the hub listed the customer for the first time")
	}
	for range 10 {
		report(0, 0)
	}
	report(950, 3)
	report(953, 3)
	if !admit(f) {
		t.Error("refused when the hub listed the customer again")
	}
	report(1053, 3)
	now = now.Add(2 * syncInterval)
	if admit(f) {
		t.Error("admitted although the other hosts have just used more than the burst")
	}
}

// TestUsageForwardedByHub guards against usage that the hub loses or counts twice
// when it reports the usage of all other hosts to a host.
func TestUsageForwardedByHub(t *testing.T) {
	now := time.Unix(1000, 0)
	hub := NewFleetLimiter(func() time.Time { return now })
	hub.SetHosts(3)
	hub.SetLimits(map[string]Limit{"customer": {Rate: 10, Burst: 1000}})
	report := func(host string, used int64) {
		hub.RecordReport(host, HostReport{Incarnation: "1", ReceivedAt: now, Usage: map[string]Usage{"customer": {Used: used, Demand: 2}}})
	}
	report("a", 5)
	report("b", 7)
	report("a", 6)
	hub.RecordUse("customer")
	tests := []struct {
		host string
		want int64
	}{{host: "a", want: 8}, {host: "b", want: 7}}
	for _, test := range tests {
		if got := hub.UsageOfOthers(test.host)["customer"].Used; got != test.want {
			t.Errorf("usage of other hosts reported to %s: got %d, want %d", test.host, got, test.want)
		}
	}
	if got := hub.UsageOfOthers("c"); len(got) != 0 {
		t.Errorf("usage reported to a host without demand: got %v, want none", got)
	}
}

// quotaWindow is the time in which a customer may use no more than its limit, with some
// overage.
const quotaWindow = 5 * time.Second

// maxWindowSum returns the largest sum of the counts in a window, where each count is that
// of one step of a model.
func maxWindowSum(counts []int) int {
	const window = int(quotaWindow / modelStep)
	most, sum := 0, 0
	for i, c := range counts {
		sum += c
		if i >= window {
			sum -= counts[i-window]
		}
		most = max(most, sum)
	}
	return most
}

// TestFleetAdmitsUnevenLoad guards against refusing customers that stay below
// their rate but send their operations unevenly to the hosts.
func TestFleetAdmitsUnevenLoad(t *testing.T) {
	m := newFleetModel(9, Limit{Rate: 20, Burst: 20})
	refused, attempted := 0, 0
	pending := 0.0
	for i := range 3000 {
		m.step(nil)
		pending += 0.12
		for ; pending >= 1; pending-- {
			if i < 300 {
				continue
			}
			attempted++
			if !admit(m.limiters[i*i%7]) {
				refused++
			}
		}
	}
	if got, want := refused, attempted/50; got > want {
		t.Errorf("refused %d of %d, want at most %d", got, attempted, want)
	}
}

// TestFleetAdmitsOnHostsWithLittleDemand guards against refusing a customer for as
// long as it overloads one host on all other hosts, whose budget in an interval is
// below one operation, and against exceeding the limit by what these hosts admit.
func TestFleetAdmitsOnHostsWithLittleDemand(t *testing.T) {
	const (
		hosts    = 9
		overload = 8
		// littleDemand is the demand of all other hosts as a fraction of the rate.
		littleDemand = 0.3
	)
	tests := []struct {
		limit Limit
		// minShare is the fraction of the little demand to admit.
		minShare float64
	}{
		{limit: Limit{Rate: 6, Burst: 6}, minShare: 0.2},
		{limit: Limit{Rate: 6, Burst: 60}, minShare: 0.2},
		{limit: Limit{Rate: 20, Burst: 20}, minShare: 0.2},
		{limit: Limit{Rate: 117, Burst: 117}, minShare: 0.2},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.limit), func(t *testing.T) {
			m := newFleetModel(hosts, test.limit)
			var admitted []int
			var heavy, light float64
			attemptedLight, admittedLight := 0, 0
			for range 2500 {
				m.step(nil)
				count := 0
				for heavy += test.limit.Rate * overload * modelStep.Seconds(); heavy >= 1; heavy-- {
					if admit(m.limiters[0]) {
						count++
					}
				}
				for light += test.limit.Rate * littleDemand * modelStep.Seconds(); light >= 1; light-- {
					attemptedLight++
					if admit(m.limiters[1+attemptedLight%(hosts-1)]) {
						admittedLight++
						count++
					}
				}
				admitted = append(admitted, count)
			}
			if got, want := float64(admittedLight), test.minShare*float64(attemptedLight); got < want {
				t.Errorf("admitted %.0f of %d on the hosts with little demand, want at least %.0f", got, attemptedLight, want)
			}
			maxAdmitted := test.limit.Rate*5 + test.limit.Burst
			if got := maxWindowSum(admitted); float64(got) > maxAdmitted {
				t.Errorf("admitted %d in 5s, want at most %.0f", got, maxAdmitted)
			}
		})
	}
}

// TestFleetKeepsLimitWhenPartitioned guards against a partitioned host, which
// receives no reports, that uses more than its share of the rate.
func TestFleetKeepsLimitWhenPartitioned(t *testing.T) {
	m := newFleetModel(3, Limit{Rate: 30, Burst: 30})
	count := func(d time.Duration, partitioned map[int]bool) int {
		admitted := 0
		for range int(d / (10 * time.Millisecond)) {
			m.step(partitioned)
			for _, f := range m.limiters {
				if admit(f) {
					admitted++
				}
			}
		}
		return admitted
	}
	count(6*time.Second, nil)
	got := count(5*time.Second, map[int]bool{0: true})
	if limit := int((30*5+30)*1.1 + 20); got > limit {
		t.Errorf("admitted %d in 5s, want at most %d", got, limit)
	}
}

// TestFleetAdmitsAfterRestart guards against a host that refuses customers after
// its start because it counts all operations that the others ever admitted as
// recent.
func TestFleetAdmitsAfterRestart(t *testing.T) {
	m := newFleetModel(9, Limit{Rate: 40, Burst: 40})
	for i := range 1200 {
		m.step(nil)
		if i%4 == 0 {
			admit(m.limiters[i/4%9])
		}
	}
	restarted := NewFleetLimiter(func() time.Time { return m.now })
	restarted.SetHosts(9)
	restarted.SetLimits(map[string]Limit{"customer": {Rate: 40, Burst: 40}})
	m.limiters[0], m.startedAt[0] = restarted, m.now
	refused, attempted := 0, 0
	for i := range 300 {
		m.step(nil)
		if i >= 150 && i%36 == 0 {
			attempted++
			if !admit(restarted) {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("refused %d of %d from 1.5s after the start, want 0", refused, attempted)
	}
}
