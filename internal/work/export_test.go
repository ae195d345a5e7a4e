package work

// Protections that tests switch off to show what they are for.
const (
	SkipEpoch      = skipEpoch
	SkipRoom       = skipRoom
	SkipGrant      = skipGrant
	SkipGang       = skipGang
	SkipOut        = skipOut
	SkipIdempotent = skipIdempotent
	SkipView       = skipView
	SkipStanding   = skipStanding
	SkipVersion    = skipVersion
)

// Skip switches protections off.
func (s *State) Skip(p protection) { s.skip = p }
