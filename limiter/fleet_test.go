package limiter

import (
	"fmt"
	"testing"
	"time"
)

// Steps of time and the interval between reports in the model.
const (
	modelStep     = 10 * time.Millisecond
	modelInterval = 250 * time.Millisecond
)

// A fleetModel is a number of hosts with one customer whose reports reach the
// others after a delay.
type fleetModel struct {
	now    time.Time
	hosts  int
	fleets []*Fleet
	// life counts the restarts of all hosts.
	life int
	// born is when each host's process started.
	born []time.Time
	// late holds the reports on their way.
	late []lateReport
}

type lateReport struct {
	due      time.Time
	from, to int
	report   HostReport
}

func newFleetModel(hosts int, bound Bound) *fleetModel {
	m := &fleetModel{now: time.Unix(1000, 0), hosts: hosts}
	m.restart(bound)
	return m
}

// restart replaces all hosts by new processes.
func (m *fleetModel) restart(bound Bound) {
	m.fleets, m.late, m.born = nil, nil, nil
	m.life++
	for range m.hosts {
		f := NewFleet(func() time.Time { return m.now })
		f.SetHosts(m.hosts)
		f.SetBounds(map[string]Bound{"customer": bound})
		m.fleets = append(m.fleets, f)
		m.born = append(m.born, m.now)
	}
}

// step moves time on and lets each host that is not cut off report, with delays
// that let a later report overtake an earlier one.
func (m *fleetModel) step(cut map[int]bool) {
	m.now = m.now.Add(modelStep)
	ticks := int(m.now.UnixNano() / int64(modelStep))
	per := int(modelInterval / modelStep)
	for from, f := range m.fleets {
		if (ticks+from)%per != 0 || cut[from] {
			continue
		}
		delay := time.Duration(ticks/per%2) * 400 * time.Millisecond
		for to := range m.fleets {
			if to != from && !cut[to] {
				report := HostReport{Incarnation: fmt.Sprint(m.life), Uptime: m.now.Sub(m.born[from]), Spent: f.Spent()}
				m.late = append(m.late, lateReport{due: m.now.Add(delay), from: from, to: to, report: report})
			}
		}
	}
	kept := m.late[:0]
	for _, l := range m.late {
		if m.now.Before(l.due) {
			kept = append(kept, l)
			continue
		}
		l.report.Heard = m.now
		m.fleets[l.to].Hear(string(rune('a'+l.from)), l.report)
	}
	m.late = kept
}

// TestFleetKeepsBoundUnderHotCustomer guards against admitting more than rate
// and burst over all hosts while one customer sends many times its rate, and
// against refusing it long after it is back below its rate.
func TestFleetKeepsBoundUnderHotCustomer(t *testing.T) {
	const (
		hosts    = 9
		window   = 5 * time.Second
		overage  = 0.1
		slack    = 20
		hotBegin = 3 * time.Second
		hotEnd   = 10 * time.Second
		end      = 20 * time.Second
	)
	tests := []struct {
		name  string
		bound Bound
		// usual and hot are in operations per second over all hosts.
		usual, hot float64
		// killAt is when all hosts are started anew; 0 stands for never.
		killAt time.Duration
	}{
		{name: "large", bound: Bound{Rate: 117, Burst: 117}, usual: 100, hot: 900},
		{name: "small", bound: Bound{Rate: 20, Burst: 20}, usual: 16, hot: 160},
		{name: "large, all hosts killed", bound: Bound{Rate: 190, Burst: 190}, usual: 120, hot: 800, killAt: 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newFleetModel(hosts, test.bound)
			var admitted []int
			refusedAfter, askedAfter := 0, 0
			owed := 0.0
			turn := 0
			for elapsed := time.Duration(0); elapsed < end; elapsed += modelStep {
				m.step(nil)
				if test.killAt > 0 && elapsed == test.killAt {
					m.restart(test.bound)
				}
				rate := test.usual
				if elapsed >= hotBegin && elapsed < hotEnd {
					rate = test.hot
				}
				owed += rate * modelStep.Seconds()
				count := 0
				for ; owed >= 1; owed-- {
					turn++
					ok := admit(m.fleets[turn*turn%hosts])
					if ok {
						count++
					}
					if elapsed > hotEnd+3*time.Second {
						askedAfter++
						if !ok {
							refusedAfter++
						}
					}
				}
				admitted = append(admitted, count)
			}
			limit := (test.bound.Rate*window.Seconds()+test.bound.Burst)*(1+overage) + slack
			if got := maxOverWindow(admitted, int(window/modelStep)); float64(got) > limit {
				t.Errorf("admitted %d in %v, want at most %.0f", got, window, limit)
			}
			if got, want := refusedAfter, askedAfter/20; got > want {
				t.Errorf("refused %d of %d after the rush, want at most %d", got, askedAfter, want)
			}
		})
	}
}

// admit admits an operation and lets a database run it.
func admit(f *Fleet) bool {
	ok, _ := f.Admit("customer")
	if ok {
		f.Use("customer")
	}
	return ok
}

// TestFleetKeepsBoundAfterReturns guards against more operations than the bound
// right after an outage in which admitted ones could not be run: what was given
// back must not hide what is used later.
func TestFleetKeepsBoundAfterReturns(t *testing.T) {
	bound := Bound{Rate: 100, Burst: 100}
	m := newFleetModel(9, bound)
	var used []int
	for i := range 1200 {
		m.step(nil)
		outage := i < 600
		count := 0
		for _, f := range m.fleets {
			ok, _ := f.Admit("customer")
			switch {
			case !ok:
			case outage:
				f.Return("customer")
			default:
				f.Use("customer")
				count++
			}
		}
		used = append(used, count)
	}
	limit := (bound.Rate*5+bound.Burst)*1.1 + 20
	if got := maxOverWindow(used, 500); float64(got) > limit {
		t.Errorf("used %d in 5s, want at most %.0f", got, limit)
	}
}

