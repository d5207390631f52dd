package gossiper

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the protocol. With more than largeFleetThreshold hosts, the round
// interval and the suspicion timeout are longer; see currentRoundInterval and
// currentSuspicionTimeout.
const (
	roundInterval = 250 * time.Millisecond
	roundPeers    = 8
	replyTimeout  = 300 * time.Millisecond
	// suspicionTimeout is how long a suspected host has to refute the suspicion.
	// Together with roundInterval and replyTimeout, a killed host is marked failed
	// after 0.9 to 1.15 s.
	suspicionTimeout = 600 * time.Millisecond
	// indirectReachWindow is the time after a peer was reachable only through other
	// hosts in which a missing reply leads to indirect probes before the peer is
	// suspected, as it always does in a large fleet.
	indirectReachWindow = 10 * time.Second
	// probeRelays is the number of hosts through which a host is probed indirectly.
	probeRelays = 2
	// failedRetention is how long a failed or left host counts as known, unless it
	// is removed from the platform's host list before.
	failedRetention = 10 * time.Minute
	// failedRetryInterval is the time between two heartbeats to failed hosts,
	// through which the two sides of a healed partition find each other.
	failedRetryInterval = time.Second
	// candidateRetryInterval is the time between two rounds of heartbeats to
	// candidate addresses that belong to no known host.
	candidateRetryInterval = time.Second
	// recentMessageAge is the age up to which a received message shows that the
	// connection works.
	recentMessageAge = time.Second
	// eligibilityDelay prevents services from moving to a host that has just
	// joined, before it has connections and the current configuration.
	eligibilityDelay = 2 * time.Second
	// unavailabilityTTL is the lifetime of an unavailability report.
	unavailabilityTTL = 10 * time.Second
	// maxFreshAge is the age up to which a contact makes a host fresh.
	maxFreshAge = 2 * time.Second
	// pauseTolerance is how late a tick may be before the host attributes missing
	// replies to a pause of its own process and not to its peers.
	pauseTolerance = 150 * time.Millisecond
	// minRoundInterval is the minimum time between two rounds when there are new
	// updates.
	minRoundInterval = 50 * time.Millisecond
)

const (
	// largeFleetThreshold is the number of hosts above which traffic is limited.
	largeFleetThreshold = 32
	// largeFleetInterval and largeFleetPeers result in 4 exchanges of about 420
	// bytes per 600 ms, two initiated by this host and two by others: 2.8 KB/s
	// without updates.
	largeFleetInterval = 600 * time.Millisecond
	largeFleetPeers    = 2
	// refreshInterval is the time between rounds of a host in a large fleet whose
	// last contact is older than refreshMinAge and younger than refreshMaxAge.
	refreshInterval = 150 * time.Millisecond
	refreshMinAge   = 1500 * time.Millisecond
	refreshMaxAge   = 10 * time.Second
	// largeFleetSuspicionTimeout allows for three more rounds of probes. With
	// fewer, a message loss of 10% makes hosts mark each other failed every few
	// minutes.
	largeFleetSuspicionTimeout = 3*largeFleetInterval + replyTimeout
	// trafficRate is the target traffic of a host in a large fleet, in bytes per
	// second over both directions; the limit is 4 KB/s.
	trafficRate = 3600
	// trafficBurst is the number of bytes that may be sent at once when there are
	// updates.
	trafficBurst = 8000
	// maxTrafficDebt limits how far, in bytes, the budget may be overdrawn. It
	// bounds the time with reduced updates after a burst, such as when a host joins.
	maxTrafficDebt = 1800
	// maxTombstones is the maximum number of tombstones of forgotten hosts.
	maxTombstones = 10_000
	// maxUpdateBytes is the maximum size of the updates in one heartbeat.
	maxUpdateBytes = 900
	// maxThrottledUpdateBytes is the same limit in a large fleet while the traffic
	// is over budget. The rounds themselves continue, since freshness and failure
	// detection depend on them.
	maxThrottledUpdateBytes = 300
	// maxFullStateBytes limits the size of a reply with all members and claims.
	maxFullStateBytes = 48 << 10
)

// An Action is an operation that the caller of a Core has to carry out: one of
// Send, IndirectProbe, Fetch, LogEvent and ViewChanged.
type Action interface{ isAction() }

// Send requests that a heartbeat is sent. Its result is passed to HandleReply or
// HandleSendError with the same ID.
type Send struct {
	ID        uint64
	Address   string
	Heartbeat Heartbeat
}

// IndirectProbe requests an indirect probe of Target by the host at Address. The
// result is passed to HandleProbeResult with the same ID.
type IndirectProbe struct {
	ID      uint64
	Address string
	Target  Host
}

