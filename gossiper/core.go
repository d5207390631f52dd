package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The times of the protocol. The suspicion and the intervals at more than
// largeFleet hosts are longer, see interval and suspicion.
const (
	roundInterval = 250 * time.Millisecond
	roundPeers    = 8
	answerTimeout = 300 * time.Millisecond
	// suspicionTime is how long a host may refute. With the two times above a
	// killed host is marked failed after 0.9 to 1.15 s.
	suspicionTime = 600 * time.Millisecond
	// doubtMemory is how long a host remembers that another one answers others
	// only. It then asks them before it suspects, as all do in a large fleet.
	doubtMemory = 10 * time.Second
	// probeRelays is the number of hosts asked to probe a suspect.
	probeRelays = 2
	// failedKept is how long a failed host counts as known, unless the
	// platform's list drops it.
	failedKept = 10 * time.Minute
	// failedInterval is the time between two heartbeats to failed hosts, by
	// which the sides of a healed partition find each other.
	failedInterval = time.Second
	// candidateInterval is the same for addresses of which no host is known.
	candidateInterval = time.Second
	// heardWithin is how recent a message must be to show that traffic passes.
	heardWithin = time.Second
	// eligibilityDelay keeps services from moving to a host that has just come,
	// before it has connections and the present configuration.
	eligibilityDelay = 2 * time.Second
	// unableFor is how long a declaration of being unable counts.
	unableFor = 10 * time.Second
	// freshFor is the age up to which a contact makes a host fresh.
	freshFor = 2 * time.Second
	// pauseTolerance is how late a tick may be before the host takes itself,
	// not its peers, for the cause of missing answers.
	pauseTolerance = 150 * time.Millisecond
	// hurryInterval is the least time between two rounds when there is news.
	hurryInterval = 50 * time.Millisecond
)

const (
	// largeFleet is the number of hosts above which traffic is limited.
	largeFleet = 32
	// largeInterval makes 4 exchanges of about 420 bytes, two begun by this host
	// and two by others, in 600 ms: 2.8 KB/s without news.
	largeInterval = 600 * time.Millisecond
	largePeers    = 2
	// urgentInterval is the time between rounds of a host that has not been
	// fresh for urgentAge, up to urgentFor.
	urgentInterval = 150 * time.Millisecond
	urgentAge      = 1500 * time.Millisecond
	urgentFor      = 10 * time.Second
	// largeSuspicion leaves room for three more rounds of probes: with fewer, a
	// loss of 10% of the messages makes hosts fail each other every few minutes.
	largeSuspicion = 3*largeInterval + answerTimeout
	// byteBudget is the traffic per second, in both directions, that a large
	// fleet aims at; the limit is 4 KB/s.
	byteBudget = 3600
	// byteBurst is what may be sent at once when there is news.
	byteBurst = 8000
	// byteDebt bounds the time with little news after a burst, such as the join
	// of a host.
	byteDebt = 1800
	// maxDropped bounds the memory of hosts that were forgotten.
	maxDropped = 10_000
	// changeBytes bounds the changes in one heartbeat.
	changeBytes = 900
	// savingBytes is the same for a large fleet over its budget. The rounds
	// themselves go on, since freshness and detection depend on them.
	savingBytes = 300
	// fullBytes bounds an answer with all members and claims.
	fullBytes = 48 << 10
)

// An Action is something that the owner of a Core has to do: one of Send,
// ProbeVia, Fetch, Note and Changed.
type Action interface{ isAction() }

// Send asks for a heartbeat to be sent. Its answer goes to Answered or
// Unanswered with the same ID.
type Send struct {
	ID        uint64
	Address   string
	Heartbeat Heartbeat
}

// ProbeVia asks the host at an address to probe another one. The answer goes to
// Probed with the same ID.
type ProbeVia struct {
	ID      uint64
	Address string
	Target  Host
}

