package cell

import (
	"fmt"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/fake/worker"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
	"kumquatwing/internal/workerapi"
)

// Source is a source of random numbers.
type Source interface {
	// Intn returns a number from 0 to n-1.
	Intn(n int) int
}

// settingsLease is how long the data centre may start tasks without a renewal of
// its settings.
const settingsLease = 3 * time.Second

// RandomSim runs a Cell through random faults and operator commands: lost and
// delayed messages, unreachable and restarted workers, leader changes and
// delayed commits. After each step it checks the invariants.
type RandomSim struct {
	*Cell
	source          Source
	fleet           fleet
	processes       []*process
	delayedMessages []func()
	// pendingCommands were proposed and may still be committed, more than once
	// and in any order.
	pendingCommands []*work.Command
	pendingRequests []func()
	leaseExpiry     clock.Instant
	starts          map[model.TaskID]int
	faults          worker.Faults
	jobCount        int
	processCount    int
	violation       string
}

// process is a worker process. Until silentUntil it can't reach control.
type process struct {
	core        *worker.Core
	cfg         worker.Config
	silentUntil clock.Instant
	// replaced processes have a successor and never reach control again.
	replaced bool
}

// NewRandomSim returns a simulation with three workers.
func NewRandomSim(source Source, faults worker.Faults) *RandomSim {
	s := &RandomSim{Cell: New(), source: source, starts: map[model.TaskID]int{}, faults: faults}
	s.fleet.limit = model.Resources{MilliCPU: 9000, MemoryMB: 1 << 20}
	s.fleet.generation = 1
	modes := []worker.Mode{worker.ModeHealthy, worker.ModeHealthy, worker.ModeFails}
	for i, mode := range modes {
		s.startProcess(worker.Config{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), DC: "dc1", Mode: mode, FailAfter: 50 * time.Millisecond,
			Size: model.Resources{MilliCPU: 4000, MemoryMB: 4096}, UsePercent: 60 + int64(i)*30,
			StopDelay: time.Duration(i) * 300 * time.Millisecond, Lag: time.Second,
		})
	}
	return s
}

// WithFollower adds a second member, whose replicated state must stay equal to
// the leader's.
func (s *RandomSim) WithFollower() *RandomSim {
	s.Follower = work.New()
	data, err := s.State.Snapshot()
	if err == nil {
		err = s.Follower.Restore(data)
	}
	if err != nil {
		s.fail("snapshot: %v", err)
	}
	return s
}

func (s *RandomSim) startProcess(cfg worker.Config) {
	s.processCount++
	cfg.Incarnation = fmt.Sprintf("i%d", s.processCount)
	cfg.Events = s
	cfg.Faults = s.faults
	s.processes = append(s.processes, &process{core: worker.NewCore(cfg), cfg: cfg})
}

// Run simulates n steps and returns the first violation of an invariant, or "".
func (s *RandomSim) Run(n int) string {
	for range n {
		s.Clock.Advance(time.Duration(20+s.source.Intn(600)) * time.Millisecond)
		s.renewView()
		for _, p := range s.processes {
			s.exchangeReport(p)
		}
		s.injectEvent()
		s.tickWithFaults()
		s.checkInvariants()
		if s.violation != "" {
			return s.violation
		}
	}
	return ""
}

// renewView renews the view and the settings lease with a probability of 0.9 and
// sets the lease status for the leader.
func (s *RandomSim) renewView() {
	if s.source.Intn(10) > 0 {
		s.View = s.fleet.view(s.View)
		s.leaseExpiry = s.Clock.Now().Add(settingsLease)
	}
	remaining := max(0, s.leaseExpiry.Sub(s.Clock.Now()))
	if s.View.OutOfService {
		remaining = 0
	}
	s.LeaseStatus = workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: remaining}
}

