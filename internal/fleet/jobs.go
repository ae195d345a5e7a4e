package fleet

import (
	"cmp"
	"slices"

	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// Job is an accepted job and the state of its parts.
type Job struct {
	Spec model.JobSpec `msgpack:"s" json:"spec"`
	// Owners holds the data centre that owns each task, by the task's index. A
	// finished job has each data centre once, that of the first task first.
	Owners []model.DCID `msgpack:"o" json:"owners"`
	// Seq numbers the jobs in the order in which they were accepted.
	Seq uint64 `msgpack:"q" json:"seq"`
	// Assignment is a version that grows whenever a task gets another owner.
	Assignment uint64 `msgpack:"a" json:"assignment"`
	// Reassigned lists the tasks that were reassigned, with the state that their
	// previous owners passed on, sorted by index.
	Reassigned []ReassignedTask `msgpack:"h,omitempty" json:"handed,omitempty"`
	// EndedTasks lists the indexes of the tasks of parts that have ended, sorted. An
	// owner whose part is reopened for further tasks does not run these again.
	EndedTasks []int `msgpack:"t,omitempty" json:"-"`
	// Digest is the hash of the submitted spec.
	Digest uint64 `msgpack:"d" json:"-"`
	// Cancelled is set by CancelJobs; the owners then end their parts.
	Cancelled bool `msgpack:"c" json:"cancelled"`
	// Parts holds the outcome of each owner whose part has ended, sorted by data
	// centre.
	Parts   []Part        `msgpack:"p" json:"parts,omitempty"`
	Outcome model.Outcome `msgpack:"e" json:"outcome,omitempty"`
	Reason  string        `msgpack:"r" json:"reason,omitempty"`
}

// Part is the outcome of a data centre's part of a job.
type Part struct {
	DC      model.DCID    `msgpack:"d" json:"dc"`
	Outcome model.Outcome `msgpack:"o" json:"outcome"`
	Reason  string        `msgpack:"r" json:"reason,omitempty"`
	// Reopened is set if the part got more tasks after it had ended. Outcome and
	// Reason are then those of the tasks that ended before.
	Reopened bool `msgpack:"n,omitempty" json:"open,omitempty"`
}

// ReassignedTask is the state of a task that is passed on when the task is reassigned
// to another data centre.
type ReassignedTask struct {
	Index int `msgpack:"i" json:"index"`
	// Attempt is the highest attempt number that a previous owner has used.
	Attempt uint32 `msgpack:"a" json:"attempt"`
	// CheckpointMillis is the run time that the newest checkpoint covers.
	CheckpointMillis int64 `msgpack:"c" json:"checkpoint_ms"`
}

// ReassignedTask returns the state that was passed on with a task; false if the task
// was never reassigned.
func (j *Job) ReassignedTask(index int) (ReassignedTask, bool) {
	i, ok := slices.BinarySearchFunc(j.Reassigned, index, compareReassigned)
	if !ok {
		return ReassignedTask{}, false
	}
	return j.Reassigned[i], true
}

func compareReassigned(t ReassignedTask, index int) int { return cmp.Compare(t.Index, index) }

// Finished reports whether the job has its final outcome.
func (j *Job) Finished() bool { return j.Outcome != model.OutcomeNone }

// OwnedBy reports whether dc owns a task of the job and dc's part has not ended.
func (j *Job) OwnedBy(dc model.DCID) bool {
	return !j.Finished() && slices.Contains(j.Owners, dc) && !j.partEnded(dc)
}

// partEnded reports whether dc's part has ended and was not reopened.
func (j *Job) partEnded(dc model.DCID) bool {
	return slices.ContainsFunc(j.Parts, func(p Part) bool { return p.DC == dc && !p.Reopened })
}

// submitJob accepts a job. A duplicate submission with the same spec gets the job
// that was accepted first.
func (s *State) submitJob(c *SubmitJob) *Result {
	if refusal := s.checkKey(c.Key, c.Spec.Workspace); refusal != nil {
		return &Result{Refusal: refusal}
	}
	digest := digestOf(&c.Spec)
	if known := s.jobs.byID[c.Spec.ID]; known != nil {
		return s.duplicateSubmission(known, digest)
	}
	if s.jobs.isExpired(c.Spec.ID) {
		return &Result{Refusal: verdict.New(verdict.Done, verdict.ReasonRecordExpired,
			"job %s was accepted and has ended; its outcome is no longer kept", c.Spec.ID)}
	}
	if refusal := s.checkJob(c); refusal != nil {
		return &Result{Refusal: refusal}
	}
	job := &Job{Spec: c.Spec, Owners: s.internOwners(c.Owners), Digest: digest}
	s.jobs.add(job)
	return &Result{Job: job}
}

// duplicateSubmission returns the result of submitting a known job again.
func (s *State) duplicateSubmission(known *Job, digest uint64) *Result {
	if known.Digest != digest {
		return refuse(verdict.ReasonConflict, "job %s was submitted before with another spec", known.Spec.ID)
	}
	return &Result{Job: known, Duplicate: true, Revision: s.revision}
}

// checkKey refuses a command if its key was revoked earlier in the log or belongs
// to another workspace. Commands without a key come from operators.
func (s *State) checkKey(id model.KeyID, workspace model.WorkspaceID) *verdict.Refusal {
	if id == "" {
		return nil
	}
	k, ok := s.keys[id]
	if !ok || k.Revoked {
		return badKey()
	}
	if k.Workspace != workspace {
		return verdict.Refuse(verdict.ReasonWrongWorkspace, "the key is not one of workspace %q", workspace)
	}
	return nil
}

// cancelJobs marks all the jobs as cancelled or, if one of them is unknown, none.
// Finished jobs stay unchanged.
func (s *State) cancelJobs(c *CancelJobs) *Result {
	if refusal := s.checkKey(c.Key, c.Workspace); refusal != nil {
		return &Result{Refusal: refusal}
	}
	for _, id := range c.IDs {
		if refusal := s.checkCancel(id, c.Workspace); refusal != nil {
			return &Result{Refusal: refusal}
		}
	}
	for _, id := range c.IDs {
		j := s.jobs.byID[id]
		if j == nil || j.Finished() || j.Cancelled {
			continue
		}
		next := *j
		next.Cancelled = true
		s.jobs.replace(&next)
	}
	return &Result{}
}

func (s *State) checkCancel(id model.JobID, workspace model.WorkspaceID) *verdict.Refusal {
	j := s.jobs.byID[id]
	if j == nil && s.jobs.isExpired(id) {
		return nil
	}
	if j == nil || workspace != "" && j.Spec.Workspace != workspace {
		return verdict.Refuse(verdict.ReasonUnknownJob, "job %q is not known", id)
	}
	return nil
}

// finishJobs records outcomes. Recording an outcome twice changes nothing.
func (s *State) finishJobs(c *FinishJobs) *Result {
	for _, f := range c.Jobs {
		if f.Outcome == model.OutcomeNone {
			return refuse(verdict.ReasonBadRequest, "job %s: an outcome is needed", f.Job)
		}
	}
	for _, f := range c.Jobs {
		s.finishPart(f)
	}
	return &Result{}
}

// finishPart records one outcome. It finishes the job if the outcome is that of the
// whole job or of its last part.
func (s *State) finishPart(f FinishedJob) {
	j := s.jobs.byID[f.Job]
	if j == nil || j.Finished() {
		return
	}
	if f.Assignment != 0 && f.Assignment != j.Assignment {
		return
	}
	next := *j
	if f.DC == "" {
		next.Outcome, next.Reason = f.Outcome, f.Reason
		s.jobs.finish(&next)
		return
	}
	if !j.OwnedBy(f.DC) {
		return
	}
	next.EndedTasks = endedTasks(j, f.DC)
	next.Parts = withPart(j.Parts, Part{DC: f.DC, Outcome: f.Outcome, Reason: f.Reason})
	if !next.allPartsEnded() {
		s.jobs.replace(&next)
		return
	}
	worst := worstPart(next.Parts)
	next.Outcome, next.Reason = worst.Outcome, worst.Reason
	s.jobs.finish(&next)
}

// endedTasks returns j.EndedTasks with all tasks of dc added.
func endedTasks(j *Job, dc model.DCID) []int {
	next := slices.Clone(j.EndedTasks)
	for i, owner := range j.Owners {
		if owner != dc {
			continue
		}
		if at, known := slices.BinarySearch(next, i); !known {
			next = slices.Insert(next, at, i)
		}
	}
	return next
}

// withPart returns a copy of parts with p added. A part that ended before and was
// reopened gets the worse of its outcomes.
func withPart(parts []Part, p Part) []Part {
	next := slices.Clone(parts)
	i, found := slices.BinarySearchFunc(next, p.DC, func(q Part, dc model.DCID) int { return cmp.Compare(q.DC, dc) })
	if !found {
		return slices.Insert(next, i, p)
	}
	worst := worstPart([]Part{next[i], p})
	next[i] = Part{DC: p.DC, Outcome: worst.Outcome, Reason: worst.Reason}
	return next
}

func (j *Job) allPartsEnded() bool {
	return !slices.ContainsFunc(j.Owners, func(dc model.DCID) bool { return !j.partEnded(dc) })
}

// severity ranks outcomes, 5 the worst. A job gets the worst outcome of its parts.
var severity = map[model.Outcome]int{
	model.OutcomeSucceeded: 1,
	model.OutcomeCancelled: 2,
	model.OutcomeRefused:   3,
	model.OutcomeFailed:    4,
	model.OutcomeUnknown:   5,
}

func worstPart(parts []Part) Part {
	return slices.MaxFunc(parts, func(a, b Part) int { return cmp.Compare(severity[a.Outcome], severity[b.Outcome]) })
}

// reassignTasks moves all the tasks to another data centre or none of them.
func (s *State) reassignTasks(c *ReassignTasks) *Result {
	j := s.jobs.byID[c.Job]
	if j == nil || j.Finished() {
		return refuse(verdict.ReasonUnknownJob, "job %q is not known or has ended", c.Job)
	}
	if _, ok := s.dcs[c.To]; !ok {
		return refuse(verdict.ReasonBadRequest, "data centre %q is not declared", c.To)
	}
	if len(j.Spec.DataCentres) > 0 && !slices.Contains(j.Spec.DataCentres, c.To) {
		return refuse(verdict.ReasonBadRequest, "job %s may not run in data centre %s", c.Job, c.To)
	}
	if c.Assignment != 0 && c.Assignment != j.Assignment {
		return refuse(verdict.ReasonConflict, "job %s has assignment %d", c.Job, j.Assignment)
	}
	if refusal := s.checkGeneration(c.From, c.Generation); refusal != nil {
		return &Result{Refusal: refusal}
	}
	if !j.OwnedBy(c.From) {
		return refuse(verdict.ReasonConflict, "job %s has no open part in data centre %s", c.Job, c.From)
	}
	for _, t := range c.Tasks {
		if t.Index < 0 || t.Index >= len(j.Owners) || j.Owners[t.Index] != c.From {
			return refuse(verdict.ReasonConflict, "task %d of job %s is not owned by data centre %s", t.Index, c.Job, c.From)
		}
	}
	next := *j
	next.Owners = slices.Clone(j.Owners)
	next.Reassigned = slices.Clone(j.Reassigned)
	for _, t := range c.Tasks {
		next.Owners[t.Index] = c.To
		next.Reassigned = withReassignedTask(next.Reassigned, t)
	}
	next.Assignment = s.jobs.version + 1
	next.Parts = reopenPart(j.Parts, c.To)
	s.jobs.replace(&next)
	return &Result{Job: &next}
}

// withReassignedTask adds t to list, which is sorted by index, or replaces its entry.
func withReassignedTask(list []ReassignedTask, t ReassignedTask) []ReassignedTask {
	i, known := slices.BinarySearchFunc(list, t.Index, compareReassigned)
	if known {
		list[i] = t
		return list
	}
	return slices.Insert(list, i, t)
}

// reopenPart returns a copy of parts in which that of dc, if any, is reopened.
func reopenPart(parts []Part, dc model.DCID) []Part {
	next := slices.Clone(parts)
	for i := range next {
		if next[i].DC == dc {
			next[i].Reopened = true
		}
	}
	return next
}

// queuedLimit returns how many unfinished jobs a workspace may have, with the
// setting that decides it.
func (s *State) queuedLimit(workspace model.WorkspaceID) (int64, settings.EffectiveValue) {
	return s.tree.Int(settings.Scope{Workspace: workspace}, settings.JobsQueued)
}
