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

// Source draws the choices of a random run.
type Source interface {
	// Intn returns a number from 0 to n-1.
	Intn(n int) int
}

// settingsLease is how long the data centre acts on settings not renewed.
const settingsLease = 3 * time.Second

// Chaos drives a cell at random through lost and late messages, silent and
// restarted workers, leader changes, delayed commands and operators' changes,
// and checks after each step what must always hold.
type Chaos struct {
	*Cell
	src     Source
	fleet   fleet
	procs   []*proc
	delayed []func()
	// commands were proposed and may still be committed.
	commands   []*work.Command
	requests   []func()
	leaseUntil clock.Instant
	starts     map[model.TaskID]int
	faults     worker.Faults
	jobs       int
	serial     int
	violation  string
}

// proc is a worker's process. A silent one is cut off until an instant.
type proc struct {
	core   *worker.Core
	cfg    worker.Config
	silent clock.Instant
	// cut processes have been replaced and never reach control again.
	cut bool
}

// NewChaos returns a run with three workers.
func NewChaos(src Source, faults worker.Faults) *Chaos {
	ch := &Chaos{Cell: New(), src: src, starts: map[model.TaskID]int{}, faults: faults}
	ch.fleet.limit = model.Resources{MilliCPU: 9000, MemoryMB: 1 << 20}
	ch.fleet.generation = 1
	modes := []worker.Mode{worker.ModeHealthy, worker.ModeHealthy, worker.ModeFails}
	for i, mode := range modes {
		ch.spawn(worker.Config{
			ID: model.WorkerID(fmt.Sprintf("w%d", i)), DC: "dc1", Mode: mode, FailAfter: 50 * time.Millisecond,
			Size: model.Resources{MilliCPU: 4000, MemoryMB: 4096}, UsePercent: 60 + int64(i)*30,
			StopDelay: time.Duration(i) * 300 * time.Millisecond, Lag: time.Second,
		})
	}
	return ch
}

