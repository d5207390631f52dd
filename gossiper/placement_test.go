package gossiper

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a claim of an old holder that wins, and against one of a host
// that is gone and counts as live.
func TestClaims(t *testing.T) {
	first := Claim{Service: "s", Host: hostName(1), Incarnation: 1, Term: 3}
	withdrawn := first
	withdrawn.Withdrawn = true
	second := Claim{Service: "s", Host: hostName(2), Incarnation: 1, Term: 4}
	start := time.Now()
	tests := []struct {
		name   string
		claims []Claim
		host   Host
		want   ClaimView
	}{
		{"one claim", []Claim{first}, Host{}, ClaimView{Claim: first, Live: true, Address: hostName(1)}},
		{"higher term", []Claim{first, second}, Host{}, ClaimView{Claim: second, Live: true, Address: hostName(2)}},
		{"lower term later", []Claim{second, first}, Host{}, ClaimView{Claim: second, Live: true, Address: hostName(2)}},
		{"withdrawn", []Claim{first, withdrawn}, Host{}, ClaimView{Claim: withdrawn, Address: hostName(1)}},
		{"withdrawn, heard late", []Claim{withdrawn, first}, Host{}, ClaimView{Claim: withdrawn, Address: hostName(1)}},
		{"withdrawal of an old claim", []Claim{second, withdrawn}, Host{}, ClaimView{Claim: second, Live: true, Address: hostName(2)}},
		{
			"holder suspected",
			[]Claim{first},
			Host{Name: hostName(1), PeerAddress: hostName(1), Incarnation: 1, State: Suspect},
			ClaimView{Claim: first, Live: true, Address: hostName(1)},
		},
		{
			"holder failed",
			[]Claim{first},
			Host{Name: hostName(1), PeerAddress: hostName(1), Incarnation: 1, State: Failed},
			ClaimView{Claim: first, Address: hostName(1)},
		},
		{
			"holder restarted",
			[]Claim{first},
			Host{Name: hostName(1), PeerAddress: hostName(1), Incarnation: 2},
			ClaimView{Claim: first, Address: hostName(1)},
		},
		{"holder unknown", []Claim{{Service: "s", Host: "x", Term: 1}}, Host{}, ClaimView{Claim: Claim{Service: "s", Host: "x", Term: 1}}},
	}
	for _, test := range tests {
		c := testCore(start, 3)
		for _, claim := range test.claims {
			c.mergeClaim(claim, start)
		}
		c.merge(test.host, start, hostName(3))
		if got := c.View(start, nil).Claims["s"]; got != test.want {
			t.Errorf("%s:\ngot  %+v\nwant %+v", test.name, got, test.want)
		}
	}
}

// Guards against a withdrawal that takes away the claim of the next holder.
func TestWithdraw(t *testing.T) {
	start := time.Now()
	c := testCore(start, 3)
	c.Claim(start, "s", 3)
	c.Withdraw(start, "s")
	if got := c.View(start, nil).Claims["s"]; !got.Withdrawn || got.Live {
		t.Errorf("own claim: got %+v", got)
	}
	c.mergeClaim(Claim{Service: "s", Host: hostName(1), Incarnation: 1, Term: 4}, start)
	c.Withdraw(start, "s")
	if got := c.View(start, nil).Claims["s"]; got.Withdrawn || !got.Live {
		t.Errorf("claim of another host: got %+v", got)
	}
}

// Guards against a host that was restarted with its clock set back and is taken
// for its dead predecessor for ever.
func TestPredecessorFromTheFuture(t *testing.T) {
	start := time.Now()
	c := testCore(start, 3)
	c.Claim(start, "s", 3)
	dead := c.Self
	dead.Incarnation, dead.State = 99, Failed
	c.merge(dead, start, hostName(1))
	if got := c.Self.Incarnation; got != 100 {
		t.Errorf("incarnation: got %d want 100", got)
	}
	if got := c.View(start, nil).Claims["s"]; !got.Live || got.Incarnation != 100 {
		t.Errorf("claim: got %+v", got)
	}
	living := c.Self
	living.Incarnation, living.State = 200, Alive
	c.merge(living, start, hostName(1))
	if got := c.Self.Incarnation; got != 100 {
		t.Errorf("incarnation next to a living host of the same name: got %d want 100", got)
	}
}

