package exchanger

import (
	"math/rand/v2"
	"time"
)

const (
	// maxContactedSeeds is how many seeds a host contacts at once. Each replies with all
	// records, among them one for each host, so that 300 hosts that start and contact each
	// other would each receive 90,000 records of hosts. Fleets with fewer seeds than
	// manySeeds contact all of them.
	maxContactedSeeds = 3
	manySeeds         = 17
	// seedDelay is the time after the start before which a host with many seeds contacts
	// none: the store, if it responds, has responded by then.
	seedDelay = 400 * time.Millisecond
	// seedPeriod is how long the same seeds are contacted.
	seedPeriod = time.Second
)

// A seedChoice chooses the seeds to contact while no host is known. Its zero value is ready
// for use.
type seedChoice struct {
	startedAt, chosenAt time.Time
	chosen              []string
}

// at returns the seeds to contact now.
func (c *seedChoice) at(now time.Time, seeds []string) []string {
	if len(seeds) < manySeeds {
		return seeds
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	if now.Sub(c.startedAt) < seedDelay {
		return nil
	}
	if c.chosenAt.IsZero() || now.Sub(c.chosenAt) >= seedPeriod {
		c.chosenAt, c.chosen = now, nil
		for _, i := range rand.Perm(len(seeds))[:maxContactedSeeds] {
			c.chosen = append(c.chosen, seeds[i])
		}
	}
	return c.chosen
}