// WithFollower adds a second member, whose tables must stay the same.
func (ch *Chaos) WithFollower() *Chaos {
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

func (ch *Chaos) spawn(cfg worker.Config) {
	ch.serial++
	cfg.Incarnation = fmt.Sprintf("i%d", ch.serial)
	cfg.Events = ch
	cfg.Faults = ch.faults
	ch.procs = append(ch.procs, &proc{core: worker.NewCore(cfg), cfg: cfg})
}

// Run takes n steps and returns the first violation, or "".
func (ch *Chaos) Run(n int) string {
	for range n {
		ch.Clock.Advance(time.Duration(20+ch.src.Intn(600)) * time.Millisecond)
		ch.refresh()
		for _, p := range ch.procs {
			ch.contact(p)
		}
		ch.special()
		ch.system()
		ch.check()
		if ch.violation != "" {
			return ch.violation
		}
	}
	return ""
}

// refresh renews view and settings lease most of the time.
func (ch *Chaos) refresh() {
	if ch.src.Intn(10) > 0 {
		ch.View = ch.fleet.view(ch.View)
		ch.leaseUntil = ch.Clock.Now().Add(settingsLease)
	}
	left := max(0, ch.leaseUntil.Sub(ch.Clock.Now()))
	if ch.View.Out {
		left = 0
	}
	ch.Gate = workerapi.Gate{Leads: true, MayStart: left}
}

// contact carries one report, in one of several ways.
func (ch *Chaos) contact(p *proc) {
	now := ch.Clock.Now()
	p.core.Advance(now)
	if p.cut || now.Before(p.silent) {
		return
	}
	r := p.core.Report(now)
	switch ch.src.Intn(12) {
	case 0: // The report comes late, and its answer too.
		ch.later(func() { ch.answerTo(p, now, r) })
	case 1: // The answer is lost.
		ch.take(r)
	case 2: // The answer comes late.
		if o := ch.take(r); o != nil {
			ch.later(func() { ch.apply(p, now, o) })
		}
	case 3:
		if ch.src.Intn(4) == 0 {
			p.silent = now.Add(time.Duration(ch.src.Intn(9000)) * time.Millisecond)
		}
	default:
		ch.answerTo(p, now, r)
	}
}

func (ch *Chaos) answerTo(p *proc, askedAt clock.Instant, r *api.WorkerReport) {
	if o := ch.take(r); o != nil {
		ch.apply(p, askedAt, o)
	}
}

// take brings a report to the leader and returns its orders, or nil.
func (ch *Chaos) take(r *api.WorkerReport) *api.WorkerOrders {
	cmd, err := ch.Leader.Report("dc1", r)
	if err != nil {
		return nil
	}
	if !cmd.Empty() && ch.src.Intn(8) == 0 {
		ch.commands = append(ch.commands, cmd)
		return nil
	}
	if !cmd.Empty() {
		ch.commit(cmd)
	}
	o, _ := ch.Leader.Orders(r.Worker, ch.Clock.Now(), ch.Gate)
	return o
}

func (ch *Chaos) apply(p *proc, askedAt clock.Instant, o *api.WorkerOrders) {
	p.core.Advance(ch.Clock.Now())
	p.core.Apply(askedAt, ch.Clock.Now(), o)
}

func (ch *Chaos) later(f func()) { ch.delayed = append(ch.delayed, f) }

// system runs the systems; their command may be committed late or never.
func (ch *Chaos) system() {
	out := ch.Decided()
	if ch.src.Intn(6) == 0 {
		ch.commands = append(ch.commands, out.Command)
		out.Abandon()
	} else {
		r := ch.commit(out.Command)
		out.Commit(&ch.Log, &r)
	}
	for _, g := range out.Fleet.Grants {
		ch.requests = append(ch.requests, func() { ch.fleet.grant(g) })
	}
	for _, g := range out.Fleet.Returns {
		ch.requests = append(ch.requests, func() { ch.fleet.giveBack(g) })
	}
	for _, r := range out.Fleet.Reassign {
		ch.requests = append(ch.requests, func() { ch.fleet.reassign(r) })
	}
	for _, f := range out.Fleet.Finish {
		ch.requests = append(ch.requests, func() { ch.fleet.finish(f) })
	}
}

// pick takes one of the list at random, and drops it most of the time.
func pick[T any](src Source, list *[]T) (T, bool) {
	var none T
	if len(*list) == 0 {
		return none, false
	}
	i := src.Intn(len(*list))
	v := (*list)[i]
	if src.Intn(4) > 0 {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return v, true
}

// special does one thing out of the ordinary.
func (ch *Chaos) special() {
	if f, ok := pick(ch.src, &ch.requests); ok {
		f()
	}
	switch ch.src.Intn(16) {
	case 0, 1, 2:
		ch.submitAny()
	case 3, 4:
		if f, ok := pick(ch.src, &ch.delayed); ok {
			f()
		}
	case 5, 6:
		if c, ok := pick(ch.src, &ch.commands); ok {
			ch.commit(c)
		}
	case 7:
		ch.elect()
	case 8:
		ch.restart()
	case 9:
		ch.fleet.setOut(!ch.fleet.out, ch.Clock.Now())
	case 10:
		ch.fleet.takeFree()
	case 11:
		ch.fleet.other = model.Resources{}
		ch.fleet.target = ch.fleet.granted.Sub(model.Resources{MilliCPU: int64(ch.src.Intn(3)) * 1000}).Max(model.Resources{})
	case 12:
		ch.fleet.bringBack()
	case 13:
		ch.cancelAny()
	case 14:
		ch.restore()
	case 15:
		if ch.src.Intn(12) == 0 {
			ch.loseGroup()
		}
	}
}

func (ch *Chaos) submitAny() {
	if len(ch.fleet.jobs) > 12 {
		return
	}
	ch.jobs++
	classes := []model.Class{model.ClassBatch, model.ClassService, model.ClassGang, model.ClassUrgent}
	ch.fleet.submit(model.JobSpec{
		ID: model.JobID(fmt.Sprintf("j%d", ch.jobs)), Workspace: "t1", Class: classes[ch.src.Intn(len(classes))],
		Workload: "wl", Tasks: 1 + ch.src.Intn(4), RunMillis: int64(ch.src.Intn(8000)),
		Size:       model.Resources{MilliCPU: 500 + 500*int64(ch.src.Intn(3)), MemoryMB: 256},
		Idempotent: ch.src.Intn(3) > 0, MinRunning: ch.src.Intn(2),
	})
}

func (ch *Chaos) cancelAny() {
	if len(ch.fleet.jobs) > 0 {
		ch.fleet.revision++
		ch.fleet.jobs[ch.src.Intn(len(ch.fleet.jobs))].cancelled = true
	}
}

func (ch *Chaos) elect() {
	if ch.src.Intn(2) == 0 {
		// The old leader's last tick may be committed after the change.
		ch.commands = append(ch.commands, ch.Decided().Command)
	}
	ch.Elect()
}

// restart replaces a worker's process; the old one is dead, or cut off.
func (ch *Chaos) restart() {
	i := ch.src.Intn(len(ch.procs))
	p := ch.procs[i]
	if p.cut {
		return
	}
	p.cut = true
	ch.spawn(p.cfg)
	if ch.src.Intn(2) == 0 {
		ch.procs = append(ch.procs[:i:i], ch.procs[i+1:]...)
	}
}

func (ch *Chaos) restore() {
	ch.compare()
	data, err := ch.State.Snapshot()
	if err == nil {
		err = ch.State.Restore(data)
	}
	if err != nil {
		ch.fail("snapshot: %v", err)
	}
	ch.compare()
}

// loseGroup loses all tables; a new generation is rebuilt from reports.
func (ch *Chaos) loseGroup() {
	ch.State.Reset()
	if ch.Follower != nil {
		ch.Follower.Reset()
	}
	ch.commands = nil
	ch.fleet.generation++
	ch.fleet.revision++
	ch.Generation = ch.fleet.generation
	ch.Term = 0
	ch.Elect()
	ch.Propose(&work.Command{Epoch: ch.Leader.Epoch(), Rebuild: &work.Rebuild{Generation: ch.Generation}})
}

// Record implements eventlog.Recorder for the workers' events.
func (ch *Chaos) Record(e eventlog.Event) {
	if e.Kind != worker.EventStart {
		return
	}
	ch.starts[e.Task]++
	late := ch.Clock.Now().Sub(ch.fleet.outAt)
	if ch.fleet.out && late > settingsLease {
		ch.fail("task %s started %v after the data centre was taken out", e.Task, late)
	}
	if j := ch.State.Job(e.Job); j != nil && !j.Spec.Idempotent && ch.starts[e.Task] > 1 {
		ch.fail("task %s, not idempotent, started %d times", e.Task, ch.starts[e.Task])
	}
}
