package admitter

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A Queue assigns the slots of one database to requests. It is not safe for
// concurrent use.
type Queue struct {
	slots   int
	running int
	// runningWork is the expected slot time of the running requests in seconds.
	runningWork float64
	queued      int
	sequence    uint64
	// classes are ordered by falling density.
	classes   []*class
	byKey     map[Class]*class
	customers map[string]*customer
	// sweepCustomersAt and sweepClassesAt are the numbers of entries at which unused ones
	// are removed, 0 for minSweep.
	sweepCustomersAt, sweepClassesAt int
	// transactions and late are the waiting statements of open transactions, and the
	// waiting requests that can only be late.
	transactions ticketList
	late         ticketList
	fairShare    fairShare
	// nextRetry is when the retry of the last refused request is expected.
	nextRetry time.Time
	// changed holds the waiting tickets that the current call granted or refused.
	changed []*Ticket
}

// SetSlots sets the number of requests that may run concurrently, and returns the
// tickets that were granted.
func (q *Queue) SetSlots(slots int, now time.Time) []*Ticket {
	q.fairShare.advance(now, q.slots)
	q.slots = max(1, slots)
	q.dispatch(now)
	return q.takeChanged()
}

// Running and Queued return the number of requests with a slot and without one.
func (q *Queue) Running() int { return q.running }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return q.queued }

// Backlog returns the time in which the slots can complete what runs and waits.
func (q *Queue) Backlog() time.Duration {
	return time.Duration(q.backlog() / float64(max(1, q.slots)) * float64(time.Second))
}

func (q *Queue) backlog() float64 {
	// The running requests are on average half complete.
	work := q.runningWork/2 + q.transactions.work + q.late.work
	for _, c := range q.classes {
		work += c.waiting.work
	}
	return work
}

// Add adds a request. It returns its ticket, in state Granted, Waiting or Refused,
// and the waiting tickets whose state has changed.
func (q *Queue) Add(request Request, now time.Time) (*Ticket, []*Ticket) {
	q.fairShare.advance(now, q.slots)
	q.sequence++
	t := &Ticket{Request: request, class: q.class(request.Class, now), customer: q.customer(request.Customer), sequence: q.sequence}
	t.class.decay(now)
	t.cost = t.class.slotTime
	t.customer.setWeight(request.Weight, &q.fairShare)
	lastStart := request.Timeout.Add(-seconds(t.cost))
	if now.After(lastStart) && !request.Class.InTransaction {
		q.refuse(t, ReasonTimeout, now)
		return t, q.takeChanged()
	}
	q.charge(t)
	q.enqueue(t, now)
	q.dispatch(now)
	if t.State == Waiting {
		q.refuseDoomed(t, now)
	}
	return t, q.takeChanged()
}

// enqueue adds the ticket to the list in which it waits.
func (q *Queue) enqueue(t *Ticket, now time.Time) {
	t.customer.addOutstanding(&q.fairShare)
	q.queued++
	inTimeUntil := t.Objective.Add(-seconds(startMargin * t.cost))
	switch {
	case t.Class.InTransaction:
		t.expires = t.Timeout
		q.transactions.push(t)
	case now.After(inTimeUntil):
		t.expires = earlier(t.Timeout.Add(-seconds(t.cost)), now.Add(t.MaxHold))
		q.late.push(t)
	default:
		t.expires = inTimeUntil
		t.class.waiting.push(t)
	}
}

// refuseDoomed refuses waiting tickets that are no longer expected to start in
// time: in each class the last ones, which are those of the customers that are
// furthest ahead of their fair share.
func (q *Queue) refuseDoomed(added *Ticket, now time.Time) {
	slots := float64(max(1, q.slots))
	ahead := q.runningWork/2 + q.transactions.work
	spare := 1.0
	for _, c := range q.classes {
		q.refuseDoomedOf(&c.waiting, ahead/slots, spare, added, now)
		ahead += c.waiting.work
		spare = max(minSpareShare, spare-c.decayedUtilization(now)/slots)
	}
	q.refuseDoomedOf(&q.late, ahead/slots, spare, added, now)
}

// refuseDoomedOf refuses the doomed tickets of one list. The list starts after the
// given time, and gets the given share of the slots.
func (q *Queue) refuseDoomedOf(list *ticketList, ahead, spare float64, added *Ticket, now time.Time) {
	for t := list.peekLast(); t != nil; t = list.peekLast() {
		wait := (ahead + (list.work-t.cost)/float64(max(1, q.slots))) / spare
		if list != &q.late {
			wait = min(wait, q.fairShare.wait(t.fairStart(), q.slots))
		}
		if !now.Add(seconds(wait)).After(t.expires) {
			return
		}
		reason := ReasonDisplaced
		if t == added {
			reason = ReasonExpectedWait
		}
		q.drop(t, reason, now)
	}
}

// dispatch grants free slots to waiting tickets.
func (q *Queue) dispatch(now time.Time) {
	for q.running < max(1, q.slots) && q.queued > 0 {
		t := q.next()
		if now.After(t.expires) && q.queued > 1 {
			q.drop(t, ReasonLate, now)
			continue
		}
		t.list.remove(t)
		q.queued--
		t.State, t.grantedAt = Granted, now
		q.running++
		q.runningWork += t.cost
		t.class.recordGrant(t.cost, now)
		q.changed = append(q.changed, t)
	}
}

// next returns the waiting ticket that gets the next slot: first statements of open
// transactions, then requests of customers within their fair share by value per
// slot time, then the others by value per slot time, then late ones.
func (q *Queue) next() *Ticket {
	if t := q.transactions.peekFirst(); t != nil {
		return t
	}
	limit := q.fairShare.limit(q.slots)
	var surplus *Ticket
	for _, c := range q.classes {
		t := c.waiting.peekFirst()
		if t == nil {
			continue
		}
		if t.start <= limit {
			return t
		}
		if surplus == nil {
			surplus = t
		}
	}
	if surplus != nil {
		return surplus
	}
	return q.late.peekFirst()
}

