package accountant

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/endiveturn/endiveturn/storer"
)

const (
	// maxCallTimeout bounds a call to the receiver of reports. It is also at most a third
	// of the gap between two senders, so that a call ends before the next sender's first.
	maxCallTimeout = time.Second
	// retryPause is the time after a failed call before the next one. The platform accepts
	// 50 calls a second from all hosts, promotions included.
	retryPause = 300 * time.Millisecond
	// writeTimeout bounds a write of the record.
	writeTimeout = 1200 * time.Millisecond
	// transferTime bounds how long a change of leader and the first call of the next one take:
	// its predecessor offers it leadership for a second, and a call takes up to maxCallTimeout.
	transferTime = 3 * time.Second
	// eraClockMargin allows for clocks of a former leader that differ from this one's: a
	// window that ended so shortly after the store came back is not counted.
	eraClockMargin = 2 * time.Second
)

// errSuperseded is returned if the record was written by a later leader.
var errSuperseded = errors.New("record is of a later leader")

// A Leadership is the time for which this host is the leader.
type Leadership struct {
	// Token is the fencing token. Its era is that of the store.
	Token int64
	// Since is when the leadership began at the latest, Until is when it may end.
	Since, Until time.Time
	// EraSince is when this host first saw the present era of the store.
	EraSince time.Time
}

// A Report is the call that reports a window.
type Report struct {
	Window Window
	// Holder is the name of the leader, Token its fencing token.
	Holder string
	Token  int64
	// ValidUntil is when the call must not be sent any more.
	ValidUntil time.Time
}

// A Sender closes windows, records them in the store and reports them while its host is the
// leader. Its exported fields are set before use. RecordStep and SendStep may run
// concurrently with each other, but not with themselves.
type Sender struct {
	// Holder is the name of this host.
	Holder   string
	Schedule Schedule
	// Gap is the time after a change of leader in which nothing is sent.
	Gap   time.Duration
	Clock *Clock
	Book  *Book
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now func() time.Time
	// Leadership returns the leadership of this host; ok is false while it is not certain
	// to be the leader.
	Leadership func() (leadership Leadership, ok bool)
	// Incarnations returns the registered processes by host, this one included.
	Incarnations func() map[string]string
	// Stored returns the record that this host knows of, and its revision.
	Stored func() (value []byte, revision int64, ok bool)
	// TakenOver reports whether the book has the counts in the checkpoint of the former
	// leader. Until then, and at most for the gap, no window is closed.
	TakenOver func(token int64) bool
	// Write writes the record on condition that its revision is the expected one. It
	// returns a *storer.ConflictError if it is not.
	Write func(ctx context.Context, value []byte, expectedRevision int64) (revision int64, err error)
	// Send sends a report. It returns nil once the report was accepted.
	Send     func(ctx context.Context, report Report) error
	Logger   *slog.Logger
	Registry gometrics.Registry

	mu sync.Mutex
	// token is that of the leadership to which the fields below belong.
	token int64
	// base is the record as far as it is known, baseKnown is set if there is one. revision
	// is the revision that the next write expects.
	base      Record
	baseKnown bool
	revision  int64
	// claimed is set once the store has confirmed a record of this leadership, which base
	// then is.
	claimed    bool
	superseded bool
	// unreadable is set if a record that this host can't read, or that was deleted, may
	// hold windows that base lacks.
	unreadable bool
	// writeAfter is the earliest time of the next write after a failed one.
	writeAfter time.Time
	// calls holds the state of the calls by window.
	calls map[int64]*call
	// callAfter is the earliest time of the next call after a failed one.
	callAfter time.Time
	// incomplete holds the number of processes that may lack in the counts of the windows
	// that are being recorded.
	incomplete map[int64]int
}

// A call is the state of the calls that report a window.
type call struct {
	// recordedAt is when this host found the window recorded.
	recordedAt time.Time
	// inherited is set if a former leader recorded the window, which may have been accepted.
	inherited bool
	lastTry   time.Time
	attempts  int
	accepted  bool
	givenUp   bool
}

