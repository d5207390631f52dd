package accountant

import (
	"slices"
	"sync"
	"time"
)

const (
	// clockSampleAge is the age above which a reading of another host's clock is not used.
	clockSampleAge = 10 * time.Second
	// unknownDelay is the assumed delay of a report of which it is not known when it was
	// sent.
	unknownDelay = time.Second
	// clockCheckInterval is how often the offset is adjusted to the clocks of the fleet.
	clockCheckInterval = 100 * time.Millisecond
	// minClocks is the number of clocks from which on the median is used. Two clocks that
	// differ do not show which of them is wrong.
	minClocks = 3
)

// A Clock gives the time that the hosts of the fleet agree on. Its exported fields are
// set before use. It is safe for concurrent use.
type Clock struct {
	// Now returns a monotonic time that includes the time the machine is suspended.
	Now func() time.Time
	// WallClock returns the time of day of this machine.
	WallClock func() time.Time
	// Agreement is how far this machine's time of day may be from the fleet's, beyond the
	// delay of a report, and still be used.
	Agreement time.Duration

	mu sync.Mutex
	// offset is the fleet's time less the monotonic time, valid once known is set.
	offset time.Duration
	known  bool
	// samples holds the clocks of the other hosts by name, and hub the fleet's time
	// according to the hub.
	samples   map[string]clockSample
	hub       clockSample
	checkedAt time.Time
}

// A clockSample is the reading of another host's clock with the least delay.
type clockSample struct {
	// offset is that of the clock if the report had no delay, which is the least possible
	// one; it may be greater by up to delay.
	offset, delay time.Duration
	// at is when the reading was received, the zero time if there is none.
	at time.Time
}

// add replaces the reading unless the present one is better.
func (s *clockSample) add(offset, delay time.Duration, now time.Time) {
	if delay <= s.delay || !s.recent(now) {
		*s = clockSample{offset: offset, delay: delay, at: now}
	}
}

func (s *clockSample) recent(now time.Time) bool {
	return !s.at.IsZero() && now.Sub(s.at) < clockSampleAge
}

// offsetOf returns the difference between a time of day and a monotonic time.
func offsetOf(wall, mono time.Time) time.Duration { return wall.Round(0).Sub(mono.Round(0)) }

// Record records the clocks in a report of another host that is received now and was not
// sent before the instant sent, or the zero time. fleet is the fleet's time of the sender,
// which this host adopts if the sender is the hub.
func (c *Clock) Record(host string, wall, fleet, sent time.Time, fromHub bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	delay := unknownDelay
	if !sent.IsZero() {
		delay = max(0, now.Sub(sent))
	}
	if c.samples == nil {
		c.samples = make(map[string]clockSample)
	}
	sample := c.samples[host]
	sample.add(offsetOf(wall, now), delay, now)
	c.samples[host] = sample
	if fromHub {
		c.hub.add(offsetOf(fleet, now), delay, now)
	}
}

// Time returns the fleet's time.
func (c *Clock) Time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	mono := c.Now()
	c.check(mono)
	return mono.Add(c.offset)
}

// clocks returns the number of clocks that are known, this machine's included.
func (c *Clock) clocks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	clocks, now := 1, c.Now()
	for _, sample := range c.samples {
		if sample.recent(now) {
			clocks++
		}
	}
	return clocks
}

// At returns the fleet's time at a monotonic time.
func (c *Clock) At(mono time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(c.Now())
	return mono.Add(c.offset)
}

// Readings returns the time of day of this machine, and the fleet's time.
func (c *Clock) Readings() (wall, fleet time.Time) {
	return c.WallClock().Round(0), c.Time()
}

func (c *Clock) check(mono time.Time) {
	if c.known && mono.Sub(c.checkedAt) < clockCheckInterval {
		return
	}
	c.checkedAt = mono
	c.adjust(mono)
	c.known = true
}

// adjust sets the offset: that of this machine's clock if the fleet agrees with it, else
// the fleet's. Without knowledge of other clocks, a jump of this machine's is ignored.
func (c *Clock) adjust(mono time.Time) {
	own := offsetOf(c.WallClock(), mono)
	reference, ok := c.reference(own, mono)
	switch {
	case !ok && c.known && (own-c.offset).Abs() > c.Agreement:
	case !ok || c.agrees(own, reference):
		c.offset = own
	case c.known && c.agrees(c.offset, reference):
		// The delays of reports must not move the time of a host whose own clock is wrong.
	default:
		c.offset = reference.offset
	}
}

// agrees reports whether an offset may be that of a reading.
func (c *Clock) agrees(offset time.Duration, reading clockSample) bool {
	return offset >= reading.offset-c.Agreement && offset <= reading.offset+reading.delay+c.Agreement
}

// reference returns the offset of the fleet's time, if other clocks are known: that of the
// hub, or the median of all.
func (c *Clock) reference(own time.Duration, mono time.Time) (clockSample, bool) {
	if c.hub.recent(mono) {
		return c.hub, true
	}
	samples := []clockSample{{offset: own, at: mono}}
	for host, sample := range c.samples {
		if !sample.recent(mono) {
			delete(c.samples, host)
			continue
		}
		samples = append(samples, sample)
	}
	if len(samples) < minClocks {
		return clockSample{}, false
	}
	slices.SortFunc(samples, func(a, b clockSample) int { return int(a.offset - b.offset) })
	return samples[len(samples)/2], true
}