// Fetch asks for the configuration to be fetched from a peer that has at least
// the revision. Its end goes to Fetched.
type Fetch struct {
	Host     string
	Address  string
	Revision uint64
	// Timeout is short at first, since the peer may hang, and grows with each
	// failure, since the set may be large.
	Timeout time.Duration
}

// Note is a line for the log: a host has changed its state, or something about
// the host is wrong.
type Note struct {
	Message string
	Host    string
	State   State
	Reason  string
}

// Changed says that hosts, claims or eligibility have changed.
type Changed struct{}

func (Send) isAction()     {}
func (ProbeVia) isAction() {}
func (Fetch) isAction()    {}
func (Note) isAction()     {}
func (Changed) isAction()  {}

// A Core decides what a host sends and believes. It starts no goroutines and
// reads no clock: every method gets the time, with a monotonic reading, and
// returns what is to be done. It is not safe for concurrent use.
type Core struct {
	// Self describes this host; Incarnation is its start time in ns.
	Self Host
	// Seeds are addresses of other hosts.
	Seeds []HostEntry
	// Rand is the source of all choices.
	Rand *rand.Rand

	started time.Time
	// nextTick is when the last Tick or NextTick said that the next is due.
	nextTick time.Time
	actions  []Action
	changed  bool
	lastID   uint64

	// selfEligible says that services may be placed on this host, since
	// selfEligibleAt.
	selfEligible   bool
	selfEligibleAt time.Time

	members map[string]*member
	// timed holds the members that wait for a time: suspects, doubted ones and
	// those not eligible yet. gone holds those that failed or left.
	timed map[string]bool
	gone  map[string]bool
	// generation grows when the set of present members changes.
	generation int
	bitmapList hostList
	// candidates are addresses from the seeds and the platform's list.
	candidates map[string]HostEntry
	// listed holds the names of the platform's list, and onceListed those that
	// it has had so far.
	listed     map[string]bool
	onceListed map[string]bool
	// dropped holds the incarnations of failed hosts that are not known any
	// more, so that other hosts' news of them do not bring them back.
	dropped map[string]uint64

	pending       map[uint64]contact
	probes        map[uint64]contact
	order         []string
	lastRound     time.Time
	nextRound     time.Time
	nextFailed    time.Time
	nextCandidate time.Time
	bucket        float64
	bucketAt      time.Time

	claims map[string]Claim
	unable map[unableKey]*unableEntry
	news   map[newsKey]*newsItem
	digest uint64
	// quietSince is when the digest last changed.
	quietSince time.Time
	// differsFrom is a host whose digest was another one.
	differsFrom string
	nextFull    time.Time

	revision      uint64
	fetching      bool
	nextFetch     time.Time
	fetchFailures int
	// newest is the highest revision heard of.
	newest        uint64
	confirmations confirmationSet

	// contactAt is when the store, or a host that was fresh, was last known to
	// agree with the revision of this host; contactVia names the source.
	contactAt  time.Time
	contactVia string
	// recent holds the members that may have been contacted within freshFor.
	recent map[string]bool
	// times is kept to save an allocation per heartbeat.
	times []time.Time
}

// Start sets the core going. It is called once, before all other methods.
func (c *Core) Start(now time.Time) []Action {
	c.started, c.nextTick = now, now
	c.selfEligibleAt = now.Add(eligibilityDelay)
	c.members = make(map[string]*member)
	c.timed = make(map[string]bool)
	c.gone = make(map[string]bool)
	c.recent = make(map[string]bool)
	c.onceListed = make(map[string]bool)
	c.candidates = make(map[string]HostEntry)
	c.dropped = make(map[string]uint64)
	c.pending = make(map[uint64]contact)
	c.probes = make(map[uint64]contact)
	c.claims = make(map[string]Claim)
	c.unable = make(map[unableKey]*unableEntry)
	c.news = make(map[newsKey]*newsItem)
	c.bucket, c.bucketAt = byteBurst, now
	c.quietSince = now
	c.nextRound, c.nextFailed, c.nextCandidate = now, now.Add(failedInterval), now
	for _, seed := range c.Seeds {
		c.addCandidate(seed)
	}
	c.digest = hostHash(c.Self)
	c.spreadHost(c.Self.Name)
	c.changed = true
	return c.flush()
}