// Fetch requests that the configuration is fetched from a peer that has at least
// the given revision. The result is passed to HandleFetchResult.
type Fetch struct {
	Host     string
	Address  string
	Revision uint64
	// Timeout is short at first, since the peer may hang, and grows after repeated
	// failures, since the configuration may be large.
	Timeout time.Duration
}

// LogEvent requests a log record: a host has changed its state, or there is a
// problem with the host.
type LogEvent struct {
	Message string
	Host    string
	State   State
	Reason  string
}

// ViewChanged indicates that hosts, claims or eligibility have changed.
type ViewChanged struct{}

func (Send) isAction()          {}
func (IndirectProbe) isAction() {}
func (Fetch) isAction()         {}
func (LogEvent) isAction()      {}
func (ViewChanged) isAction()   {}

// A Core is the state machine of the gossip protocol. It starts no goroutines and
// reads no clock: its methods receive the current time, with a monotonic clock
// reading, and return the actions to carry out. It is not safe for concurrent use.
type Core struct {
	// Self describes this host; its Incarnation is the start time in ns.
	Self Host
	// Seeds are addresses of other hosts.
	Seeds []HostEntry
	// Rand is the source of randomness for all random choices.
	Rand *rand.Rand

	started time.Time
	// nextTick is when the next Tick is due, as of the last Tick or NextTick.
	nextTick    time.Time
	actions     []Action
	viewChanged bool
	lastID      uint64

	// selfEligible reports whether services may be placed on this host. It is set
	// at selfEligibleAt.
	selfEligible   bool
	selfEligibleAt time.Time

	members map[string]*member
	// deadlineMembers holds the names of the members with a pending deadline: those
	// that are suspected, probed indirectly or not yet eligible. absent holds the
	// names of those that have failed or left.
	deadlineMembers map[string]bool
	absent          map[string]bool
	// generation is incremented when the set of present members changes.
	generation      int
	bitmapHostCache hostListCache
	// candidates holds the entries from the seeds and the platform's host list, by
	// peer address.
	candidates map[string]HostEntry
	// listed holds the names on the platform's current host list, and everListed
	// all names that have been on it.
	listed     map[string]bool
	everListed map[string]bool
	// tombstones holds the incarnations of forgotten hosts, so that descriptions of
	// them as failed that other hosts still send do not add them again.
	tombstones map[string]uint64

	pendingHeartbeats  map[uint64]pendingRequest
	pendingProbes      map[uint64]pendingRequest
	peerOrder          []string
	lastRound          time.Time
	nextRound          time.Time
	nextFailedRetry    time.Time
	nextCandidateRetry time.Time
	// byteTokens is the number of bytes that may be sent under trafficRate, negative
	// when overdrawn, as of byteTokensUpdatedAt.
	byteTokens          float64
	byteTokensUpdatedAt time.Time

	claims        map[string]Claim
	unavailable   map[unavailabilityKey]*unavailabilityEntry
	queuedUpdates map[updateKey]*queuedUpdate
	digest        uint64
	// digestChangedAt is when the digest last changed.
	digestChangedAt time.Time
	// digestMismatchPeer is the last host seen with a different digest, if any.
	digestMismatchPeer string
	nextFullRequest    time.Time

	revision      uint64
	fetching      bool
	nextFetch     time.Time
	fetchFailures int
	// newestRevision is the highest revision that any host is known to have had.
	newestRevision uint64
	confirmations  confirmationSet

	// lastContactAt is the latest time at which the store, or a fresh host, is known
	// to have had no newer revision than this host; lastContactSource names it.
	lastContactAt     time.Time
	lastContactSource string
	// recentlyPolled holds the names of the members that may have been polled within
	// maxFreshAge.
	recentlyPolled map[string]bool
	// requestTimesBuffer is reused to avoid an allocation per heartbeat.
	requestTimesBuffer []time.Time
}

// Start initializes the core. It must be called once, before all other methods.
func (c *Core) Start(now time.Time) []Action {
	c.started, c.nextTick = now, now
	c.selfEligibleAt = now.Add(eligibilityDelay)
	c.members = make(map[string]*member)
	c.deadlineMembers = make(map[string]bool)
	c.absent = make(map[string]bool)
	c.recentlyPolled = make(map[string]bool)
	c.everListed = make(map[string]bool)
	c.candidates = make(map[string]HostEntry)
	c.tombstones = make(map[string]uint64)
	c.pendingHeartbeats = make(map[uint64]pendingRequest)
	c.pendingProbes = make(map[uint64]pendingRequest)
	c.claims = make(map[string]Claim)
	c.unavailable = make(map[unavailabilityKey]*unavailabilityEntry)
	c.queuedUpdates = make(map[updateKey]*queuedUpdate)
	c.byteTokens, c.byteTokensUpdatedAt = trafficBurst, now
	c.digestChangedAt = now
	c.nextRound, c.nextFailedRetry, c.nextCandidateRetry = now, now.Add(failedRetryInterval), now
	for _, seed := range c.Seeds {
		c.addCandidate(seed)
	}
	c.digest = hostHash(c.Self)
	c.queueHostUpdate(c.Self.Name)
	c.viewChanged = true
	return c.takeActions()
}

