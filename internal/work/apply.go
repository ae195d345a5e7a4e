package work

import (
	"slices"

	"kumquatwing/internal/model"
)

// checkSet is a bit set of the checks that tests disable one at a time.
type checkSet uint32

const (
	skipEpoch checkSet = 1 << iota
	skipCapacity
	skipGrant
	skipGang
	skipOutOfService
	skipIdempotence
	skipFleetRevision
	skipSession
	skipGrantVersion
)

// attemptsPerGeneration separates the attempt numbers that a task had before and
// after its group lost its state: each generation starts this much higher.
const attemptsPerGeneration = 1 << 16

// Apply executes a command at the group time nowMillis.
func (s *State) Apply(nowMillis int64, c *Command) Result {
	if c.Epoch != 0 && c.Epoch < s.epoch && s.skip&skipEpoch == 0 {
		return Result{Refused: ReasonOldEpoch}
	}
	s.epoch = max(s.epoch, c.Epoch)
	s.applySettings(c)
	s.applyWorkers(nowMillis, c)
	s.applyRuns(nowMillis, c)
	s.applyStops(c)
	var r Result
	r.Place = s.applyPlace(nowMillis, c.Place)
	if s.acceptFleetRevision(c) {
		for _, id := range c.Forget {
			s.forget(id)
		}
	}
	return r
}

// acceptFleetRevision reports whether c is based on a fleet revision no older
// than the newest applied one, and records that revision.
func (s *State) acceptFleetRevision(c *Command) bool {
	if c.FleetRevision < s.fleetRevision && s.skip&skipFleetRevision == 0 {
		return false
	}
	s.fleetRevision = max(s.fleetRevision, c.FleetRevision)
	return true
}

func (s *State) applySettings(c *Command) {
	if c.Rebuild != nil && c.Rebuild.Generation > s.generation {
		s.generation = c.Rebuild.Generation
		s.rebuilding = true
	}
	if c.Out != nil && c.Out.Revision >= s.outOfService.Revision {
		s.outOfService = *c.Out
	}
	if c.LeaseTerm != nil {
		s.leaseMillis = max(s.leaseMillis, c.LeaseTerm.Millis)
	}
}

func (s *State) applyWorkers(nowMillis int64, c *Command) {
	for i := range c.Lost {
		s.markLost(nowMillis, &c.Lost[i])
	}
	for i := range c.Register {
		s.register(&c.Register[i])
	}
}

func (s *State) applyRuns(nowMillis int64, c *Command) {
	if s.acceptFleetRevision(c) {
		for i := range c.Admit {
			s.admit(nowMillis, &c.Admit[i])
		}
	}
	for i := range c.Adopt {
		s.adopt(nowMillis, &c.Adopt[i])
	}
	for i := range c.Started {
		s.markStarted(nowMillis, c.Started[i].RunID)
	}
	for i := range c.Usage {
		s.applyUsage(nowMillis, &c.Usage[i])
	}
	for i := range c.Ended {
		s.endRun(nowMillis, &c.Ended[i])
	}
	if c.Rebuilt != nil && s.rebuilding && c.Rebuilt.Generation == s.generation {
		s.finishRebuild()
	}
}

func (s *State) applyStops(c *Command) {
	if s.acceptFleetRevision(c) {
		for _, id := range c.Cancel {
			s.endJob(id, model.OutcomeCancelled, ReasonCancelled)
		}
	}
	for _, f := range c.Fail {
		s.endJob(f.Job, f.Outcome, f.Reason)
	}
	for i := range c.Stop {
		s.stop(&c.Stop[i])
	}
	for _, id := range c.Release {
		s.release(id)
	}
	for _, g := range c.Grants {
		s.setGrant(g)
	}
	for i := range c.Quarantine {
		s.quarantine(&c.Quarantine[i])
	}
}

// markLost marks a worker lost and frees its reservations. The worker's lease
// has provably ended.
func (s *State) markLost(nowMillis int64, l *WorkerLost) {
	w := s.workers[l.Worker]
	if w == nil || w.State == model.WorkerLost {
		return
	}
	if l.Session != w.Session && s.skip&skipSession == 0 {
		return
	}
	for _, t := range slices.Clone(w.tasks) {
		run := t.Run()
		s.unreserve(t)
		e := &Ended{Outcome: model.OutcomeNone, Reason: ReasonWorkerLost}
		s.updateTaskAfterRun(nowMillis, t, e)
		s.recordChange(run, t, e)
	}
	w.State = model.WorkerLost
	w.Reason = l.Reason
}

// register adds a worker or updates its incarnation. A lost worker becomes ready
// in a new session.
func (s *State) register(r *Register) {
	w := s.workers[r.Worker]
	if w == nil {
		w = &Worker{Worker: model.Worker{ID: r.Worker, State: model.WorkerLost}}
		s.workers[r.Worker] = w
		i, _ := slices.BinarySearchFunc(s.workersByID, r.Worker, compareWorkerID)
		s.workersByID = slices.Insert(s.workersByID, i, w)
	}
	changed := w.Incarnation != r.Incarnation
	if slices.Contains(w.Past, r.Incarnation) || changed && len(w.tasks) > 0 {
		return
	}
	if changed && w.Incarnation != "" {
		w.Past = appendBounded(w.Past, w.Incarnation, maxPastIncarnations)
	}
	w.DC, w.Rack, w.Size, w.Incarnation = r.DC, r.Rack, r.Size, r.Incarnation
	if w.State == model.WorkerLost {
		w.State = model.WorkerReady
		w.Reason = ""
		w.Session++
	}
	if w.QuarantineMillis > 0 {
		w.State = model.WorkerQuarantined
	}
}

// setGrant changes a workspace's cap. Lowering is always safe. Raising requires a
// newer version of the fleet's grant, since the cap may have been lowered to
// return the rest of the applied version.
func (s *State) setGrant(g SetGrant) {
	old := s.grants[g.Workspace]
	raises := !g.Cap.Fits(old.Cap)
	if raises && g.Version <= old.Version && s.skip&skipGrantVersion == 0 {
		return
	}
	s.grants[g.Workspace] = Grant{
		Cap:       g.Cap.Max(s.usage[g.Workspace]),
		Version:   max(old.Version, g.Version),
		Returning: g.Returning,
	}
}

func (s *State) quarantine(q *SetQuarantine) {
	w := s.workers[q.Worker]
	if w == nil {
		return
	}
	switch {
	case q.Passed:
		w.Probation = false
		w.Quarantines = 0
	case q.UntilMillis > 0:
		w.QuarantineMillis = q.UntilMillis
		w.Quarantines++
		w.Probation = false
		w.FailedRuns = nil
		if w.State == model.WorkerReady {
			w.State = model.WorkerQuarantined
		}
	default:
		w.QuarantineMillis = 0
		w.Probation = true
		if w.State == model.WorkerQuarantined {
			w.State = model.WorkerReady
		}
	}
	w.Reason = q.Reason
}

// appendBounded appends v and removes the oldest entries above limit.
func appendBounded[T any](list []T, v T, limit int) []T {
	list = append(list, v)
	if over := len(list) - limit; over > 0 {
		list = slices.Delete(list, 0, over)
	}
	return list
}
