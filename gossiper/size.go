package gossiper

import (
	"cmp"
	"slices"
)

// messageOverhead is the number of bytes that drpc and TCP add to a heartbeat: about
// 40 bytes for frames and the method name, and 52 bytes for headers.
const messageOverhead = 92

// Size estimates the encoded size of the heartbeat in bytes.
func (h Heartbeat) Size() int {
	size := 26 + h.From.size()
	for _, m := range h.Members {
		size += m.size()
	}
	for _, c := range h.Claims {
		size += c.size()
	}
	for _, u := range h.UnavailabilityReports {
		size += u.size()
	}
	if len(h.Confirmations.Bitmap) > 0 {
		size += 16 + len(h.Confirmations.Bitmap)
	}
	return size
}

func (h Host) size() int {
	return 24 + len(h.Name) + len(h.DataCentre) + len(h.PeerAddress) + len(h.ClientAddress)
}

func (c Claim) size() int { return 20 + len(c.Service) + len(c.Host) }

func (u UnavailabilityReport) size() int { return 22 + len(u.Service) + len(u.Host) }

// sortedNames returns the sorted names of the members that match. The order makes
// runs with the same random source reproducible.
func (c *Core) sortedNames(match func(*member) bool) []string {
	names := make([]string, 0, len(c.members))
	for name, m := range c.members {
		if match(m) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
