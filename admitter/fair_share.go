package admitter

import "time"

// fairShare is the virtual time of weighted fair queueing: the slot time per unit
// of weight that each customer with outstanding requests may have used.
type fairShare struct {
	virtual float64
	updated time.Time
	// active is the number of customers with outstanding requests, and activeWeight
	// the sum of their weights.
	active       int
	activeWeight float64
}

// rate returns the virtual time that passes in a second.
func (f *fairShare) rate(slots int) float64 {
	if f.active == 0 || f.activeWeight <= 0 {
		return float64(max(1, slots))
	}
	return float64(max(1, slots)) / f.activeWeight
}

func (f *fairShare) advance(now time.Time, slots int) {
	if elapsed := now.Sub(f.updated).Seconds(); elapsed > 0 && !f.updated.IsZero() {
		f.virtual += elapsed * f.rate(slots)
	}
	f.updated = now
}

// limit returns the latest virtual start of requests that count as within their
// customer's fair share.
func (f *fairShare) limit(slots int) float64 {
	return f.virtual + shareHorizon.Seconds()*f.rate(slots)
}

// wait returns the time in seconds until a customer's fair share starts a request
// with the given virtual start.
func (f *fairShare) wait(start float64, slots int) float64 {
	return max(0, start-f.virtual) / f.rate(slots)
}

// A customer is the state of a customer at one database.
type customer struct {
	weight      float64
	outstanding int
	// used holds, for each priority, the virtual time at which the customer's fair
	// share starts its next request of that priority. Requests are charged to their
	// own and to later priorities, so that the requests of a high priority don't
	// wait for the customer's own requests of a low one.
	used [maxPriority + 1]float64
	// preceding holds, for each priority, the sum of all charges for requests of
	// higher priorities.
	preceding [maxPriority + 1]float64
}

func (c *customer) setWeight(weight float64, f *fairShare) {
	if weight <= 0 {
		weight = 1
	}
	if c.outstanding > 0 {
		f.activeWeight += weight - c.weight
	}
	c.weight = weight
}

func (c *customer) addOutstanding(f *fairShare) {
	c.outstanding++
	if c.outstanding == 1 {
		f.active++
		f.activeWeight += c.weight
	}
}

func (c *customer) removeOutstanding(f *fairShare) {
	c.outstanding--
	if c.outstanding > 0 {
		return
	}
	f.active--
	f.activeWeight -= c.weight
	if f.active == 0 {
		f.activeWeight = 0
	}
}

func (c *customer) addCharge(level int, charge float64) {
	for i := level; i < len(c.used); i++ {
		c.used[i] += charge
		if i > level {
			c.preceding[i] += charge
		}
	}
}

// charge sets the ticket's virtual start and charges its customer.
func (q *Queue) charge(t *Ticket) {
	level := t.class.key.level()
	for i := level; i < len(t.customer.used); i++ {
		t.customer.used[i] = max(t.customer.used[i], q.fairShare.virtual)
	}
	t.start = t.customer.used[level]
	t.precedingBefore = t.customer.preceding[level]
	t.charge = t.cost / t.customer.weight
	t.customer.addCharge(level, t.charge)
}

// fairStart returns the virtual time at which the customer's fair share starts the
// ticket, after the customer's requests of higher priorities that have arrived since.
func (t *Ticket) fairStart() float64 {
	return t.start + t.customer.preceding[t.class.key.level()] - t.precedingBefore
}