// takeActions returns the queued actions and clears the queue.
func (c *Core) takeActions() []Action {
	if c.viewChanged {
		c.viewChanged = false
		c.actions = append(c.actions, ViewChanged{})
	}
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *Core) addAction(a Action) { c.actions = append(c.actions, a) }

func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// Tick processes all deadlines that have passed and starts a round if one is due.
func (c *Core) Tick(now time.Time) []Action {
	c.resetAfterPause(now)
	c.expireRequests(now)
	c.expireProbeDeadlines(now)
	c.failExpiredSuspects(now)
	c.forgetAbsentHosts(now)
	c.expireUnavailability(now)
	c.updateEligibility(now)
	c.fetchIfBehind(now)
	if !now.Before(c.nextRound) {
		c.runRound(now)
	}
	c.nextTick = c.nextDeadline(now)
	return c.takeActions()
}

// NextTick returns when Tick is due.
func (c *Core) NextTick(now time.Time) time.Time {
	c.nextTick = c.nextDeadline(now)
	return c.nextTick
}

// nextDeadline returns the earliest pending deadline, but not before now.
func (c *Core) nextDeadline(now time.Time) time.Time {
	next := c.nextRound
	earlier := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for _, p := range c.pendingHeartbeats {
		earlier(p.sentAt.Add(replyTimeout))
	}
	for name := range c.deadlineMembers {
		m := c.members[name]
		if m.State == Suspect && m.locallySuspected {
			earlier(m.suspicionDeadline)
		}
		if !m.probeDeadline.IsZero() {
			earlier(m.probeDeadline)
		}
		if !m.eligible && m.canHoldServices() {
			earlier(m.eligibleAt)
		}
	}
	if !c.selfEligible && c.Self.canHoldServices() {
		earlier(c.selfEligibleAt)
	}
	for _, u := range c.unavailable {
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

// resetAfterPause discards the pending requests and restarts the suspicion timeouts
// after this process was paused: replies may have arrived that it has not read.
func (c *Core) resetAfterPause(now time.Time) {
	late := now.Sub(c.nextTick)
	if late <= pauseTolerance {
		return
	}
	clear(c.pendingHeartbeats)
	clear(c.pendingProbes)
	for _, m := range c.members {
		m.probeDeadline = time.Time{}
		if m.State == Suspect {
			m.suspicionDeadline = now.Add(c.currentSuspicionTimeout())
		}
	}
}

// fleetSize returns the number of present hosts, including this one.
func (c *Core) fleetSize() int { return 1 + len(c.members) - len(c.absent) }

// updateIndexes updates deadlineMembers and absent after a change of a member.
func (c *Core) updateIndexes(m *member) {
	if m.present() == c.absent[m.Name] {
		c.generation++
	}
	if m.present() {
		delete(c.absent, m.Name)
	} else {
		c.absent[m.Name] = true
	}
	if m.State == Suspect || !m.probeDeadline.IsZero() || !m.eligible && m.canHoldServices() {
		c.deadlineMembers[m.Name] = true
	} else {
		delete(c.deadlineMembers, m.Name)
	}
}

// deadlineMemberNames returns the sorted names of the members that have a pending
// deadline and match.
func (c *Core) deadlineMemberNames(match func(*member) bool) []string {
	if len(c.deadlineMembers) == 0 {
		return nil
	}
	var names []string
	for name := range c.deadlineMembers {
		if match(c.members[name]) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *Core) isLargeFleet() bool { return c.fleetSize() > largeFleetThreshold }

func (c *Core) currentRoundInterval() time.Duration {
	if c.isLargeFleet() {
		return largeFleetInterval
	}
	return roundInterval
}

// nextRoundDelay returns the time until the next round. In a large fleet, a host
// that is about to lose its freshness polls other hosts more often.
func (c *Core) nextRoundDelay(now time.Time) time.Duration {
	if c.isLargeFleet() {
		at, _ := c.lastFreshAt(now)
		if age := now.Sub(at); age > refreshMinAge && age < refreshMaxAge {
			return refreshInterval
		}
	}
	return c.currentRoundInterval()
}

func (c *Core) currentSuspicionTimeout() time.Duration {
	if c.isLargeFleet() {
		return largeFleetSuspicionTimeout
	}
	return suspicionTimeout
}