// Expire is called at the time of Ticket.Expires. It refuses the ticket unless it is
// the only one that waits and can still be served before its timeout. It returns
// the tickets whose state has changed.
func (q *Queue) Expire(t *Ticket, now time.Time) []*Ticket {
	q.fairShare.advance(now, q.slots)
	if t.State != Waiting || now.Before(t.expires) {
		return nil
	}
	extension := earlier(t.Timeout.Add(-seconds(t.cost)), now.Add(seconds(t.cost)))
	if q.queued == 1 && t.list != &q.transactions && t.list != &q.late && now.Before(extension) {
		t.list.remove(t)
		t.expires = extension
		q.late.push(t)
		return nil
	}
	q.drop(t, ReasonLate, now)
	q.dispatch(now)
	return q.takeChanged()
}

// Release returns the slot of a granted ticket, or withdraws a waiting one. The slot
// time counts in the mean of the class only if learn is set, which is not the case
// for requests that failed. It returns the tickets whose state has changed.
func (q *Queue) Release(t *Ticket, learn bool, now time.Time) []*Ticket {
	q.fairShare.advance(now, q.slots)
	switch t.State {
	case Waiting:
		q.drop(t, ReasonCanceled, now)
	case Granted:
		q.running--
		q.runningWork -= t.cost
		if q.running == 0 {
			q.runningWork = 0
		}
		t.State = Released
		t.customer.removeOutstanding(&q.fairShare)
		q.recordSlotTime(t, learn, now)
	case Refused, Released:
	}
	q.dispatch(now)
	return q.takeChanged()
}

// recordSlotTime corrects the customer's charge by the actual slot time.
func (q *Queue) recordSlotTime(t *Ticket, learn bool, now time.Time) {
	slotTime := now.Sub(t.grantedAt).Seconds()
	actual := min(max(slotTime, minSlotTime.Seconds()), maxSampleRatio*t.cost)
	t.customer.addCharge(t.class.key.level(), actual/t.customer.weight-t.charge)
	if !learn {
		return
	}
	t.class.recordSample(slotTime, now)
	q.sortClasses()
}

func (q *Queue) sortClasses() {
	slices.SortStableFunc(q.classes, func(a, b *class) int { return cmp.Compare(b.density, a.density) })
}

// drop refuses a waiting ticket and refunds its charge.
func (q *Queue) drop(t *Ticket, reason Reason, now time.Time) {
	t.list.remove(t)
	q.queued--
	t.customer.removeOutstanding(&q.fairShare)
	t.customer.addCharge(t.class.key.level(), -t.charge)
	q.refuse(t, reason, now)
	q.changed = append(q.changed, t)
}

func (q *Queue) refuse(t *Ticket, reason Reason, now time.Time) {
	t.State = Refused
	t.Refusal = &Refusal{Reason: reason, RetryAfter: q.retryAfter(t.cost, now)}
}

// retryAfter returns when a refused request is expected to find a slot. Successive
// refusals get successive times, so that their retries are spread over the capacity
// that will be free.
func (q *Queue) retryAfter(cost float64, now time.Time) time.Duration {
	slots := float64(max(1, q.slots))
	earliest := now.Add(max(minRetryAfter, seconds(q.backlog()/slots)))
	if q.nextRetry.Before(earliest) || q.nextRetry.Sub(now) > maxRetryAfter {
		q.nextRetry = earliest
	}
	delay := q.nextRetry.Sub(now)
	q.nextRetry = q.nextRetry.Add(seconds(cost / slots / retryShare))
	return min(delay, maxRetryAfter)
}

func (q *Queue) takeChanged() []*Ticket {
	changed := q.changed
	q.changed = nil
	return changed
}

func (q *Queue) class(key Class, now time.Time) *class {
	c, ok := q.byKey[key]
	if !ok {
		if q.byKey == nil {
			q.byKey = make(map[Class]*class)
		}
		if len(q.byKey) >= max(q.sweepClassesAt, minSweep) {
			q.sweepClasses(now)
		}
		c = newClass(key)
		q.byKey[key] = c
		q.classes = append(q.classes, c)
		q.sortClasses()
	}
	c.usedAt = now
	return c
}

// sweepClasses removes the classes that have not been used for long, as those of routes that
// were removed. It runs each time that their number has doubled.
func (q *Queue) sweepClasses(now time.Time) {
	unused := func(c *class) bool { return c.waiting.peekFirst() == nil && now.Sub(c.usedAt) > classRetention }
	maps.DeleteFunc(q.byKey, func(_ Class, c *class) bool { return unused(c) })
	q.classes = slices.DeleteFunc(q.classes, unused)
	q.sweepClassesAt = 2 * len(q.byKey)
}

func (q *Queue) customer(name string) *customer {
	c, ok := q.customers[name]
	if !ok {
		if q.customers == nil {
			q.customers = make(map[string]*customer)
		}
		if len(q.customers) >= max(q.sweepCustomersAt, minSweep) {
			q.sweepCustomers()
		}
		c = &customer{weight: 1}
		q.customers[name] = c
	}
	return c
}

// sweepCustomers removes the customers whose state is that of a new one: they have no
// requests and are not ahead of their fair share. It runs each time that their number has
// doubled.
func (q *Queue) sweepCustomers() {
	maps.DeleteFunc(q.customers, func(_ string, c *customer) bool {
		return c.outstanding == 0 && slices.Max(c.used[:]) <= q.fairShare.virtual
	})
	q.sweepCustomersAt = 2 * len(q.customers)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
