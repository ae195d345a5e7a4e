package work

// Checks that tests disable to show the failures which the checks prevent.
const (
	SkipEpoch         = skipEpoch
	SkipCapacity      = skipCapacity
	SkipGrant         = skipGrant
	SkipGang          = skipGang
	SkipOutOfService  = skipOutOfService
	SkipIdempotence   = skipIdempotence
	SkipFleetRevision = skipFleetRevision
	SkipSession       = skipSession
	SkipGrantVersion  = skipGrantVersion
)

// Skip disables the checks in c.
func (s *State) Skip(c checkSet) { s.skip = c }
