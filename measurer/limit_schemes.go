package measurer

import (
	"context"
	"math/rand/v2"
	"time"
)

// The schemes are compared in virtual time, by steps of a millisecond, with one
// customer that asks for a part of its rate over nine hosts and three services.
const (
	schemeStep     = time.Millisecond
	schemeTime     = 60 * time.Second
	schemeLossAt   = 30 * time.Second
	schemeWait     = 500 * time.Millisecond
	schemeHosts    = 9
	schemeServices = 3
	// schemeTakeover is the time without the lost bucket: a holder is replaced
	// after about a second, an owner under a lease after two.
	schemeTakeover   = 900 * time.Millisecond
	schemeOwnerLease = 2 * time.Second
	// schemeGrant is the time for which a grant of the owner holds; what is
	// left of it then is lost.
	schemeGrant = time.Second
)

// A schemeBucket is a place where requests are admitted.
type schemeBucket struct {
	rate, burst, level float64
	// queue holds the times up to which requests wait.
	queue []time.Duration
	// downUntil is the end of an outage of the place.
	downUntil time.Duration
	// grantEnds is when the level expires; 0 for never.
	grantEnds time.Duration
}

func (b *schemeBucket) refill() {
	b.level = min(b.burst, b.level+b.rate*schemeStep.Seconds())
}

// serve admits what it can and returns how many requests waited too long.
func (b *schemeBucket) serve(now time.Duration) (refused int) {
	if now < b.downUntil {
		// Requests wait for the next holder; a host that is down has none.
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

// A scheme says how the tokens of a customer are spread.
type scheme struct {
	name    string
	buckets []schemeBucket
	// place returns the bucket of a request that arrives at a host for a
	// service.
	place func(host, service int) int
	// balance moves tokens between places and returns the number of messages.
	balance func(s *scheme, now time.Duration) int
	// lose takes a place away, at schemeLossAt.
	lose func(s *scheme, now time.Duration)
}

// A schemeResult is what a scheme did.
type schemeResult struct {
	steadyPercent, lossPercent, messagesPerSecond float64
}

func (s *scheme) run(seed uint64, rate float64) schemeResult {
	rng := rand.New(rand.NewPCG(seed, 7))
	var asked, refused [2]int
	messages := 0
	for now := time.Duration(0); now < schemeTime; now += schemeStep {
		phase := 0
		if now >= schemeLossAt && now < schemeLossAt+10*time.Second {
			phase = 1
		}
		if now == schemeLossAt {
			s.lose(s, now)
		}
		for arrivals := poisson(rng, rate*schemeStep.Seconds()); arrivals > 0; arrivals-- {
			b := &s.buckets[s.place(pickSkewed(rng, schemeHosts), pickSkewed(rng, schemeServices))]
			wait := schemeWait
			if now < b.downUntil+10*time.Second && b.downUntil > 0 {
				wait = 4 * schemeWait
			}
			b.queue = append(b.queue, now+wait)
			asked[phase]++
		}
		messages += s.balance(s, now)
		for i := range s.buckets {
			s.buckets[i].refill()
			refused[phase] += s.buckets[i].serve(now)
		}
	}
	percent := func(i int) float64 { return 100 * ratio(float64(refused[i]), float64(asked[i])) }
	return schemeResult{percent(0), percent(1), float64(messages) / schemeTime.Seconds()}
}

// pickSkewed returns 0 with the weight of skew against 1 for each other.
func pickSkewed(rng *rand.Rand, n int) int {
	i := rng.IntN(skew + n - 1)
	return max(0, i-skew+1)
}

// poisson returns the number of arrivals in a step with a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		n++
	}
	return n
}

// evenScheme gives every host an even part.
func evenScheme() *scheme {
	s := &scheme{
		name: "even", buckets: make([]schemeBucket, schemeHosts),
		place:   func(host, _ int) int { return host },
		balance: func(*scheme, time.Duration) int { return 0 },
		lose:    func(s *scheme, now time.Duration) { s.buckets[1].downUntil = now + schemeTakeover },
	}
	for i := range s.buckets {
		s.buckets[i] = schemeBucket{rate: limitRate / schemeHosts, burst: limitBurst / schemeHosts}
	}
	return s
}

// transferScheme gives every service a part; the holders transfer tokens.
func transferScheme() *scheme {
	s := &scheme{
		name: "transfers", buckets: make([]schemeBucket, schemeServices),
		place: func(_, service int) int { return service },
		lose: func(s *scheme, now time.Duration) {
			s.buckets[0].downUntil, s.buckets[0].level = now+schemeTakeover, 0
		},
	}
	for i := range s.buckets {
		s.buckets[i] = schemeBucket{rate: limitRate / schemeServices, burst: limitBurst / schemeServices}
	}
	s.balance = func(s *scheme, now time.Duration) (messages int) {
		for i := range s.buckets {
			short := &s.buckets[i]
			if short.level >= short.burst/4 || now < short.downUntil {
				continue
			}
			for j := range s.buckets {
				donor := &s.buckets[j]
				// A donor keeps half of its burst, so that tokens do not go to and
				// fro between busy services.
				amount := min(donor.level-donor.burst/2, short.burst-short.level)
				if i == j || now < donor.downUntil || len(donor.queue) > 0 || amount < 1 {
					continue
				}
				donor.level -= amount
				short.level += amount
				messages += 2
			}
		}
		return messages
	}
	return s
}

// ownerScheme lets one host own the limit and grant tokens for a time.
func ownerScheme() *scheme {
	const owner = schemeHosts
	s := &scheme{
		name: "owner", buckets: make([]schemeBucket, schemeHosts+1),
		place: func(host, _ int) int { return host },
		lose: func(s *scheme, now time.Duration) {
			s.buckets[owner].downUntil, s.buckets[owner].level = now+schemeOwnerLease, 0
		},
	}
	for i := range schemeHosts {
		s.buckets[i] = schemeBucket{burst: limitBurst}
	}
	s.buckets[owner] = schemeBucket{rate: limitRate, burst: limitBurst}
	s.balance = func(s *scheme, now time.Duration) (messages int) {
		bank := &s.buckets[owner]
		if now < bank.downUntil {
			bank.level = 0
			return 0
		}
		for i := range schemeHosts {
			host := &s.buckets[i]
			if now >= host.grantEnds {
				host.level = 0
			}
			if host.level >= 1 || len(host.queue) == 0 || bank.level < 1 {
				continue
			}
			// A grant of a fifth of the burst serves some requests to come.
			amount := min(bank.level, limitBurst/5)
			bank.level -= amount
			host.level, host.grantEnds = amount, now+schemeGrant
			messages += 2
		}
		return messages
	}
	return s
}

// measureLimitSchemes compares ways to keep a fleet-wide limit in virtual time.
// The way that is built is the first; the baseline of its figures is the even
// split.
func measureLimitSchemes(_ context.Context, options Options) ([]Figure, []Series, error) {
	rate := limitRate * withinRate
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
