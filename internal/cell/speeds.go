package cell

// WorkerSpeed is the lasting speed of one incarnation of a worker.
type WorkerSpeed struct {
	Incarnation Incarnation
	// Thousandths is the speed in thousandths of the nominal speed.
	Thousandths int64
}

// maxSpeed bounds the recorded speeds, in thousandths.
const maxSpeed = 100_000

// recordSpeeds stores the speeds of those incarnations that are the present ones.
func (s *State) recordSpeeds(speeds []WorkerSpeed) {
	for i := range speeds {
		if w := s.incarnation(speeds[i].Incarnation); w != nil {
			w.Speed = validSpeed(speeds[i].Thousandths)
		}
	}
}

// validSpeed returns the speed, or 0 (unknown) if it is out of range.
func validSpeed(thousandths int64) int64 {
	if thousandths < 0 || thousandths > maxSpeed {
		return 0
	}
	return thousandths
}

// knownSpeeds returns the speeds of the workers in the order of SortedWorkers, nil if none is
// known.
func (s *State) knownSpeeds() []int64 {
	speeds, known := make([]int64, 0, len(s.Workers)), false
	for _, w := range s.SortedWorkers() {
		speeds = append(speeds, w.Speed)
		known = known || w.Speed != 0
	}
	if !known {
		return nil
	}
	return speeds
}