// RecordStep claims the record if this host has become the leader, closes the windows that
// can be closed, and records them.
func (s *Sender) RecordStep(ctx context.Context) {
	leadership, ok := s.Leadership()
	if !ok {
		return
	}
	s.mu.Lock()
	s.enter(leadership)
	next, due := s.nextRecord(leadership)
	expected := s.revision
	s.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := s.Write(ctx, EncodeRecord(next), expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token != leadership.Token {
		return
	}
	if err != nil {
		s.applyWriteError(err)
		return
	}
	s.applyWritten(next, revision)
}

// enter begins a leadership with the record that this host knows of.
func (s *Sender) enter(leadership Leadership) {
	if s.token == leadership.Token {
		return
	}
	s.token, s.claimed, s.superseded, s.unreadable = leadership.Token, false, false, false
	s.base, s.baseKnown, s.revision = Record{}, false, 0
	s.writeAfter, s.callAfter = time.Time{}, time.Time{}
	s.calls = make(map[int64]*call)
	if value, revision, ok := s.Stored(); ok {
		s.revision = revision
		s.adopt(value)
	}
}

// adopt merges a record that was found in the store or the mirror.
func (s *Sender) adopt(value []byte) {
	record, err := DecodeRecord(value)
	if err != nil {
		s.Logger.Warn("usage_record_rejected", "key", RecordKey, "error", err.Error())
		s.unreadable = true
		return
	}
	if s.baseKnown {
		record = record.Merge(s.base)
	}
	s.base, s.baseKnown = record, true
}

// nextRecord returns the record to be written, and whether to write now.
func (s *Sender) nextRecord(leadership Leadership) (Record, bool) {
	if s.superseded || s.Now().Before(s.writeAfter) {
		return Record{}, false
	}
	if !s.claimed {
		return s.claim(leadership), !s.claimsByTime(leadership) || s.clockConfirmed(leadership)
	}
	now := s.Clock.Time()
	next := s.base.WithAccepted(s.acceptedWindows()).WithoutBefore(s.Schedule.Number(now) - keptWindows)
	before := next.Next
	next.Next = max(next.Next, s.Schedule.Number(now)-keptWindows+1)
	s.incomplete = make(map[int64]int)
	for s.closable(next.Next, leadership, now) {
		incarnations := s.Incarnations()
		s.incomplete[next.Next] = s.Book.Missing(next.Next, incarnations) + s.Book.Lost(next.Next, incarnations)
		next = next.With(Window{Number: next.Next, Counts: s.Book.Totals(next.Next)})
	}
	return next, next.Next != before
}

// closable reports whether a window can be closed: all hosts have reported it as final, or
// there is just enough time left to report it. A new leader waits for the hosts to send it
// their counts.
func (s *Sender) closable(window int64, leadership Leadership, now time.Time) bool {
	switch {
	case now.Before(s.Schedule.End(window)):
		return false
	case !s.TakenOver(leadership.Token) && s.Now().Before(leadership.Since.Add(s.Gap)):
		return false
	case s.Book.Missing(window, s.Incarnations()) == 0:
		return true
	case s.Now().Before(leadership.Since.Add(s.Gap * 2 / 3)):
		return false
	}
	return !now.Before(s.Schedule.closeBy(window))
}

// applyWriteError adopts the record that made a write fail. After any other error the
// outcome is unknown: if the write took effect, the next one fails.
func (s *Sender) applyWriteError(err error) {
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		s.writeAfter = s.Now().Add(retryPause)
		s.Logger.Warn("usage_not_recorded", "token", s.token, "error", err.Error())
		return
	}
	s.claimed = false
	s.revision = conflict.Current.ModRevision
	if conflict.Current.ModRevision == 0 {
		s.unreadable = s.unreadable || s.base.Era == storer.EraOf(s.token)
		return
	}
	s.adopt(conflict.Current.Value)
	if s.base.Token > s.token {
		s.superseded = true
		s.Logger.Warn("usage_not_recorded", "token", s.token, "error", errSuperseded.Error())
	}
}

// applyWritten puts a record into effect that the store has confirmed.
func (s *Sender) applyWritten(record Record, revision int64) {
	now := s.Clock.Time()
	if s.baseKnown {
		s.reportMissed(record)
	}
	s.reportIncomplete(record)
	for _, w := range record.Windows {
		if _, ok := s.calls[w.Number]; !ok {
			s.calls[w.Number] = &call{recordedAt: now, inherited: !s.claimed, accepted: w.Accepted}
		}
	}
	for number := range s.calls {
		if len(record.Windows) == 0 || number < record.Windows[0].Number {
			delete(s.calls, number)
		}
	}
	s.base, s.baseKnown, s.claimed, s.revision = record, true, true, revision
	s.Book.Settle(record.Next)
}

// reportMissed logs the windows that a record skips.
func (s *Sender) reportMissed(record Record) {
	recorded := make(map[int64]bool, len(record.Windows))
	for _, w := range record.Windows {
		recorded[w.Number] = true
	}
	first, missed := record.Next, int64(0)
	for number := max(s.base.Next, record.Next-keptWindows); number < record.Next; number++ {
		if !recorded[number] {
			first, missed = min(first, number), missed+1
		}
	}
	if missed == 0 {
		return
	}
	s.count("usage_missed", missed)
	s.Logger.Warn("usage_missed", "first_window", first, "windows", missed, "next_window", record.Next, "holder", s.Holder, "token", s.token)
}

