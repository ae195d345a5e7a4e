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
	ch := &RandomSim{Cell: New(), source: source, starts: map[model.TaskID]int{}, faults: faults}
	ch.fleet.limit = model.Resources{MilliCPU: 9000, MemoryMB: 1 << 20}
	ch.fleet.generation = 1
	modes := []worker.Mode{worker.ModeHealthy, worker.ModeHealthy, worker.ModeFails}
	for i, mode := range modes {
		ch.startProcess(worker.Config{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), DC: "dc1", Mode: mode, FailAfter: 50 * time.Millisecond,
			Size: model.Resources{MilliCPU: 4000, MemoryMB: 4096}, UsePercent: 60 + int64(i)*30,
			StopDelay: time.Duration(i) * 300 * time.Millisecond, Lag: time.Second,
		})
	}
	return ch
}

// WithFollower adds a second member, whose replicated state must stay equal to
// the leader's.
func (ch *RandomSim) WithFollower() *RandomSim {
	ch.Follower = work.New()
	data, err := ch.State.Snapshot()
	if err == nil {
		err = ch.Follower.Restore(data)
	}
	if err != nil {
		ch.fail("snapshot: %v", err)
	}
	return ch
}

func (ch *RandomSim) startProcess(cfg worker.Config) {
	ch.processCount++
	cfg.Incarnation = fmt.Sprintf("i%d", ch.processCount)
	cfg.Events = ch
	cfg.Faults = ch.faults
	ch.processes = append(ch.processes, &process{core: worker.NewCore(cfg), cfg: cfg})
}

// Run simulates n steps and returns the first violation of an invariant, or "".
func (ch *RandomSim) Run(n int) string {
	for range n {
		ch.Clock.Advance(time.Duration(20+ch.source.Intn(600)) * time.Millisecond)
		ch.renewView()
		for _, p := range ch.processes {
			ch.exchangeReport(p)
		}
		ch.injectEvent()
		ch.runSystems()
		ch.checkInvariants()
		if ch.violation != "" {
			return ch.violation
		}
	}
	return ""
}

// renewView renews the view and the settings lease with a probability of 0.9 and
// sets the lease status for the leader.
func (ch *RandomSim) renewView() {
	if ch.source.Intn(10) > 0 {
		ch.View = ch.fleet.view(ch.View)
		ch.leaseExpiry = ch.Clock.Now().Add(settingsLease)
	}
	remaining := max(0, ch.leaseExpiry.Sub(ch.Clock.Now()))
	if ch.View.OutOfService {
		remaining = 0
	}
	ch.LeaseStatus = workerapi.LeaseStatus{LeaderLeaseValid: true, SettingsLeaseRemaining: remaining}
}

// exchangeReport exchanges one report of a worker, which may be lost or delayed.
func (ch *RandomSim) exchangeReport(p *process) {
	now := ch.Clock.Now()
	p.core.Advance(now)
	if p.replaced || now.Before(p.silentUntil) {
		return
	}
	r := p.core.Report(now)
	switch ch.source.Intn(12) {
	case 0: // The report is delayed, and with it the response.
		ch.delayMessage(func() { ch.reportAndApply(p, now, r) })
	case 1: // The response is lost.
		ch.deliverReport(r)
	case 2: // The response is delayed.
		if o := ch.deliverReport(r); o != nil {
			ch.delayMessage(func() { ch.applyOrders(p, now, o) })
		}
	case 3: // The report is lost, and the worker may become unreachable.
		if ch.source.Intn(4) == 0 {
			p.silentUntil = now.Add(time.Duration(ch.source.Intn(9000)) * time.Millisecond)
		}
	default:
		ch.reportAndApply(p, now, r)
	}
}

func (ch *RandomSim) reportAndApply(p *process, reportSentAt clock.Instant, r *api.WorkerReport) {
	if o := ch.deliverReport(r); o != nil {
		ch.applyOrders(p, reportSentAt, o)
	}
}

// deliverReport delivers a report to the leader and returns its orders. It
// returns nil if the leader refuses the report or doesn't commit its command.
func (ch *RandomSim) deliverReport(r *api.WorkerReport) *api.WorkerOrders {
	cmd, err := ch.Leader.Report("dc1", r)
	if err != nil {
		return nil
	}
	if !cmd.Empty() && ch.source.Intn(8) == 0 {
		ch.pendingCommands = append(ch.pendingCommands, cmd)
		return nil
	}
	if !cmd.Empty() {
		ch.commit(cmd)
	}
	o, _ := ch.Leader.Orders(r.Worker, ch.Clock.Now(), ch.LeaseStatus)
	return o
}

func (ch *RandomSim) applyOrders(p *process, reportSentAt clock.Instant, orders *api.WorkerOrders) {
	p.core.Advance(ch.Clock.Now())
	p.core.Apply(reportSentAt, ch.Clock.Now(), orders)
}

func (ch *RandomSim) delayMessage(f func()) { ch.delayedMessages = append(ch.delayedMessages, f) }

