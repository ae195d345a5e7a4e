package fleet

import (
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// Bounds of a job's spec.
const (
	// MaxTasks bounds the number of tasks of one job.
	MaxTasks = 10_000
	// MaxRunMillis bounds a declared run time: 30 days.
	MaxRunMillis = int64(30 * 24 * 3600 * 1000)
	// MaxPayloadBytes bounds the payload that is passed to the worker.
	MaxPayloadBytes = 4 << 10
	// MaxJobIDBytes bounds the length of a job's id.
	MaxJobIDBytes = 64
)

// Bounds of all unfinished jobs together, so that the state fits into the memory of
// an entry VM. They are several times the design size.
const (
	maxUnfinishedJobs    = 50_000
	maxUnfinishedTasks   = 200_000
	maxTotalPayloadBytes = 4 << 20
)

// CheckSpec refuses a spec with an invalid field and names the field.
func CheckSpec(spec *model.JobSpec) *verdict.Refusal {
	checks := []struct {
		ok      bool
		field   string
		problem string
	}{
		{validJobID(spec.ID), "id", "must have 1 to 64 letters, digits, '-' and '_'"},
		{spec.Workload == "" || settings.ValidName(string(spec.Workload)), "workload", "is not a name"},
		{spec.Class.Valid(), "class", "must be service, batch, gang or urgent"},
		{spec.Tasks >= 1 && spec.Tasks <= MaxTasks, "tasks", "must be 1 to 10000"},
		{!spec.Size.Negative() && withinBounds(spec.Size), "size", "is out of bounds"},
		{spec.Size.MilliCPU > 0 || spec.Size.MemoryMB > 0, "size", "needs processor time or memory"},
		{spec.RunMillis >= 0 && spec.RunMillis <= MaxRunMillis, "run_ms", "must be 0 to 30 days"},
		{spec.Class != model.ClassService || spec.RunMillis == 0, "run_ms", "must be 0 for a service"},
		{spec.MinRunning >= 0 && spec.MinRunning <= max(spec.Tasks, 0), "min_running", "must be 0 to the number of tasks"},
		{len(spec.Payload) <= MaxPayloadBytes, "payload", "is over 4096 bytes"},
	}
	for _, c := range checks {
		if !c.ok {
			return verdict.Refuse(verdict.ReasonBadRequest, "job: field %q %s", c.field, c.problem)
		}
	}
	return nil
}

func withinBounds(r model.Resources) bool {
	bound := model.Resources{
		MilliCPU: settings.MaxAmount, MemoryMB: settings.MaxAmount, Accelerators: settings.MaxAmount,
	}
	return r.Fits(bound)
}

// validJobID allows 1 to MaxJobIDBytes letters, digits, dashes and underscores. It
// allows no dots, since a dot precedes the task's index in a TaskID.
func validJobID(id model.JobID) bool {
	if id == "" || len(id) > MaxJobIDBytes {
		return false
	}
	for _, c := range string(id) {
		if !isIDChar(c) {
			return false
		}
	}
	return true
}

func isIDChar(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// checkJob refuses a job that is invalid, can never run, or exceeds a bound on
// unfinished jobs.
func (s *State) checkJob(c *SubmitJob) *verdict.Refusal {
	workspace, ok := s.workspaces[c.Spec.Workspace]
	if !ok {
		return verdict.Refuse(verdict.ReasonUnknownWorkspace, "workspace %q is not declared", c.Spec.Workspace)
	}
	if refusal := CheckSpec(&c.Spec); refusal != nil {
		return refusal
	}
	if refusal := s.checkLimit(&c.Spec, workspace); refusal != nil {
		return refusal
	}
	if refusal := s.checkOwners(c); refusal != nil {
		return refusal
	}
	if refusal := s.checkCapacity(&c.Spec); refusal != nil {
		return refusal
	}
	bound, decision := s.queuedLimit(workspace.ID)
	if int64(s.jobs.unfinished[workspace.ID]) >= bound {
		return verdict.Refuse(verdict.ReasonOverload, "workspace %s has %d unfinished jobs", workspace.ID, bound).
			WithRetryAfter(submitRetryDelay).WithDecidedBy(decision.String())
	}
	return nil
}

// checkCapacity refuses a job with which the unfinished jobs would exceed their
// total bounds.
func (s *State) checkCapacity(spec *model.JobSpec) *verdict.Refusal {
	t := &s.jobs
	if len(t.active) < maxUnfinishedJobs && t.tasks+spec.Tasks <= maxUnfinishedTasks && t.payloadBytes+len(spec.Payload) <= maxTotalPayloadBytes {
		return nil
	}
	return verdict.Refuse(verdict.ReasonOverload, "the fleet has %d unfinished jobs with %d tasks and %d bytes of payload",
		len(t.active), t.tasks, t.payloadBytes).WithRetryAfter(submitRetryDelay)
}

// checkLimit refuses a job whose single task, or whose whole gang, exceeds the
// workspace's limit.
func (s *State) checkLimit(spec *model.JobSpec, workspace model.Workspace) *verdict.Refusal {
	need, subject := spec.Size, "a task"
	if spec.Class == model.ClassGang {
		need, subject = spec.Size.Scale(int64(spec.Tasks)), "the gang"
	}
	dimension := need.Exceeds(workspace.Limit)
	if dimension == "" {
		return nil
	}
	return verdict.Refuse(verdict.ReasonNeverFits, "%s needs %s, over the limit of workspace %s in %s: %s",
		subject, need, workspace.ID, dimension, workspace.Limit)
}

// checkOwners refuses data centres that are not declared and owners that don't match
// the spec.
func (s *State) checkOwners(c *SubmitJob) *verdict.Refusal {
	for _, dc := range c.Spec.DataCentres {
		if _, ok := s.dcs[dc]; !ok {
			return verdict.Refuse(verdict.ReasonBadRequest, "job: field \"data_centres\": %q is not declared", dc)
		}
	}
	if len(c.Owners) != c.Spec.Tasks {
		return verdict.Refuse(verdict.ReasonBadRequest, "job: %d owners for %d tasks", len(c.Owners), c.Spec.Tasks)
	}
	for _, dc := range c.Owners {
		if _, ok := s.dcs[dc]; !ok {
			return verdict.Refuse(verdict.ReasonBadRequest, "job: owner %q is not declared", dc)
		}
		if len(c.Spec.DataCentres) > 0 && !slices.Contains(c.Spec.DataCentres, dc) {
			return verdict.Refuse(verdict.ReasonBadRequest, "job: owner %q is not one of the job's data centres", dc)
		}
	}
	return nil
}
