package cellapi

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/cell"
)

// runningJob makes the server hold a job of the queue whose only task is placed.
func runningJob(t *testing.T, s *Server, id cell.JobID, objectiveMillis int64) *cell.Job {
	t.Helper()
	queue := cell.Queue{Name: "q-" + string(id), Host: "h", Prefix: "/" + string(id) + "/", TimeoutMillis: 1000, ObjectiveMillis: objectiveMillis, Pool: "p", Open: true}
	job := &cell.Job{ID: id, Queue: queue.Name, Steps: []cell.Step{{Count: 1}}, State: cell.JobRunning}
	job.Occurrences = []cell.Occurrence{{Steps: []cell.StepState{{Tasks: []cell.Task{{Status: cell.TaskPlaced}}, Placed: 1}}}}
	apply(t, s, &cell.Command{Configure: &cell.Configure{Config: cell.Config{Version: s.State.Config.Version + 1, Queues: []cell.Queue{queue}}, Document: []byte("{}")}})
	s.State.Read(func() { s.State.Jobs[id], s.State.Active[id] = job, job })
	return job
}

// apply applies a command to the state of the server.
func apply(t *testing.T, s *Server, c *cell.Command) {
	t.Helper()
	data, err := c.Encode()
	qt.Check(t, err, qt.IsNil)
	s.State.Apply(s.State.Applied+1, data)
}

// end ends the job as a committed cancel does, after the given time.
func end(t *testing.T, s *Server, id cell.JobID, after time.Duration) {
	time.AfterFunc(after, func() { apply(t, s, &cell.Command{Cancel: &cell.Cancel{ID: id}}) })
}

// A caller of a queue with a short objective reads the state as the last task ends. It
// must learn of the end with this read and not with its next one.
func TestReadWaitsForEndOfJob(t *testing.T) {
	s, _ := newServer(t)
	j := runningJob(t, s, "a", 1<<20)
	end(t, s, "a", 10*time.Millisecond)
	r := s.awaitJob(context.Background(), "a", &caller{})
	qt.Assert(t, r, qt.IsNotNil)
	qt.Check(t, r.State, qt.Equals, cell.JobCancelled)
	qt.Check(t, j.State, qt.Equals, cell.JobCancelled)
	qt.Check(t, s.waitingReads, qt.Equals, 0)
}

// A read must not wait where no end can come: tasks that wait for a worker, occurrences
// to come, service tasks, and queues whose callers state no objective.
func TestReadWaitsOnlyForJobsAboutToEnd(t *testing.T) {
	queue := &cell.Queue{ObjectiveMillis: 200}
	s, _ := newServer(t)
	placed := runningJob(t, s, "b", 200)
	qt.Check(t, stateWait(queue, placed), qt.Equals, 50*time.Millisecond)
	qt.Check(t, stateWait(&cell.Queue{ObjectiveMillis: 10_000}, placed), qt.Equals, maxStateWait)
	qt.Check(t, stateWait(&cell.Queue{}, placed), qt.Equals, time.Duration(0))
	for name, change := range map[string]func(j *cell.Job){
		"a task waits":          func(j *cell.Job) { j.Occurrences[0].Steps[0].Placed = 0 },
		"an occurrence comes":   func(j *cell.Job) { j.Schedule.Times = 2 },
		"a service task":        func(j *cell.Job) { j.Steps[0].Service = true },
		"the job has not begun": func(j *cell.Job) { j.State = cell.JobPending },
		"the job has ended":     func(j *cell.Job) { j.State = cell.JobSucceeded },
	} {
		j := runningJob(t, s, "c", 200)
		change(j)
		qt.Check(t, stateWait(queue, j), qt.Equals, time.Duration(0), qt.Commentf("%s", name))
	}
}

// Many reads at once must not take the handlers that other reads need, and each leaves
// nothing behind. A snapshot that is restored meanwhile ends the waits.
func TestWaitingReadsAreBounded(t *testing.T) {
	s, _ := newServer(t)
	runningJob(t, s, "d", 1<<20)
	s.waitingReads = maxWaitingReads
	r := s.awaitJob(context.Background(), "d", &caller{})
	qt.Check(t, r.State, qt.Equals, cell.JobRunning)
	qt.Check(t, s.waitingReads, qt.Equals, maxWaitingReads)

	var ended <-chan struct{}
	s.State.Read(func() { ended = s.State.AwaitEnd("d") })
	snapshot, err := s.State.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.State.Restore(snapshot), qt.IsNil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("a read waits on after a snapshot was restored")
	}
}

// A caller with little time left must get the state, and not a time-out because its read
// waited for the end of the job until its deadline.
func TestReadWaitsWithinDeadline(t *testing.T) {
	s, _ := newServer(t)
	runningJob(t, s, "e", 1<<20)
	ctx, cancel := context.WithTimeout(context.Background(), maxStateWait/2)
	defer cancel()
	r := s.awaitJob(ctx, "e", &caller{})
	qt.Assert(t, r, qt.IsNotNil)
	qt.Check(t, r.State, qt.Equals, cell.JobRunning)
	qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("the read has waited until its deadline"))
}
