package gossiper

import "time"

// SetList takes in the platform's host list. The list lags: a host missing from
// it is forgotten only if it has failed or left, and one that is named in it is
// asked before it is believed.
func (c *Core) SetList(now time.Time, list []HostEntry) []Action {
	c.listed = make(map[string]bool, len(list))
	clear(c.candidates)
	for _, seed := range c.Seeds {
		c.addCandidate(seed)
	}
	for _, entry := range list {
		if entry.Name != "" {
			c.listed[entry.Name] = true
			c.onceListed[entry.Name] = true
		}
		c.addCandidate(entry)
	}
	c.expireFailed(now)
	return c.flush()
}

// addCandidate adds an address unless it is this host's own.
func (c *Core) addCandidate(entry HostEntry) {
	if entry.PeerAddress != "" && entry.PeerAddress != c.Self.PeerAddress && entry.Name != c.Self.Name {
		c.candidates[entry.PeerAddress] = entry
	}
}

// resolveCandidate notes which host answers at an address, which the host itself
// may write in another way.
func (c *Core) resolveCandidate(address, name string) {
	if entry, ok := c.candidates[address]; ok && entry.Name == "" {
		entry.Name = name
		c.candidates[address] = entry
	}
}

// unknownCandidates returns the addresses at which no known host is.
func (c *Core) unknownCandidates() []string {
	if len(c.candidates) == 0 {
		return nil
	}
	taken := make(map[string]bool, len(c.members))
	for _, m := range c.members {
		taken[m.PeerAddress] = true
	}
	var addresses []string
	for _, address := range sortedKeys(c.candidates) {
		entry := c.candidates[address]
		if !taken[address] && (entry.Name == "" || c.members[entry.Name] == nil) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// roundCandidates asks addresses whose hosts are not known.
func (c *Core) roundCandidates(now time.Time) {
	if now.Before(c.nextCandidate) {
		return
	}
	c.nextCandidate = now.Add(candidateInterval)
	addresses := c.unknownCandidates()
	c.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(roundPeers, len(addresses))] {
		c.contact("", address, now)
	}
}

// Announce sends heartbeats to all hosts, or to as many as a round has in a
// large fleet, apart from the rounds.
func (c *Core) Announce(now time.Time) []Action {
	names := c.sortedNames((*member).present)
	c.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if c.large() {
		names = names[:roundPeers]
	}
	for _, name := range names {
		c.contact(name, c.members[name].PeerAddress, now)
	}
	return c.flush()
}
