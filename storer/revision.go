package storer

// revisionBits is how many bits of a revision number the changes within an era. A store
// that makes 10,000 changes a second takes three years to use them.
const revisionBits = 40

// MaxRevision is above every revision that a service gives out in an era.
const MaxRevision = 1<<revisionBits - 1

// JoinRevision returns the revision of a KeyValueStore for a revision that the service
// gave out in an era. A service that comes back from an older copy gives out revisions
// again, in the next era; joined revisions of a later era are greater than all of an
// earlier one, so that they order changes over all eras.
func JoinRevision(era, revision int64) int64 { return era<<revisionBits | revision }

// SplitRevision returns the era and the service's own revision of a joined revision.
func SplitRevision(joined int64) (era, revision int64) {
	return joined >> revisionBits, joined & MaxRevision
}

// EraOf returns the era of a joined revision.
func EraOf(joined int64) int64 { return joined >> revisionBits }
