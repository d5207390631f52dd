package forwarder

import "time"

// delayPeriod is the time after which a delayMeter begins to forget what it compares with. That
// is at most two periods and two idle times of a connection old, which is an error of 90 ms at a
// clock drift of 500 ppm.
const delayPeriod = 30 * time.Second

// A delayMeter estimates how long messages of a connection were under way, including the time
// that they waited to be read, from the clock of the sender. It compares each message with
// those of the least delay in the last two periods, which count as not delayed.
type delayMeter struct {
	// origin is when the first message was received.
	origin time.Time
	// lowest and formerLowest are the least differences between the clocks in the present
	// period and in the one before.
	lowest, formerLowest time.Duration
	periodBegan          time.Time
}

// delay returns the delay of a message.
func (m *delayMeter) delay(sent time.Duration, received time.Time) time.Duration {
	if m.origin.IsZero() {
		m.origin, m.periodBegan = received, received
		m.lowest, m.formerLowest = -sent, -sent
	}
	difference := received.Sub(m.origin) - sent
	delay := max(0, difference-min(m.lowest, m.formerLowest))
	if received.Sub(m.periodBegan) > delayPeriod {
		m.formerLowest, m.lowest, m.periodBegan = m.lowest, difference, received
	}
	m.lowest = min(m.lowest, difference)
	return delay
}
