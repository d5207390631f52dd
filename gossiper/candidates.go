package gossiper

import "time"

// SetHostList processes the platform's host list. The list may be out of date: a
// host that is missing from it is forgotten only if it has failed or left, and a
// host that is on it is contacted before it is taken as a member.
func (c *Core) SetHostList(now time.Time, list []HostEntry) []Action {
	c.listed = make(map[string]bool, len(list))
	clear(c.candidates)
	for _, seed := range c.Seeds {
		c.addCandidate(seed)
	}
	for _, entry := range list {
		if entry.Name != "" {
			c.listed[entry.Name] = true
			c.everListed[entry.Name] = true
		}
		c.addCandidate(entry)
	}
	c.forgetAbsentHosts(now)
	return c.takeActions()
}

// addCandidate adds an address to the candidates unless it is this host's own.
func (c *Core) addCandidate(entry HostEntry) {
	if entry.PeerAddress != "" && entry.PeerAddress != c.Self.PeerAddress && entry.Name != c.Self.Name {
		c.candidates[entry.PeerAddress] = entry
	}
}

// setCandidateName records which host replied at a candidate address. The host
// itself may announce another spelling of that address.
func (c *Core) setCandidateName(address, name string) {
	if entry, ok := c.candidates[address]; ok && entry.Name == "" {
		entry.Name = name
		c.candidates[address] = entry
	}
}

// unresolvedCandidates returns the candidate addresses that belong to no known host.
func (c *Core) unresolvedCandidates() []string {
	if len(c.candidates) == 0 {
		return nil
	}
	knownAddresses := make(map[string]bool, len(c.members))
	for _, m := range c.members {
		knownAddresses[m.PeerAddress] = true
	}
	var addresses []string
	for _, address := range sortedKeys(c.candidates) {
		entry := c.candidates[address]
		if !knownAddresses[address] && (entry.Name == "" || c.members[entry.Name] == nil) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// retryCandidates sends heartbeats to some of the candidate addresses that belong
// to no known host.
func (c *Core) retryCandidates(now time.Time) {
	if now.Before(c.nextCandidateRetry) {
		return
	}
	c.nextCandidateRetry = now.Add(candidateRetryInterval)
	addresses := c.unresolvedCandidates()
	c.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(roundPeers, len(addresses))] {
		c.sendHeartbeat("", address, now)
	}
}

// BroadcastHeartbeats sends heartbeats to all present hosts, or to roundPeers of
// them in a large fleet, independently of the rounds.
func (c *Core) BroadcastHeartbeats(now time.Time) []Action {
	names := c.sortedNames((*member).present)
	c.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if c.isLargeFleet() {
		names = names[:roundPeers]
	}
	for _, name := range names {
		c.sendHeartbeat(name, c.members[name].PeerAddress, now)
	}
	return c.takeActions()
}
