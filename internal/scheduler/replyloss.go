package scheduler

const (
	// lossWeight is the weight of one renewal in the moving average of lost replies.
	lossWeight = 1.0 / 256
	// highLoss is the share of lost replies from which on it counts as high.
	highLoss = 0.02
)

// replyLoss estimates the share of the renewals of reachable workers whose reply gets
// lost, as an exponential moving average.
type replyLoss struct{ share float64 }

// observe adds a renewal to the average.
func (l *replyLoss) observe(lost bool) {
	sample := 0.0
	if lost {
		sample = 1
	}
	l.share += lossWeight * (sample - l.share)
}

// high reports whether so many replies get lost that renewals had better be short.
func (l *replyLoss) high() bool { return l.share > highLoss }
