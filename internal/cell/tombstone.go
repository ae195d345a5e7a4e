package cell

import "slices"

// maxTombstones bounds the tombstones of one workspace. A cancel beyond it is refused,
// since the cell could not keep what it confirms.
const maxTombstones = 2048

// Caller is who makes a call about jobs, and where.
type Caller struct {
	// Workspace is the caller's workspace, "" for a call without a key.
	Workspace string
	// Place is the location of the queue that the call names, and Open says that the
	// queue takes calls without a key.
	Place Place
	Open  bool
}

// Tombstone records that a caller was told that a job doesn't exist when it cancelled it.
// A submission of the job that the caller could have cancelled, and that is applied later,
// is refused.
type Tombstone struct {
	ID     JobID
	Caller Caller
	// Cancels counts the cancels. A tombstone is deleted only if there was none since its
	// deletion was proposed.
	Cancels int
}

// tombstones holds the tombstones of a cell.
type tombstones struct {
	byJob map[JobID][]Tombstone
	// byWorkspace counts the tombstones of each workspace.
	byWorkspace map[string]int
}

func newTombstones() tombstones {
	return tombstones{byJob: map[JobID][]Tombstone{}, byWorkspace: map[string]int{}}
}

// find returns the index of the tombstone of a caller among those of a job, or -1.
func (t *tombstones) find(id JobID, c *Caller) int {
	return slices.IndexFunc(t.byJob[id], func(o Tombstone) bool { return o.Caller == *c })
}

// add adds a tombstone, or counts one more cancel. It reports whether the workspace may
// have the tombstone.
func (t *tombstones) add(id JobID, c *Caller) bool {
	if i := t.find(id, c); i >= 0 {
		t.byJob[id][i].Cancels++
		return true
	}
	if t.byWorkspace[c.Workspace] >= maxTombstones {
		return false
	}
	t.restore(Tombstone{ID: id, Caller: *c, Cancels: 1})
	return true
}

// restore adds a tombstone as it is.
func (t *tombstones) restore(stone Tombstone) {
	t.byJob[stone.ID] = append(t.byJob[stone.ID], stone)
	t.byWorkspace[stone.Caller.Workspace]++
}

// remove deletes a tombstone, unless the job was cancelled again since.
func (t *tombstones) remove(stone *Tombstone) {
	i := t.find(stone.ID, &stone.Caller)
	if i < 0 || t.byJob[stone.ID][i].Cancels != stone.Cancels {
		return
	}
	t.byJob[stone.ID] = slices.Delete(t.byJob[stone.ID], i, i+1)
	if len(t.byJob[stone.ID]) == 0 {
		delete(t.byJob, stone.ID)
	}
	workspace := stone.Caller.Workspace
	if t.byWorkspace[workspace]--; t.byWorkspace[workspace] == 0 {
		delete(t.byWorkspace, workspace)
	}
}

// all returns all tombstones in the order of their jobs.
func (t *tombstones) all() []Tombstone {
	var out []Tombstone
	for _, id := range sortedKeys(t.byJob) {
		out = append(out, t.byJob[id]...)
	}
	return out
}

// Tombstones returns all tombstones in the order of their jobs. The caller holds the lock.
func (s *State) Tombstones() []Tombstone { return s.tombstones.all() }

// MaySee reports whether the caller may read and cancel a job: one of its workspace, or
// one that was submitted at the same place, if that took or takes calls without a key. The
// queue there may have another name by now. The caller of MaySee holds the lock.
func (s *State) MaySee(c *Caller, j *Job) bool {
	if j.Workspace == c.Workspace {
		return true
	}
	q := s.QueueOf(j)
	return (c.Open || j.Workspace == "") && q != nil && q.Place() == c.Place
}

// cancelledBefore reports whether a caller that may see the job has cancelled it before it
// was submitted.
func (s *State) cancelledBefore(j *Job) bool {
	return slices.ContainsFunc(s.tombstones.byJob[j.ID], func(t Tombstone) bool { return s.MaySee(&t.Caller, j) })
}

// addTombstone records the cancel of a job that its caller can't see. A cancel of an
// earlier version names no caller and leaves no tombstone.
func (s *State) addTombstone(c *Cancel) Result {
	if c.Caller != nil && !s.tombstones.add(c.ID, c.Caller) {
		return Result{Full: true}
	}
	return Result{Unknown: true}
}
