package measurer

import (
	"context"
	"math/rand/v2"
	"time"
)

// The schemes are compared in virtual time, in steps of a millisecond, with one
// customer that sends a fraction of its rate over nine hosts and three services.
const (
	schemeStep     = time.Millisecond
	schemeDuration = 60 * time.Second
	schemeLossAt   = 30 * time.Second
	schemeMaxWait  = 500 * time.Millisecond
	schemeHosts    = 9
	schemeServices = 3
	// schemeTakeover is how long the bucket of a lost holder is unavailable: a
	// holder is replaced after about a second. schemeOwnerLease is the same for an
	// owner with a lease, which is replaced after two seconds.
	schemeTakeover   = 900 * time.Millisecond
	schemeOwnerLease = 2 * time.Second
	// schemeGrantLifetime is the time for which a grant of the owner is valid.
	// Tokens of it that are left then are lost.
	schemeGrantLifetime = time.Second
)

// A schemeBucket is a token bucket with a queue of requests.
type schemeBucket struct {
	rate, burst, level float64
	// queue holds the deadlines of the waiting requests.
	queue []time.Duration
	// downUntil is the end of an outage of the bucket.
	downUntil time.Duration
	// grantEnds is when the tokens of the last grant expire. It is 0 in buckets
	// without grants.
	grantEnds time.Duration
}

func (b *schemeBucket) refill() {
	b.level = min(b.burst, b.level+b.rate*schemeStep.Seconds())
}

// serve admits waiting requests as far as there are tokens, and returns the number
// of requests whose deadline has passed.
func (b *schemeBucket) serve(now time.Duration) (refused int) {
	if now < b.downUntil {
		// Requests wait for the next holder. There are no tokens meanwhile.
		return b.expire(now)
	}
	for len(b.queue) > 0 && b.level >= 1 {
		b.level--
		b.queue = b.queue[1:]
	}
	return b.expire(now)
}

func (b *schemeBucket) expire(now time.Duration) (refused int) {
	for len(b.queue) > 0 && b.queue[0] <= now {
		b.queue = b.queue[1:]
		refused++
	}
	return refused
}

// A scheme is a way to distribute the tokens of a customer.
type scheme struct {
	name    string
	buckets []schemeBucket
	// bucketIndex returns the index of the bucket for a request that arrives at a
	// host for a service.
	bucketIndex func(host, service int) int
	// rebalance moves tokens between buckets and returns the number of messages
	// that it takes.
	rebalance func(s *scheme, now time.Duration) int
	// failBucket begins the outage of a bucket, at schemeLossAt.
	failBucket func(s *scheme, now time.Duration)
}

// A schemeResult holds the percentage of refused requests in the steady state and
// after the loss, and the message rate.
type schemeResult struct {
	steadyPercent, lossPercent, messagesPerSecond float64
}

func (s *scheme) run(seed uint64, rate float64) schemeResult {
	rng := rand.New(rand.NewPCG(seed, 7))
	var requests, refused [2]int
	messages := 0
	for now := time.Duration(0); now < schemeDuration; now += schemeStep {
		phase := 0
		if now >= schemeLossAt && now < schemeLossAt+10*time.Second {
			phase = 1
		}
		if now == schemeLossAt {
			s.failBucket(s, now)
		}
		for arrivals := poisson(rng, rate*schemeStep.Seconds()); arrivals > 0; arrivals-- {
			b := &s.buckets[s.bucketIndex(pickSkewed(rng, schemeHosts), pickSkewed(rng, schemeServices))]
			wait := schemeMaxWait
			if now < b.downUntil+10*time.Second && b.downUntil > 0 {
				wait = 4 * schemeMaxWait
			}
			b.queue = append(b.queue, now+wait)
			requests[phase]++
		}
		messages += s.rebalance(s, now)
		for i := range s.buckets {
			s.buckets[i].refill()
			refused[phase] += s.buckets[i].serve(now)
		}
	}
	percent := func(i int) float64 { return 100 * ratio(float64(refused[i]), float64(requests[i])) }
	return schemeResult{percent(0), percent(1), float64(messages) / schemeDuration.Seconds()}
}

// pickSkewed returns a number below n, where 0 has the weight skewFactor and every
// other number has the weight 1.
func pickSkewed(rng *rand.Rand, n int) int {
	i := rng.IntN(skewFactor + n - 1)
	return max(0, i-skewFactor+1)
}

// poisson returns a Poisson-distributed number of arrivals with a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		n++
	}
	return n
}

