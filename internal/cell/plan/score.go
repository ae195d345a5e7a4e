package plan

import "math"

// bestWorker returns the worker with the highest score among those on which a
// task of the step fits, or nil if there is none.
func bestWorker(s *Pending, ws []*Worker) *Worker {
	var best *Worker
	bestScore := math.Inf(-1)
	for _, w := range ws {
		if !fits(s, w) {
			continue
		}
		if score := score(s, w); score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// Weights of the terms of a worker's score.
const (
	suspectWeight  = -100.0
	dataRackWeight = 50.0
	speedWeight    = 10.0
	bestFitWeight  = 1.0
)

// score rates a worker for a task of the step; higher is better. In order of
// weight it prefers workers that are not suspect, those in the rack of the step's
// data, those of the speed that suits the step (see speedScore), and those with the
// least free CPU left after the task (best fit), in units of 16 cores.
func score(s *Pending, w *Worker) float64 {
	v := s.speedScore(w)
	if w.Suspect {
		v += suspectWeight
	}
	if s.Step.DataRack != "" && w.Rack == s.Step.DataRack {
		v += dataRackWeight
	}
	left := w.Free.Sub(s.Step.Reserved())
	v -= bestFitWeight * float64(left.MilliCPU) / 16000
	return v
}
