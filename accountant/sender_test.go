package accountant

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/endiveturn/endiveturn/storer"
)

// TestFailures guards against windows that are not reported, late or wrong because of one
// failure, in a fleet that is healthy otherwise. The model checks what must never happen.
func TestFailures(t *testing.T) {
	tests := []struct {
		name string
		// after is the time after the end of a window at which the failure happens.
		after time.Duration
		fail  func(m *model)
		// late is set if windows are late, missed is how many may be missing.
		late   bool
		missed int
	}{
		{name: "none", fail: func(*model) {}},
		{name: "host dies within a window", after: 2 * time.Second, fail: func(m *model) { m.restart(m.other()) }},
		{name: "link of a host to the leader is down", after: -time.Second, fail: func(m *model) { m.other().hostsCutUntil = m.now.Add(6 * time.Second) }},
		{name: "leader dies before the record", fail: func(m *model) { m.restart(m.leader) }},
		{name: "leader dies within a window", after: 2 * time.Second, fail: func(m *model) { m.restart(m.leader) }},
		{name: "leader dies after the record", after: 600 * time.Millisecond, fail: func(m *model) {
			m.calls = nil
			m.restart(m.leader)
		}},
		{name: "leader is suspended", fail: func(m *model) { m.leader.suspendedUntil = m.now.Add(4 * time.Second) }},
		{name: "leader is cut off from the store", fail: func(m *model) { m.leader.storeCutUntil = m.now.Add(8 * time.Second) }},
		{name: "responses are lost", after: -time.Second, fail: func(m *model) { m.lostResponses = 4 }},
		{name: "clock of the leader jumps", fail: func(m *model) { m.leader.skew += 6 * time.Second }},
		{name: "clock of a host jumps back", fail: func(m *model) { m.other().skew -= 6 * time.Second }},
		{name: "store is down", fail: func(m *model) { m.storeDown = m.now.Add(30 * time.Second) }, late: true},
		{name: "store is restored", fail: func(m *model) { m.restoreStore() }, missed: 1},
		{name: "store is restored while the leader dies", fail: func(m *model) {
			m.restart(m.leader)
			m.restoreStore()
		}, missed: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(t, 3, 20, false)
			m.run(30 * time.Second)
			m.copyStore()
			schedule := m.hosts[0].sender.Schedule
			m.run(20*time.Second + test.after)
			test.fail(m)
			m.run(70 * time.Second)
			missed := 0
			first := schedule.Number(m.trueTime().Add(-100 * time.Second))
			for number := first; schedule.End(number).Add(schedule.Due).Before(m.trueTime()); number++ {
				if _, ok := m.received[number]; !ok {
					missed++
					continue
				}
				if late := m.receivedAt[number].Sub(schedule.End(number)) - schedule.Due; late > 0 && !test.late {
					t.Errorf("window %d is late by %v", number, late)
				}
				for customer, want := range m.sent[number] {
					if got := m.received[number][customer]; math.Abs(float64(got-want)) > 0.05*float64(want) {
						t.Errorf("window %d, %s: got %d, want %d", number, customer, got, want)
					}
				}
			}
			if missed > test.missed {
				t.Errorf("got %d windows missed, want at most %d", missed, test.missed)
			}
		})
	}
}

// TestTransfers guards against windows that are missed, late or wrong because the leader
// transfers its leadership: it does so as often as its reports allow.
func TestTransfers(t *testing.T) {
	m := newModel(t, 3, 20, false)
	m.run(10 * time.Second)
	schedule := m.hosts[0].sender.Schedule
	first, transfers := schedule.Number(m.trueTime())+1, 0
	for end := m.now.Add(5 * time.Minute); m.now.Before(end); m.step() {
		settled := m.now.Sub(m.leader.leadership.Since) >= 3*time.Second
		if !settled || !m.leader.sender.MayTransfer() {
			continue
		}
		next := m.hosts[transfers%len(m.hosts)]
		if next == m.leader {
			next = m.other()
		}
		m.leader.leadership.Token = 0
		m.acquire(next)
		transfers++
	}
	windows := int64(0)
	for number := first; schedule.End(number).Add(schedule.Due).Before(m.trueTime()); number++ {
		windows++
		if _, ok := m.received[number]; !ok {
			t.Errorf("window %d was missed", number)
		}
		if late := m.receivedAt[number].Sub(schedule.End(number)) - schedule.Due; late > 0 {
			t.Errorf("window %d is late by %v", number, late)
		}
		for customer, want := range m.sent[number] {
			if got := m.received[number][customer]; got != want {
				t.Errorf("window %d, %s: got %d, want %d", number, customer, got, want)
			}
		}
	}
	if int64(transfers) < windows/2 {
		t.Errorf("got %d transfers in %d windows, want one in every other window at least", transfers, windows)
	}
}