// Guards against services placed on hosts that cannot serve them, and against a
// service that nobody tries to hold.
func TestRanking(t *testing.T) {
	start := time.Now()
	later := start.Add(eligibilityDelay)
	at := func(i int, state State) Host {
		return Host{Name: hostName(i), DataCentre: "dc0", Incarnation: 1, Version: 1, State: state}
	}
	unable := func(i int, remaining time.Duration, sequence uint64) Unable {
		return Unable{Service: "s", Host: hostName(i), Incarnation: 1, Sequence: sequence, Remaining: remaining}
	}
	tests := []struct {
		name string
		act  func(c *Core)
		out  func(host, dataCentre string) bool
		at   time.Time
		want []int
	}{
		{"just started", func(*Core) {}, nil, start, nil},
		{"after the delay", func(*Core) {}, nil, later, []int{0, 1, 2, 3}},
		{"one suspected", func(c *Core) { c.merge(at(1, Suspect), later, hostName(2)) }, nil, later, []int{0, 1, 2, 3}},
		{"one failed", func(c *Core) { c.merge(at(1, Failed), later, hostName(2)) }, nil, later, []int{0, 2, 3}},
		{"one leaving", func(c *Core) { c.merge(at(1, Leaving), later, hostName(2)) }, nil, later, []int{0, 2, 3}},
		{"one taken out", func(*Core) {}, func(host, _ string) bool { return host == hostName(3) }, later, []int{0, 1, 2}},
		{"data centre taken out", func(*Core) {}, func(_, dc string) bool { return dc == "dc0" }, later, nil},
		{"one unable", func(c *Core) { c.mergeUnable(unable(2, time.Second, 1), later) }, nil, later, []int{0, 1, 3}},
		{"this host unable", func(c *Core) { c.SetUnable(later, "s", true) }, nil, later, []int{1, 2, 3}},
		{"able again", func(c *Core) {
			c.mergeUnable(unable(2, time.Second, 1), later)
			c.mergeUnable(unable(2, 0, 2), later)
			c.mergeUnable(unable(2, time.Second, 1), later)
		}, nil, later, []int{0, 1, 2, 3}},
		{"unable long ago", func(c *Core) {
			c.mergeUnable(unable(2, time.Hour, 1), later)
			c.Tick(later.Add(unableFor))
		}, nil, later.Add(unableFor), []int{0, 1, 2, 3}},
		{"all unable", func(c *Core) {
			c.SetUnable(later, "s", true)
			for i := 1; i <= 3; i++ {
				c.mergeUnable(unable(i, time.Second, 1), later)
			}
		}, nil, later, []int{0, 1, 2, 3}},
	}
	for _, test := range tests {
		c := testCore(start, 3)
		if test.at.After(start) {
			c.checkEligibility(later)
		}
		test.act(c)
		got := c.View(test.at, test.out).Ranking("s")
		slices.Sort(got)
		var want []string
		for _, i := range test.want {
			want = append(want, hostName(i))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got %v want %v", test.name, got, want)
		}
	}
}

// Guards against services that move between hosts that stay, and against hosts
// that get most of the services.
func TestRankingMovesLittle(t *testing.T) {
	start := time.Now()
	c := testCore(start, 8)
	c.checkEligibility(start.Add(eligibilityDelay))
	before := c.View(start, nil)
	without := c.View(start, func(host, _ string) bool { return host == hostName(4) })
	count := make(map[string]int)
	for i := range 900 {
		service := fmt.Sprintf("service-%d", i)
		winner := before.Winner(service)
		count[winner]++
		ranking := slices.DeleteFunc(before.Ranking(service), func(h string) bool { return h == hostName(4) })
		if !slices.Equal(without.Ranking(service), ranking) {
			t.Errorf("%s: ranking of the others changed", service)
		}
	}
	for i := range 9 {
		if got := count[hostName(i)]; got < 60 || got > 140 {
			t.Errorf("%s wins %d of 900 services, want about 100", hostName(i), got)
		}
	}
}

// Guards against a data centre in which nobody, or everybody, watches the store.
func TestWatchers(t *testing.T) {
	s := newSimulation(40)
	watchers := make(map[string]int)
	for _, c := range s.cores {
		if c.View(s.now, func(string, string) bool { return true }).WatchesStore() {
			watchers[c.Self.DataCentre]++
		}
	}
	for i := range 8 {
		if got, want := watchers[fmt.Sprintf("dc%d", i)], watchersPerDataCentre; got != want {
			t.Errorf("dc%d: got %d watchers want %d", i, got, want)
		}
	}
}