// exchangeReport exchanges one report of a worker, which may be lost or delayed.
func (s *RandomSim) exchangeReport(p *process) {
	now := s.Clock.Now()
	p.core.Advance(now)
	if p.replaced || now.Before(p.silentUntil) {
		return
	}
	r := p.core.Report(now)
	switch s.source.Intn(12) {
	case 0: // The report is delayed, and with it the response.
		s.delayMessage(func() { s.reportAndApply(p, now, r) })
	case 1: // The response is lost.
		s.deliverReport(r)
	case 2: // The response is delayed.
		if o := s.deliverReport(r); o != nil {
			s.delayMessage(func() { s.applyOrders(p, now, o) })
		}
	case 3: // The report is lost, and the worker may become unreachable.
		if s.source.Intn(4) == 0 {
			p.silentUntil = now.Add(time.Duration(s.source.Intn(9000)) * time.Millisecond)
		}
	default:
		s.reportAndApply(p, now, r)
	}
}

func (s *RandomSim) reportAndApply(p *process, reportSentAt clock.Instant, r *api.WorkerReport) {
	if o := s.deliverReport(r); o != nil {
		s.applyOrders(p, reportSentAt, o)
	}
}

// deliverReport delivers a report to the leader and returns its orders. It
// returns nil if the leader refuses the report or doesn't commit its command.
func (s *RandomSim) deliverReport(r *api.WorkerReport) *api.WorkerOrders {
	cmd, err := s.Leader.Report("dc1", r)
	if err != nil {
		return nil
	}
	if !cmd.Empty() && s.source.Intn(8) == 0 {
		s.pendingCommands = append(s.pendingCommands, cmd)
		return nil
	}
	if !cmd.Empty() {
		s.commit(cmd)
	}
	o, _ := s.Leader.Orders(r.Worker, s.Clock.Now(), s.LeaseStatus)
	return o
}

func (s *RandomSim) applyOrders(p *process, reportSentAt clock.Instant, orders *api.WorkerOrders) {
	p.core.Advance(s.Clock.Now())
	p.core.Apply(reportSentAt, s.Clock.Now(), orders)
}

func (s *RandomSim) delayMessage(f func()) { s.delayedMessages = append(s.delayedMessages, f) }

// tickWithFaults runs the systems once. Their command may be committed late or
// never, and their requests reach the fleet late or never.
func (s *RandomSim) tickWithFaults() {
	out := s.RunSystems()
	if s.source.Intn(6) == 0 {
		s.pendingCommands = append(s.pendingCommands, out.Command)
		out.Abandon()
	} else {
		r := s.commit(out.Command)
		out.Commit(&s.Log, &r)
	}
	for _, g := range out.Fleet.Grants {
		s.pendingRequests = append(s.pendingRequests, func() { s.fleet.grant(g) })
	}
	for _, g := range out.Fleet.Returns {
		s.pendingRequests = append(s.pendingRequests, func() { s.fleet.returnGrant(g) })
	}
	for _, r := range out.Fleet.Reassign {
		s.pendingRequests = append(s.pendingRequests, func() { s.fleet.reassign(r) })
	}
	for _, o := range out.Fleet.Outcomes {
		s.pendingRequests = append(s.pendingRequests, func() { s.fleet.finish(o) })
	}
}