// evenScheme assigns every host an equal share.
func evenScheme() *scheme {
	s := &scheme{
		name: "even", buckets: make([]schemeBucket, schemeHosts),
		bucketIndex: func(host, _ int) int { return host },
		rebalance:   func(*scheme, time.Duration) int { return 0 },
		failBucket:  func(s *scheme, now time.Duration) { s.buckets[1].downUntil = now + schemeTakeover },
	}
	for i := range s.buckets {
		s.buckets[i] = schemeBucket{rate: limitRate / schemeHosts, burst: limitBurst / schemeHosts}
	}
	return s
}

// transferScheme assigns every service an equal share. The holders transfer tokens to
// each other.
func transferScheme() *scheme {
	s := &scheme{
		name: "transfers", buckets: make([]schemeBucket, schemeServices),
		bucketIndex: func(_, service int) int { return service },
		failBucket: func(s *scheme, now time.Duration) {
			s.buckets[0].downUntil, s.buckets[0].level = now+schemeTakeover, 0
		},
	}
	for i := range s.buckets {
		s.buckets[i] = schemeBucket{rate: limitRate / schemeServices, burst: limitBurst / schemeServices}
	}
	s.rebalance = func(s *scheme, now time.Duration) (messages int) {
		for i := range s.buckets {
			recipient := &s.buckets[i]
			if recipient.level >= recipient.burst/4 || now < recipient.downUntil {
				continue
			}
			for j := range s.buckets {
				donor := &s.buckets[j]
				// A donor keeps half of its burst, so that tokens are not transferred back
				// and forth between busy services.
				amount := min(donor.level-donor.burst/2, recipient.burst-recipient.level)
				if i == j || now < donor.downUntil || len(donor.queue) > 0 || amount < 1 {
					continue
				}
				donor.level -= amount
				recipient.level += amount
				messages += 2
			}
		}
		return messages
	}
	return s
}

// ownerScheme makes one host the owner of the limit, which grants tokens to the
// hosts for a limited time.
func ownerScheme() *scheme {
	const owner = schemeHosts
	s := &scheme{
		name: "owner", buckets: make([]schemeBucket, schemeHosts+1),
		bucketIndex: func(host, _ int) int { return host },
		failBucket: func(s *scheme, now time.Duration) {
			s.buckets[owner].downUntil, s.buckets[owner].level = now+schemeOwnerLease, 0
		},
	}
	for i := range schemeHosts {
		s.buckets[i] = schemeBucket{burst: limitBurst}
	}
	s.buckets[owner] = schemeBucket{rate: limitRate, burst: limitBurst}
	s.rebalance = func(s *scheme, now time.Duration) (messages int) {
		ownerBucket := &s.buckets[owner]
		if now < ownerBucket.downUntil {
			ownerBucket.level = 0
			return 0
		}
		for i := range schemeHosts {
			hostBucket := &s.buckets[i]
			if now >= hostBucket.grantEnds {
				hostBucket.level = 0
			}
			if hostBucket.level >= 1 || len(hostBucket.queue) == 0 || ownerBucket.level < 1 {
				continue
			}
			// A grant of a fifth of the burst also covers some later requests.
			amount := min(ownerBucket.level, limitBurst/5)
			ownerBucket.level -= amount
			hostBucket.level, hostBucket.grantEnds = amount, now+schemeGrantLifetime
			messages += 2
		}
		return messages
	}
	return s
}

// measureLimitSchemes compares schemes that enforce a limit across the fleet, in
// virtual time. The implemented scheme is the first one, transfers. The baseline of
// its figures is the even split.
func measureLimitSchemes(_ context.Context, options Options) ([]Figure, []Series, error) {
	rate := limitRate * withinRateShare
	transfers := transferScheme().run(options.Seed, rate)
	owner := ownerScheme().run(options.Seed, rate)
	even := evenScheme().run(options.Seed, rate)
	return []Figure{
		NewFigure("transfers_refused_percent", transfers.steadyPercent, AtMost, 0.1).WithBaseline(even.steadyPercent),
		NewFigure("transfers_refused_after_loss_percent", transfers.lossPercent, AtMost, 0.5).WithBaseline(even.lossPercent),
		Info("transfers_messages_per_second", transfers.messagesPerSecond),
		Info("owner_refused_percent", owner.steadyPercent),
		Info("owner_refused_after_loss_percent", owner.lossPercent),
		Info("owner_messages_per_second", owner.messagesPerSecond),
	}, nil, nil
}
