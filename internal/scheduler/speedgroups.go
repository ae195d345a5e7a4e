package scheduler

import (
	"math"
)

const (
	// minGroupWorkers is the number of workers of known speed that a group needs, and
	// maxGroupSpread the largest ratio between the 90 % and the 10 % quantiles of their
	// speeds, for the group to tell the speed of its other workers.
	minGroupWorkers = 3
	maxGroupSpread  = 1.25
)

// groupSpeed is the speed of a group of workers.
type groupSpeed struct {
	log     float64
	workers int
}

// updateGroups computes the speeds of groups: of the workers with the same label, such as
// a rack or a kind, and of all.
func (s *Scheduler) updateGroups() {
	byLabel := map[string][]float64{}
	var all []float64
	for _, se := range s.sessions {
		if !se.speed.known() {
			continue
		}
		log := se.speed.log()
		if se.speed.recorded != 0 {
			// As for the workers themselves in expectedSpeed.
			log = math.Log(float64(se.speed.recorded) / 1000)
		}
		all = append(all, log)
		for _, label := range se.labels {
			byLabel[label] = append(byLabel[label], log)
		}
	}
	s.speeds.others = 0
	if len(all) >= minGroupWorkers {
		s.speeds.others = median(all)
	}
	clear(s.speeds.groups)
	for label, logs := range byLabel {
		if len(logs) < minGroupWorkers {
			continue
		}
		middle := median(logs)
		low, high := logs[len(logs)/10], logs[len(logs)-1-len(logs)/10]
		if high-low <= math.Log(maxGroupSpread) {
			s.speeds.groups[label] = groupSpeed{middle, len(logs)}
		}
	}
}

// groupSpeedOf returns the logarithm of the speed of the worker's group: the largest group
// of equal workers of which it has the label, or else all workers.
func (s *Scheduler) groupSpeedOf(se *session) float64 {
	best := groupSpeed{log: s.speeds.others}
	for _, label := range se.labels {
		if g := s.speeds.groups[label]; g.workers > best.workers {
			best = g
		}
	}
	return best.log
}
