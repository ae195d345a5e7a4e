package workerapi

// Protections that tests disable to show which failure each one prevents.
const (
	SkipSeq           = skipSeq
	SkipLease         = skipLease
	SkipSettingsLease = skipSettingsLease
	SkipLossProposed  = skipLossProposed
	SkipCurrent       = skipCurrent
	SkipBase          = skipBase
)

// Skip disables the protections in p and enables all others.
func (l *Leader) Skip(p protection) { l.skip = p }
