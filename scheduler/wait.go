package scheduler

import "time"

// expectedWait estimates how long a new batch of the customer would wait: the
// slot time that is served before it, spread over the slots. Of another customer
// at most the part counts that its weight allows until the batch is due.
func (c *Core) expectedWait(owner *customer, priority bool, now time.Time) time.Duration {
	slots := c.Slots(now)
	if c.running+c.queued < slots || slots <= 0 {
		return 0
	}
	work := float64(len(c.priority)) * c.average
	if !priority {
		own := float64(len(owner.queue)) * owner.average
		work += own
		// due is the tag at which the batch will be started.
		due := max(owner.tag, c.virtual) + own/float64(owner.share.Weight)
		for _, other := range c.customers {
			if other == owner || len(other.queue) == 0 {
				continue
			}
			allowed := max(0, due-other.tag) * float64(other.share.Weight)
			work += min(float64(len(other.queue))*other.average, allowed)
		}
	}
	// The batches that run now are on average half done.
	work += float64(min(c.running, slots)) * c.average / 2
	return time.Duration(work / float64(slots) * float64(time.Second))
}