// run runs the model for some time.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

// other returns a host that is neither the leader nor a standby.
func (m *model) other() *modelHost {
	for _, h := range m.hosts[2:] {
		if h != m.leader {
			return h
		}
	}
	return nil
}

// TestUnknownRecord guards against a second count of windows that a former leader may have
// reported, when the record is missing, can't be read, or is of an earlier era.
func TestUnknownRecord(t *testing.T) {
	present := EncodeRecord(Record{Token: 5, Era: 1, Next: 7})
	tests := []struct {
		name string
		// value is the record in the store, mirror the one that the host knows of.
		value, mirror []byte
		era           int64
		// want is when the first window that may be counted ends at the earliest, as the
		// time before now; 0 if that follows from the record.
		want time.Duration
	}{
		{name: "missing", era: 1, want: -eraClockMargin},
		{name: "malformed", value: []byte("{"), mirror: []byte("{"), era: 1, want: -eraClockMargin},
		{name: "malformed, another one was known", value: []byte("{"), mirror: present, era: 1, want: -eraClockMargin},
		{name: "deleted, another one was known", mirror: present, era: 1, want: -eraClockMargin},
		{name: "earlier era", value: present, mirror: present, era: 2, want: time.Minute - eraClockMargin},
		{name: "known", value: present, mirror: present, era: 1},
		{name: "mirror is behind", value: present, era: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(t, 1, 1, false)
			h := m.hosts[0]
			m.era, h.era, m.value, h.value = test.era, test.era, test.value, test.mirror
			if test.value != nil {
				m.revision = storer.JoinRevision(test.era, 9)
			}
			if test.mirror != nil {
				h.revision = storer.JoinRevision(1, 8)
			}
			h.leadership = Leadership{Token: storer.JoinRevision(test.era, 10), Since: m.now, Until: m.now.Add(time.Second), EraSince: m.now.Add(-time.Minute)}
			for range 3 {
				h.sender.RecordStep(t.Context())
			}
			record, err := DecodeRecord(m.value)
			if err != nil {
				t.Fatal(err)
			}
			schedule := h.sender.Schedule
			earliest := schedule.Number(m.trueTime()) - keptWindows + 1
			if test.want != 0 {
				earliest = schedule.Number(m.trueTime().Add(-test.want))
			}
			if record.Token != h.leadership.Token || record.Next < earliest {
				t.Errorf("got a record of token %d from window %d on, want token %d and at least %d", record.Token, record.Next, h.leadership.Token, earliest)
			}
		})
	}
}

// TestCalls guards against calls that are sent before the gap has passed or after the
// leadership may have ended, that exceed the limit of the platform, or that never end.
func TestCalls(t *testing.T) {
	m := newModel(t, 1, 1, false)
	h := m.hosts[0]
	calls, last := 0, m.now
	h.sender.Send = func(ctx context.Context, report Report) error {
		calls++
		last = m.now
		deadline, ok := ctx.Deadline()
		if !ok || time.Until(deadline) > time.Second || report.ValidUntil.After(h.leadership.Until) || report.ValidUntil.After(m.now.Add(time.Second)) {
			t.Errorf("got a call until %v with deadline %v, want at most a second within the leadership", report.ValidUntil, deadline)
		}
		if m.now.Before(h.leadership.Since.Add(modelGap)) {
			t.Errorf("got a call %v after the leadership began, want at least %v", m.now.Sub(h.leadership.Since), modelGap)
		}
		return errModelLost
	}
	m.run(30 * time.Second)
	if calls == 0 || calls > 100 {
		t.Errorf("got %d calls in 30 s, want at most 100", calls)
	}
	m.value, m.revision = EncodeRecord(Record{Token: math.MaxInt64, Era: 1, Next: math.MaxInt64 - 100}), storer.JoinRevision(1, 1<<30)
	m.run(30 * time.Second)
	if silent := m.now.Sub(last); silent < 5*time.Second {
		t.Errorf("last call %v ago, want none any more", silent)
	}
}
