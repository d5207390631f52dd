package exchanger

import (
	"maps"
	"slices"
)

// A delivery tracks which records have reached a process that is complete up to a later
// revision: a host sends its own writes of the last seconds regardless of that revision,
// because the watches of other hosts may miss them. Without it the leader of a large fleet
// would send the list of voters, which names all hosts, to each host several times a second.
// Its zero value stands for a process to which nothing was sent. Its maps are replaced and
// never changed, so that copies are independent.
type delivery struct {
	// confirmed and sent hold the revisions of records by key: of those that the process has
	// processed, and of those in the last message.
	confirmed, sent map[string]int64
}

// next returns the records to send, with a report of ownRevision, to a process that is complete
// up to revision. They are the given ones without those that it has.
func (d *delivery) next(records []Record, revision, ownRevision int64) []Record {
	confirmed := make(map[string]int64)
	d.sent = make(map[string]int64)
	kept := make([]Record, 0, len(records))
	var known []Record
	for _, record := range records {
		if d.confirmed[record.Key] == record.Revision {
			confirmed[record.Key] = record.Revision
			known = append(known, record)
			continue
		}
		if record.Revision <= revision || record.Revision > ownRevision {
			d.sent[record.Key] = record.Revision
		}
		kept = append(kept, record)
	}
	d.confirmed = confirmed
	if len(kept) == 0 && len(known) > 0 && ownRevision > revision {
		// Without any record the message would not show that it is complete.
		kept = append(kept, slices.MinFunc(known, func(a, b Record) int { return len(a.Value) - len(b.Value) }))
	}
	return kept
}

// confirm records that the process has processed the last message.
func (d *delivery) confirm() {
	confirmed := make(map[string]int64, len(d.confirmed)+len(d.sent))
	maps.Copy(confirmed, d.confirmed)
	maps.Copy(confirmed, d.sent)
	d.confirmed, d.sent = confirmed, nil
}

// forgetSent records that the process may not process the last message.
func (d *delivery) forgetSent() { d.sent = nil }
