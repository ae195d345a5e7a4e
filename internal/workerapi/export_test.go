package workerapi

// Protections that tests switch off to show what they are for.
const (
	SkipSeq      = skipSeq
	SkipLease    = skipLease
	SkipMayStart = skipMayStart
	SkipLosing   = skipLosing
	SkipCurrent  = skipCurrent
	SkipBase     = skipBase
)

// Skip switches protections off.
func (l *Leader) Skip(p protection) { l.skip = p }

// Merge applies the changes of a report to its base.
var Merge = merge