// flush returns the actions that have come up.
func (c *Core) flush() []Action {
	if c.changed {
		c.changed = false
		c.actions = append(c.actions, Changed{})
	}
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

func (c *Core) id() uint64 {
	c.lastID++
	return c.lastID
}

// Tick acts on the passing of time.
func (c *Core) Tick(now time.Time) []Action {
	c.forgivePause(now)
	c.expireContacts(now)
	c.expireDoubts(now)
	c.expireSuspects(now)
	c.expireFailed(now)
	c.expireUnable(now)
	c.checkEligibility(now)
	c.fetchIfBehind(now)
	if !now.Before(c.nextRound) {
		c.round(now)
	}
	c.nextTick = c.next(now)
	return c.flush()
}

// NextTick returns when Tick is due.
func (c *Core) NextTick(now time.Time) time.Time {
	c.nextTick = c.next(now)
	return c.nextTick
}

// next returns the earliest time at which there is something to do.
func (c *Core) next(now time.Time) time.Time {
	next := c.nextRound
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for _, p := range c.pending {
		earlier(p.sentAt.Add(answerTimeout))
	}
	for name := range c.timed {
		m := c.members[name]
		if m.State == Suspect && m.ownSuspicion {
			earlier(m.failAt)
		}
		if !m.doubtUntil.IsZero() {
			earlier(m.doubtUntil)
		}
		if !m.eligible && m.placeable() {
			earlier(m.eligibleAt)
		}
	}
	if !c.selfEligible && c.Self.placeable() {
		earlier(c.selfEligibleAt)
	}
	for _, u := range c.unable {
		earlier(u.until)
	}
	if c.behind() && !c.fetching {
		earlier(c.nextFetch)
	}
	if next.Before(now) {
		return now
	}
	return next
}

// forgivePause drops the open questions after this host itself was held up:
// answers may have come that it has not read.
func (c *Core) forgivePause(now time.Time) {
	late := now.Sub(c.nextTick)
	if late <= pauseTolerance {
		return
	}
	clear(c.pending)
	clear(c.probes)
	for _, m := range c.members {
		m.doubtUntil = time.Time{}
		if m.State == Suspect {
			m.failAt = now.Add(c.suspicion())
		}
	}
}

// size returns the number of hosts taken to be present, with this one.
func (c *Core) size() int { return 1 + len(c.members) - len(c.gone) }

// track notes what a member waits for, after any change of it.
func (c *Core) track(m *member) {
	if m.present() == c.gone[m.Name] {
		c.generation++
	}
	if m.present() {
		delete(c.gone, m.Name)
	} else {
		c.gone[m.Name] = true
	}
	if m.State == Suspect || !m.doubtUntil.IsZero() || !m.eligible && m.placeable() {
		c.timed[m.Name] = true
	} else {
		delete(c.timed, m.Name)
	}
}

// timedNames returns the members that wait for something and pass, in order.
func (c *Core) timedNames(pass func(*member) bool) []string {
	if len(c.timed) == 0 {
		return nil
	}
	var names []string
	for name := range c.timed {
		if pass(c.members[name]) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Core) large() bool { return c.size() > largeFleet }

func (c *Core) interval() time.Duration {
	if c.large() {
		return largeInterval
	}
	return roundInterval
}

// pace returns the time to the next round: a host of a large fleet that is
// about to be no longer fresh asks more of the others.
func (c *Core) pace(now time.Time) time.Duration {
	if c.large() {
		at, _ := c.freshAt(now)
		if age := now.Sub(at); age > urgentAge && age < urgentFor {
			return urgentInterval
		}
	}
	return c.interval()
}

func (c *Core) suspicion() time.Duration {
	if c.large() {
		return largeSuspicion
	}
	return suspicionTime
}
