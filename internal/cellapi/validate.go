package cellapi

import (
	"fmt"
	"strings"
	"time"
)

// Limits on a job. The state of each task is held by every control process, so that one
// job without a limit could take all their memory.
const (
	// MaxSteps limits the steps of a job.
	MaxSteps = 1_000
	// maxTasks limits the tasks of one occurrence, and maxTotalTasks those of all.
	maxTasks      = 20_000
	maxTotalTasks = 1_000_000
	// maxNeed bounds each resource that a task uses, so that the sums of all tasks stay
	// within 64 bits.
	maxNeed = 1 << 40
	// maxMillis bounds the times of a job, so that their sums stay within 64 bits, and
	// within a time.Duration.
	maxMillis = int64(250 * 365 * 24 * time.Hour / time.Millisecond)
)

// invalidJobReason returns why a job is invalid, or "".
func invalidJobReason(req *SubmitRequest) string {
	if req.ID == "" || strings.Contains(string(req.ID), ".") {
		return "the job's id is missing or has a dot"
	}
	if len(req.Steps) == 0 || len(req.Steps) > MaxSteps {
		return fmt.Sprintf("the job has %d steps, not 1 to %d", len(req.Steps), MaxSteps)
	}
	tasks := 0
	for i := range req.Steps {
		if reason := invalidStepReason(req, i); reason != "" {
			return reason
		}
		tasks += req.Steps[i].Count
	}
	if tasks > maxTasks {
		return fmt.Sprintf("the job has %d tasks, more than %d", tasks, maxTasks)
	}
	if times := req.Schedule.Times; times < 0 || times > maxTotalTasks/tasks {
		return fmt.Sprintf("the job has %d occurrences of %d tasks, more than %d tasks in all", times, tasks, maxTotalTasks)
	}
	if s := &req.Schedule; !validMillis(s.FirstUnixMillis) || !validMillis(s.IntervalMillis) {
		return "a time of the schedule is below 0 or too long"
	}
	return ""
}

func validMillis(ms int64) bool { return ms >= 0 && ms <= maxMillis }

// invalidStepReason returns why step i of a job is invalid, or "".
func invalidStepReason(req *SubmitRequest, i int) string {
	st := &req.Steps[i]
	if st.Count <= 0 || st.Count > maxTasks {
		return fmt.Sprintf("a step has %d tasks, not 1 to %d", st.Count, maxTasks)
	}
	for _, n := range []int64{st.Need.MilliCPU, st.Need.MemoryMB, st.Need.Accelerators} {
		if n < 0 || n > maxNeed {
			return "a step needs less than nothing, or too much"
		}
	}
	if !validMillis(st.EstimateMillis) || !validMillis(st.TargetMillis) {
		return "a time of a step is below 0 or too long"
	}
	for _, dependency := range st.After {
		if dependency < 0 || dependency >= i {
			return "a step must come after earlier steps"
		}
	}
	return ""
}