// pickOne returns a random element of the list and removes it with a probability
// of 0.75. An element that stays can be picked again, as a duplicate message.
func pickOne[T any](source Source, list *[]T) (T, bool) {
	var zero T
	if len(*list) == 0 {
		return zero, false
	}
	i := source.Intn(len(*list))
	v := (*list)[i]
	if source.Intn(4) > 0 {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return v, true
}

// injectEvent delivers a pending fleet request, if there is one, and injects one
// random fault or operator command.
func (s *RandomSim) injectEvent() {
	if f, ok := pickOne(s.source, &s.pendingRequests); ok {
		f()
	}
	switch s.source.Intn(16) {
	case 0, 1, 2:
		s.submitRandomJob()
	case 3, 4:
		if f, ok := pickOne(s.source, &s.delayedMessages); ok {
			f()
		}
	case 5, 6:
		if c, ok := pickOne(s.source, &s.pendingCommands); ok {
			s.commit(c)
		}
	case 7:
		s.changeLeader()
	case 8:
		s.restartWorker()
	case 9:
		s.fleet.setOutOfService(!s.fleet.outOfService, s.Clock.Now())
	case 10:
		s.fleet.grantFreeElsewhere()
	case 11: // The other data centre returns its grant, and the fleet recalls part of the local grant.
		s.fleet.grantedElsewhere = model.Resources{}
		s.fleet.target = s.fleet.granted.Sub(model.Resources{MilliCPU: int64(s.source.Intn(3)) * 1000}).Max(model.Resources{})
	case 12:
		s.fleet.returnTasks()
	case 13:
		s.cancelRandomJob()
	case 14:
		s.restoreSnapshot()
	case 15:
		if s.source.Intn(12) == 0 {
			s.loseReplicatedState()
		}
	}
}

func (s *RandomSim) submitRandomJob() {
	if len(s.fleet.jobs) > 12 {
		return
	}
	s.jobCount++
	classes := []model.Class{model.ClassBatch, model.ClassService, model.ClassGang, model.ClassUrgent}
	s.fleet.submit(model.JobSpec{
		ID: model.JobID(fmt.Sprintf("j%d", s.jobCount)), Workspace: "t1", Class: classes[s.source.Intn(len(classes))],
		Workload: "wl", Tasks: 1 + s.source.Intn(4), RunMillis: int64(s.source.Intn(8000)),
		Size:       model.Resources{MilliCPU: 500 + 500*int64(s.source.Intn(3)), MemoryMB: 256},
		Idempotent: s.source.Intn(3) > 0, MinRunning: s.source.Intn(2),
	})
}

func (s *RandomSim) cancelRandomJob() {
	if len(s.fleet.jobs) > 0 {
		s.fleet.revision++
		s.fleet.jobs[s.source.Intn(len(s.fleet.jobs))].cancelled = true
	}
}

func (s *RandomSim) changeLeader() {
	if s.source.Intn(2) == 0 {
		// The command of the old leader's last tick may be committed after the
		// leader change.
		s.pendingCommands = append(s.pendingCommands, s.RunSystems().Command)
	}
	s.Elect()
}

// restartWorker replaces a worker's process. The old process is dead or goes on
// running without reaching control.
func (s *RandomSim) restartWorker() {
	i := s.source.Intn(len(s.processes))
	p := s.processes[i]
	if p.replaced {
		return
	}
	p.replaced = true
	s.startProcess(p.cfg)
	if s.source.Intn(2) == 0 {
		s.processes = append(s.processes[:i:i], s.processes[i+1:]...)
	}
}

func (s *RandomSim) restoreSnapshot() {
	s.compareMembers()
	data, err := s.State.Snapshot()
	if err == nil {
		err = s.State.Restore(data)
	}
	if err != nil {
		s.fail("snapshot: %v", err)
	}
	s.compareMembers()
}

// loseReplicatedState resets all members. A group of the next generation rebuilds
// the state from worker reports.
func (s *RandomSim) loseReplicatedState() {
	s.State.Reset()
	if s.Follower != nil {
		s.Follower.Reset()
	}
	s.pendingCommands = nil
	s.fleet.generation++
	s.fleet.revision++
	s.Generation = s.fleet.generation
	s.Term = 0
	s.Elect()
	s.Propose(&work.Command{Epoch: s.Leader.Epoch(), Rebuild: &work.Rebuild{Generation: s.Generation}})
}

// Record implements eventlog.Recorder for the workers' events.
func (s *RandomSim) Record(e eventlog.Event) {
	if e.Kind != worker.EventStart {
		return
	}
	s.starts[e.Task]++
	elapsed := s.Clock.Now().Sub(s.fleet.outChangedAt)
	if s.fleet.outOfService && elapsed > settingsLease {
		s.fail("task %s started %v after the data centre was taken out of service", e.Task, elapsed)
	}
	if j := s.State.Job(e.Job); j != nil && !j.Spec.Idempotent && s.starts[e.Task] > 1 {
		s.fail("task %s is not idempotent and was started %d times", e.Task, s.starts[e.Task])
	}
}