// reportIncomplete logs the windows that are recorded now and may lack counts.
func (s *Sender) reportIncomplete(record Record) {
	for _, w := range record.Windows {
		processes := s.incomplete[w.Number]
		if processes == 0 {
			continue
		}
		s.count("usage_incomplete", 1)
		s.Logger.Warn("usage_incomplete", "window", w.Number, "holder", s.Holder, "token", s.token, "total", w.Total(), "processes", processes)
	}
	s.incomplete = nil
}

func (s *Sender) count(name string, n int64) {
	if s.Registry != nil {
		gometrics.GetOrRegisterCounter(name, s.Registry).Inc(n)
	}
}

// acceptedWindows returns the windows that were accepted in this leadership.
func (s *Sender) acceptedWindows() map[int64]bool {
	accepted := make(map[int64]bool)
	for number, c := range s.calls {
		accepted[number] = c.accepted
	}
	return accepted
}

// MayTransfer reports whether another host could become the leader now without a window that
// is missed or late: all windows that have ended are recorded and accepted, and the next one is
// due after the other host may send its report.
func (s *Sender) MayTransfer() bool {
	leadership, ok := s.Leadership()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok || !s.claimed || s.token != leadership.Token {
		return false
	}
	for _, w := range s.base.Windows {
		if state, ok := s.calls[w.Number]; ok && !state.accepted && !state.givenUp {
			return false
		}
	}
	now, end := s.Clock.Time(), s.Schedule.End(s.base.Next)
	return now.Before(end) && now.Add(transferTime+s.Gap).Before(end.Add(s.Schedule.Due))
}

// SendStep reports one recorded window that has not been accepted, if there is one.
func (s *Sender) SendStep(ctx context.Context) {
	leadership, ok := s.Leadership()
	if !ok || s.Now().Before(leadership.Since.Add(s.Gap)) {
		return
	}
	s.mu.Lock()
	now := s.Now()
	window, ok := s.nextCall(leadership, now)
	s.mu.Unlock()
	if !ok {
		return
	}
	until := now.Add(min(maxCallTimeout, s.Gap/3))
	if leadership.Until.Before(until) {
		until = leadership.Until
	}
	ctx, cancel := context.WithTimeout(ctx, until.Sub(now))
	defer cancel()
	err := s.Send(ctx, Report{Window: window, Holder: s.Holder, Token: leadership.Token, ValidUntil: until})
	s.recordCall(window, leadership.Token, err)
}

// nextCall returns the recorded window that was not tried for the longest time.
func (s *Sender) nextCall(leadership Leadership, now time.Time) (Window, bool) {
	if !s.claimed || s.token != leadership.Token || now.Before(s.callAfter) || !now.Before(leadership.Until) {
		return Window{}, false
	}
	var next Window
	var nextState *call
	fleetNow := s.Clock.Time()
	for _, w := range s.base.Windows {
		state, ok := s.calls[w.Number]
		if !ok || state.accepted || state.givenUp {
			continue
		}
		if fleetNow.After(s.Schedule.giveUpAt(w.Number, state.recordedAt)) {
			s.giveUp(w, state)
			continue
		}
		if nextState == nil || state.lastTry.Before(nextState.lastTry) {
			next, nextState = w, state
		}
	}
	if nextState == nil {
		return Window{}, false
	}
	nextState.lastTry = now
	nextState.attempts++
	if nextState.attempts > 1 || nextState.inherited {
		s.count("usage_repeated", 1)
	}
	return next, true
}

// giveUp ends the calls for a window that was not accepted in time.
func (s *Sender) giveUp(w Window, state *call) {
	state.givenUp = true
	s.count("usage_not_accepted", 1)
	s.Logger.Warn("usage_not_accepted", "window", w.Number, "holder", s.Holder, "token", s.token, "total", w.Total(), "attempts", state.attempts)
}

// recordCall records the outcome of a call.
func (s *Sender) recordCall(w Window, token int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.calls[w.Number]
	if !ok || s.token != token {
		return
	}
	if err != nil {
		s.callAfter = s.Now().Add(retryPause)
		s.Logger.Info("usage_call_failed", "window", w.Number, "token", token, "attempts", state.attempts, "error", err.Error())
		return
	}
	state.accepted = true
	late := max(0, s.Clock.Time().Sub(s.Schedule.End(w.Number).Add(s.Schedule.Due)))
	s.count("usage_reported", 1)
	if late > 0 && !state.inherited {
		s.count("usage_late", 1)
	}
	s.Logger.Info("usage_reported", "window", w.Number, "holder", s.Holder, "token", token, "total", w.Total(),
		"customers", len(w.Counts), "attempts", state.attempts, "inherited", state.inherited, "late_by", late)
}