// runSystems runs the systems once. Their command may be committed late or
// never, and their requests reach the fleet late or never.
func (ch *RandomSim) runSystems() {
	out := ch.RunSystems()
	if ch.source.Intn(6) == 0 {
		ch.pendingCommands = append(ch.pendingCommands, out.Command)
		out.Abandon()
	} else {
		r := ch.commit(out.Command)
		out.Commit(&ch.Log, &r)
	}
	for _, g := range out.Fleet.Grants {
		ch.pendingRequests = append(ch.pendingRequests, func() { ch.fleet.grant(g) })
	}
	for _, g := range out.Fleet.Returns {
		ch.pendingRequests = append(ch.pendingRequests, func() { ch.fleet.returnGrant(g) })
	}
	for _, r := range out.Fleet.Reassign {
		ch.pendingRequests = append(ch.pendingRequests, func() { ch.fleet.reassign(r) })
	}
	for _, o := range out.Fleet.Outcomes {
		ch.pendingRequests = append(ch.pendingRequests, func() { ch.fleet.finish(o) })
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
func (ch *RandomSim) injectEvent() {
	if f, ok := pickOne(ch.source, &ch.pendingRequests); ok {
		f()
	}
	switch ch.source.Intn(16) {
	case 0, 1, 2:
		ch.submitRandomJob()
	case 3, 4:
		if f, ok := pickOne(ch.source, &ch.delayedMessages); ok {
			f()
		}
	case 5, 6:
		if c, ok := pickOne(ch.source, &ch.pendingCommands); ok {
			ch.commit(c)
		}
	case 7:
		ch.changeLeader()
	case 8:
		ch.restartWorker()
	case 9:
		ch.fleet.setOutOfService(!ch.fleet.outOfService, ch.Clock.Now())
	case 10:
		ch.fleet.grantFreeElsewhere()
	case 11: // The other data centre returns its grant, and the fleet recalls part of the local grant.
		ch.fleet.grantedElsewhere = model.Resources{}
		ch.fleet.target = ch.fleet.granted.Sub(model.Resources{MilliCPU: int64(ch.source.Intn(3)) * 1000}).Max(model.Resources{})
	case 12:
		ch.fleet.returnTasks()
	case 13:
		ch.cancelRandomJob()
	case 14:
		ch.restoreSnapshot()
	case 15:
		if ch.source.Intn(12) == 0 {
			ch.loseReplicatedState()
		}
	}
}

func (ch *RandomSim) submitRandomJob() {
	if len(ch.fleet.jobs) > 12 {
		return
	}
	ch.jobCount++
	classes := []model.Class{model.ClassBatch, model.ClassService, model.ClassGang, model.ClassUrgent}
	ch.fleet.submit(model.JobSpec{
		ID: model.JobID(fmt.Sprintf("j%d", ch.jobCount)), Workspace: "t1", Class: classes[ch.source.Intn(len(classes))],
		Workload: "wl", Tasks: 1 + ch.source.Intn(4), RunMillis: int64(ch.source.Intn(8000)),
		Size:       model.Resources{MilliCPU: 500 + 500*int64(ch.source.Intn(3)), MemoryMB: 256},
		Idempotent: ch.source.Intn(3) > 0, MinRunning: ch.source.Intn(2),
	})
}

func (ch *RandomSim) cancelRandomJob() {
	if len(ch.fleet.jobs) > 0 {
		ch.fleet.revision++
		ch.fleet.jobs[ch.source.Intn(len(ch.fleet.jobs))].cancelled = true
	}
}

func (ch *RandomSim) changeLeader() {
	if ch.source.Intn(2) == 0 {
		// The command of the old leader's last tick may be committed after the
		// leader change.
		ch.pendingCommands = append(ch.pendingCommands, ch.RunSystems().Command)
	}
	ch.Elect()
}

// restartWorker replaces a worker's process. The old process is dead or goes on
// running without reaching control.
func (ch *RandomSim) restartWorker() {
	i := ch.source.Intn(len(ch.processes))
	p := ch.processes[i]
	if p.replaced {
		return
	}
	p.replaced = true
	ch.startProcess(p.cfg)
	if ch.source.Intn(2) == 0 {
		ch.processes = append(ch.processes[:i:i], ch.processes[i+1:]...)
	}
}

func (ch *RandomSim) restoreSnapshot() {
	ch.compareMembers()
	data, err := ch.State.Snapshot()
	if err == nil {
		err = ch.State.Restore(data)
	}
	if err != nil {
		ch.fail("snapshot: %v", err)
	}
	ch.compareMembers()
}

// loseReplicatedState resets all members. A group of the next generation rebuilds
// the state from worker reports.
func (ch *RandomSim) loseReplicatedState() {
	ch.State.Reset()
	if ch.Follower != nil {
		ch.Follower.Reset()
	}
	ch.pendingCommands = nil
	ch.fleet.generation++
	ch.fleet.revision++
	ch.Generation = ch.fleet.generation
	ch.Term = 0
	ch.Elect()
	ch.Propose(&work.Command{Epoch: ch.Leader.Epoch(), Rebuild: &work.Rebuild{Generation: ch.Generation}})
}

// Record implements eventlog.Recorder for the workers' events.
func (ch *RandomSim) Record(e eventlog.Event) {
	if e.Kind != worker.EventStart {
		return
	}
	ch.starts[e.Task]++
	elapsed := ch.Clock.Now().Sub(ch.fleet.outChangedAt)
	if ch.fleet.outOfService && elapsed > settingsLease {
		ch.fail("task %s started %v after the data centre was taken out of service", e.Task, elapsed)
	}
	if j := ch.State.Job(e.Job); j != nil && !j.Spec.Idempotent && ch.starts[e.Task] > 1 {
		ch.fail("task %s is not idempotent and was started %d times", e.Task, ch.starts[e.Task])
	}
}
