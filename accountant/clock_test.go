package accountant

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestClock guards against requests that are counted in a wrong window: a clock that is wrong
// or jumps, alone or in a fleet, and reports that are late.
func TestClock(t *testing.T) {
	tests := []struct {
		name string
		// ownSkew is the error of the host's own clock at first, jump what it changes by
		// later; others are the errors of the other clocks.
		ownSkew, jump time.Duration
		others        []time.Duration
		// hub is the error of the hub's time, if there is a hub.
		hub    time.Duration
		hasHub bool
		// delay is that of the reports of the others, known if they are replies.
		delay time.Duration
		want  time.Duration
	}{
		{name: "alone"},
		{name: "alone, own clock jumps", jump: 4 * time.Second},
		{name: "own clock is wrong", ownSkew: 3 * time.Second, others: []time.Duration{0, 0, 0}},
		{name: "own clock jumps", jump: -4 * time.Second, others: []time.Duration{0, 0, 0}},
		{name: "another clock is wrong", others: []time.Duration{time.Hour, 0, 0}},
		{name: "clocks differ slightly", ownSkew: 20 * time.Millisecond, others: []time.Duration{0, 0, 0}, want: 20 * time.Millisecond},
		{name: "hub corrects the own clock", ownSkew: 3 * time.Second, hasHub: true},
		{name: "hub corrects a jump", jump: 3 * time.Second, hasHub: true},
		{name: "late reports of the hub", hasHub: true, delay: 700 * time.Millisecond},
		{name: "two clocks", ownSkew: time.Second, others: []time.Duration{0}, want: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				skew := test.ownSkew
				boot := time.Now()
				c := &Clock{
					Now:       func() time.Time { return time.Unix(0, int64(time.Since(boot))) },
					WallClock: func() time.Time { return time.Now().Add(skew) }, Agreement: 125 * time.Millisecond,
				}
				c.Time()
				for i := range 100 {
					if i == 50 {
						skew += test.jump
					}
					sent := c.Now()
					then := time.Now()
					time.Sleep(test.delay)
					for j, other := range test.others {
						c.Record(string(rune('a'+j)), then.Add(other), then.Add(other), sent, false)
					}
					if test.hasHub {
						c.Record("hub", then.Add(test.hub), then.Add(test.hub), sent, true)
					}
					time.Sleep(180 * time.Millisecond)
					if i < 2 || i == 50 {
						continue
					}
					if got := time.Until(c.Time()); got != test.want {
						t.Fatalf("exchange %d: got a time that is %v ahead, want %v", i, got, test.want)
					}
				}
			})
		})
	}
}
