package scheduler

import "time"

// expectedWait estimates how long a new batch of the customer would wait: the
// slot time served before it, divided by the number of slots. The batches of
// another customer count at most as far as its weight allows them to start before
// the new batch is due.
func (f *FairQueue) expectedWait(owner *customerQueue, priority bool, now time.Time) time.Duration {
	slots := f.Slots(now)
	if f.running+f.queued < slots || slots <= 0 {
		return 0
	}
	work := float64(len(f.priority)) * f.averageServiceTime
	if !priority {
		own := float64(len(owner.queue)) * owner.averageServiceTime
		work += own
		// due is the start tag at which the batch will be granted.
		due := max(owner.startTag, f.virtualTime) + own/float64(owner.share.Weight)
		for _, other := range f.customers {
			if other == owner || len(other.queue) == 0 {
				continue
			}
			allowed := max(0, due-other.startTag) * float64(other.share.Weight)
			work += min(float64(len(other.queue))*other.averageServiceTime, allowed)
		}
	}
	// The running batches are on average half finished.
	work += float64(min(f.running, slots)) * f.averageServiceTime / 2
	return time.Duration(work / float64(slots) * float64(time.Second))
}
