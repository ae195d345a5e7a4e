package cellapi

import (
	"context"
	"time"

	"kumquatwing/internal/cell"
)

const (
	// stateWaitShare is the share of a queue's objective that a read of a job's state
	// waits for the job to end, in percent, and maxStateWait bounds the wait. A caller
	// that reads as the last task ends comes before the end is committed, and would learn
	// of it with its next read only.
	stateWaitShare = 25
	maxStateWait   = 100 * time.Millisecond
	// deadlineWaitPart is the part of the time left to the caller, one in this many, that a
	// read waits. The rest is for the response.
	deadlineWaitPart = 2
	// maxWaitingReads bounds the reads that wait at a time, so that they leave most of
	// the handlers of their topic free. Further ones are answered at once.
	maxWaitingReads = 128
)

// stateWait returns how long a read of a job's state waits for the job to end. A queue
// without a fixed objective has callers who are in no hurry.
func stateWait(q *cell.Queue, j *cell.Job) time.Duration {
	if q == nil || !j.MayEndNext() {
		return 0
	}
	return min(time.Duration(q.ObjectiveMillis)*time.Millisecond*stateWaitShare/100, maxStateWait)
}

// withinDeadline shortens a wait, so that the response still reaches the caller in time.
func withinDeadline(ctx context.Context, wait time.Duration) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(wait, time.Until(deadline)/deadlineWaitPart)
	}
	return wait
}

// job returns the state of a job. If the runs that are placed now may end the job, it
// waits a short time for that.
func (s *Server) job(ctx context.Context, req *JobRequest) (*JobReply, error) {
	c, err := s.authorize(&req.Place)
	if err != nil {
		return nil, err
	}
	r := s.awaitJob(ctx, req.ID, &c)
	if err := s.confirmLeadership(); err != nil {
		return nil, err
	}
	if r == nil {
		return nil, unknownJob(req.ID)
	}
	return r, nil
}

// awaitJob reads the state of a job, after the wait that stateWait allows. It returns nil
// if there is no such job that the caller may see.
func (s *Server) awaitJob(ctx context.Context, id cell.JobID, c *caller) *JobReply {
	var r *JobReply
	var wait time.Duration
	var ended <-chan struct{}
	s.State.Read(func() {
		if r = s.readJob(id, c); r == nil {
			return
		}
		j := s.State.Jobs[id]
		wait = withinDeadline(ctx, stateWait(s.State.QueueOf(j), j))
		if wait > 0 && s.waitingReads < maxWaitingReads {
			s.waitingReads++
			ended = s.State.AwaitEnd(id)
		}
	})
	if ended == nil {
		return r
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.State.Read(func() {
		s.waitingReads--
		s.State.StopAwaiting(id, ended)
		r = s.readJob(id, c)
	})
	return r
}

// readJob returns the state of a job, or nil if there is no such job that the caller may
// see. The state is locked.
func (s *Server) readJob(id cell.JobID, c *caller) *JobReply {
	j := s.State.Jobs[id]
	if j == nil || !s.State.MaySee(&c.Caller, j) {
		return nil
	}
	return &JobReply{State: j.State, Reason: j.Reason}
}
