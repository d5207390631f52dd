package accountant

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// sharedLoss is the time after the end of a window in which a kill of all hosts may lose
// requests of that window and of the next one: the hosts' interval of reports and that of
// checkpoints.
const sharedLoss = 180*time.Millisecond + boundaryInterval

// TestKillOfAllHosts guards against more than one window that is missing or wrong after a kill
// of all hosts at any later time in a window, also while a host that hangs keeps windows open,
// and against reports that are later than the restart, the leadership and the gap require.
func TestKillOfAllHosts(t *testing.T) {
	for _, hanging := range []int{0, 1} {
		for _, outage := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprintf("%d hosts hang, outage of %v", hanging, outage), func(t *testing.T) {
				t.Parallel()
				for after := sharedLoss; after < testSchedule.Window; after += 420 * time.Millisecond {
					m := newModel(t, uint64(after/time.Millisecond), 20, false)
					m.run(22 * time.Second)
					hang := func() {
						for _, h := range m.hosts[:hanging] {
							h.suspendedUntil = m.now.Add(time.Hour)
						}
					}
					hang()
					m.run(8*time.Second + after)
					killed := m.trueTime()
					m.killAll(outage)
					hang()
					m.run(35 * time.Second)
					ready := killed.Add(max(outage, modelLease) + modelLease + modelGap + time.Second)
					if bad := m.badWindows(killed, ready); len(bad) > 1 {
						t.Errorf("killed %v after the start of a window: got windows %v missing or wrong, want at most one", after, bad)
					}
				}
			})
		}
	}
}

// badWindows returns the windows around a kill whose report is missing, is late although it was
// due when the restarted fleet was ready to report, or has a count that is wrong by more than
// the tolerance.
func (m *model) badWindows(killed, ready time.Time) []string {
	var bad []string
	present := testSchedule.Number(killed)
	for number := present - 3; testSchedule.End(number).Add(testSchedule.Due).Before(m.trueTime()); number++ {
		due := testSchedule.End(number).Add(testSchedule.Due)
		problem := ""
		for customer, want := range m.sent[number] {
			if got := m.received[number][customer]; math.Abs(float64(got-want)) > 0.05*float64(want) {
				problem = fmt.Sprintf("%d of %d", got, want)
			}
		}
		if late := m.receivedAt[number].Sub(due); late > 0 && due.After(ready) {
			problem = fmt.Sprint("late by ", late)
		}
		if m.received[number] == nil {
			problem = "missing"
		}
		if problem != "" {
			bad = append(bad, fmt.Sprintf("%+d: %s", number-present, problem))
		}
	}
	return bad
}

// TestOldCheckpoint guards against a second, different report after the store came back from an
// older copy, with an older checkpoint, while all hosts were down, and against windows that are
// missing or wrong for longer than the rule for a restored store requires. The model checks
// the reports, also while the clocks of a minority are wrong and no host knows it at the start.
func TestOldCheckpoint(t *testing.T) {
	for _, skew := range []time.Duration{0, -6 * time.Second, 6 * time.Second} {
		for after := time.Duration(0); after < testSchedule.Window; after += 700 * time.Millisecond {
			m := newModel(t, uint64(after/time.Millisecond), 20, false)
			m.run(23*time.Second + after)
			m.copyStore()
			m.run(7 * time.Second)
			killed := m.trueTime()
			m.killAll(time.Second)
			m.restoreStore()
			for _, h := range m.hosts[:9] {
				h.skew = skew
			}
			m.run(40 * time.Second)
			// The windows that ended before the start of the hosts and 2 s for clocks may have been reported.
			allowed := int(testSchedule.Number(killed.Add(time.Second+eraClockMargin))-testSchedule.Number(killed.Add(-time.Second))) + 1
			// Hosts with wrong clocks count in other windows until they know the fleet's time.
			if bad := m.badWindows(killed, killed); len(bad) > allowed && skew == 0 {
				t.Errorf("killed %v after the start of a window: got windows %v missing or wrong, want at most %d", after, bad, allowed)
			}
		}
	}
}