// TestCustomerThatReturns guards against operations that are deducted twice when
// a host names a customer again after a while without demand.
func TestCustomerThatReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet(func() time.Time { return now })
	f.SetHosts(2)
	f.SetBounds(map[string]Bound{"customer": {Rate: 10, Burst: 10}})
	report := func(used int64, named bool) {
		now = now.Add(time.Second)
		r := HostReport{Incarnation: "1", Uptime: time.Hour, Heard: now, Spent: make(map[string]Spent)}
		if named {
			r.Spent["customer"] = Spent{Used: used, Demand: 1}
		}
		f.Hear("other", r)
	}
	report(500, true)
	report(501, true)
	for range 20 {
		report(0, false)
	}
	report(501, true)
	now = now.Add(time.Second)
	if !admit(f) {
		t.Error("refused though nothing was used for 20s")
	}
}

// TestCustomerThatIsNamedAnew guards against refusing a small customer because
// the host that speaks for all names it for the first time, with all that was
// ever used.
func TestCustomerThatIsNamedAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet(func() time.Time { return now })
	f.SetHosts(88)
	f.SetBounds(map[string]Bound{"customer": {Rate: 6, Burst: 6}})
	report := func(used int64, demand float64) {
		now = now.Add(time.Second)
		r := HostReport{Incarnation: "1", Uptime: time.Hour, Hosts: 87, Heard: now, Spent: make(map[string]Spent)}
		if demand > 0 {
			r.Spent["customer"] = Spent{Used: used, Demand: demand}
		}
		f.Hear("hub/all", r)
	}
	report(0, 0)
	report(900, 3)
	report(903, 3)
	if !admit(f) {
		t.Error("refused when the customer was named first")
	}
	for range 10 {
		report(0, 0)
	}
	report(950, 3)
	report(953, 3)
	if !admit(f) {
		t.Error("refused when the customer was named again")
	}
	report(1053, 3)
	now = now.Add(2 * syncInterval)
	if admit(f) {
		t.Error("admitted though the others have just used more than the burst")
	}
}

// TestOneSpeaksForAll guards against usage that is lost or counted twice on its
// way through the host that speaks for all.
func TestOneSpeaksForAll(t *testing.T) {
	now := time.Unix(1000, 0)
	hub := NewFleet(func() time.Time { return now })
	hub.SetHosts(3)
	hub.SetBounds(map[string]Bound{"customer": {Rate: 10, Burst: 1000}})
	hear := func(host string, used int64) {
		hub.Hear(host, HostReport{Incarnation: "1", Heard: now, Spent: map[string]Spent{"customer": {Used: used, Demand: 2}}})
	}
	hear("a", 5)
	hear("b", 7)
	hear("a", 6)
	hub.Use("customer")
	tests := []struct {
		host string
		want int64
	}{{host: "a", want: 8}, {host: "b", want: 7}}
	for _, test := range tests {
		if got := hub.SpentByOthers(test.host)["customer"].Used; got != test.want {
			t.Errorf("%s is told that others used %d, want %d", test.host, got, test.want)
		}
	}
	if got := hub.SpentByOthers("c"); len(got) != 0 {
		t.Errorf("a host without demand is told %v, want nothing", got)
	}
}

func maxOverWindow(counts []int, window int) int {
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

// TestFleetServesUsualLoad guards against refusing customers that stay below
// their rate but reach hosts unevenly.
func TestFleetServesUsualLoad(t *testing.T) {
	m := newFleetModel(9, Bound{Rate: 20, Burst: 20})
	refused, asked := 0, 0
	owed := 0.0
	for i := range 3000 {
		m.step(nil)
		owed += 0.12
		for ; owed >= 1; owed-- {
			if i < 300 {
				continue
			}
			asked++
			if !admit(m.fleets[i*i%7]) {
				refused++
			}
		}
	}
	if got, want := refused, asked/50; got > want {
		t.Errorf("refused %d of %d, want at most %d", got, asked, want)
	}
}

// TestFleetKeepsBoundWhenCut guards against a host that hears nobody using
// more than its part of the rate.
func TestFleetKeepsBoundWhenCut(t *testing.T) {
	m := newFleetModel(3, Bound{Rate: 30, Burst: 30})
	count := func(d time.Duration, cut map[int]bool) int {
		admitted := 0
		for range int(d / (10 * time.Millisecond)) {
			m.step(cut)
			for _, f := range m.fleets {
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

// TestFleetServesAfterRestart guards against a host that refuses customers
// after its start because it takes all that the others ever admitted as recent.
func TestFleetServesAfterRestart(t *testing.T) {
	m := newFleetModel(9, Bound{Rate: 40, Burst: 40})
	for i := range 1200 {
		m.step(nil)
		if i%4 == 0 {
			admit(m.fleets[i/4%9])
		}
	}
	restarted := NewFleet(func() time.Time { return m.now })
	restarted.SetHosts(9)
	restarted.SetBounds(map[string]Bound{"customer": {Rate: 40, Burst: 40}})
	m.fleets[0], m.born[0] = restarted, m.now
	refused, asked := 0, 0
	for i := range 300 {
		m.step(nil)
		if i >= 150 && i%36 == 0 {
			asked++
			if !admit(restarted) {
				refused++
			}
		}
	}
	if refused > 0 {
		t.Errorf("refused %d of %d from 1.5s after the start, want 0", refused, asked)
	}
}
