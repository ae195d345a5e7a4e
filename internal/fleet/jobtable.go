package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquatwing/internal/model"
)

const (
	// finishedKept bounds the finished jobs whose outcome is remembered.
	finishedKept = 8192
	// spentKept bounds the finished jobs whose id alone is remembered, so that
	// a late resend is not taken for a new job.
	spentKept = 65_536
)

// jobTable holds the jobs. A stored Job is never changed: a change stores a
// copy.
type jobTable struct {
	byID map[model.JobID]*Job
	// active lists the unfinished jobs by Seq.
	active []*Job
	// finished lists finished jobs, oldest first.
	finished []model.JobID
	// spent holds hashes of the ids of forgotten jobs, oldest first in spentOrder.
	spent      map[uint64]struct{}
	spentOrder []uint64
	unfinished map[model.WorkspaceID]int
	seq        uint64
	// version grows with each change of the table.
	version uint64
	// tasks and payloadBytes are those of the unfinished jobs.
	tasks, payloadBytes int
	// places indexes the unfinished jobs by data centre.
	places map[model.DCID]*placeJobs
}

func newJobTable() jobTable {
	return jobTable{
		byID:       map[model.JobID]*Job{},
		spent:      map[uint64]struct{}{},
		unfinished: map[model.WorkspaceID]int{},
		places:     map[model.DCID]*placeJobs{},
	}
}

func (t *jobTable) add(j *Job) {
	t.seq++
	j.Seq = t.seq
	j.Assignment = t.seq
	t.active = append(t.active, j)
	t.unfinished[j.Spec.Workspace]++
	t.store(j)
}

// store makes j the present version of its job, in the index too.
func (t *jobTable) store(j *Job) {
	t.version++
	t.index(t.byID[j.Spec.ID], j)
	t.byID[j.Spec.ID] = j
}

// replace stores a changed copy of an unfinished job.
func (t *jobTable) replace(j *Job) {
	if i, ok := t.find(j.Seq); ok {
		t.active[i] = j
	}
	t.store(j)
}

// slim drops what nobody asks of a finished job.
func slim(j *Job) *Job {
	c := *j
	c.Spec.Payload = ""
	c.Handed, c.Ended = nil, nil
	c.Owners = append([]model.DCID{j.Owners[0]}, distinct(j.Owners)...)
	if at := slices.Index(c.Owners[1:], j.Owners[0]); at >= 0 {
		c.Owners = slices.Delete(c.Owners, at+1, at+2)
	}
	return &c
}

// finish stores a job that got its final outcome.
func (t *jobTable) finish(j *Job) {
	t.store(slim(j))
	if i, ok := t.find(j.Seq); ok {
		t.active = slices.Delete(t.active, i, i+1)
	}
	t.unfinished[j.Spec.Workspace]--
	if t.unfinished[j.Spec.Workspace] == 0 {
		delete(t.unfinished, j.Spec.Workspace)
	}
	t.finished = append(t.finished, j.Spec.ID)
	if len(t.finished) > finishedKept {
		t.forget(t.finished[0])
		t.finished = t.finished[1:]
	}
}

// forget keeps only the hash of a finished job's id.
func (t *jobTable) forget(id model.JobID) {
	delete(t.byID, id)
	h := xxhash.Sum64String(string(id))
	if _, ok := t.spent[h]; ok {
		return
	}
	t.spent[h] = struct{}{}
	t.spentOrder = append(t.spentOrder, h)
	if len(t.spentOrder) > spentKept {
		delete(t.spent, t.spentOrder[0])
		t.spentOrder = t.spentOrder[1:]
	}
}

func (t *jobTable) find(seq uint64) (int, bool) { return findJob(t.active, seq) }

// findJob searches a list sorted by Seq.
func findJob(jobs []*Job, seq uint64) (int, bool) {
	return slices.BinarySearchFunc(jobs, seq, func(j *Job, seq uint64) int { return cmp.Compare(j.Seq, seq) })
}

func (t *jobTable) isSpent(id model.JobID) bool {
	_, ok := t.spent[xxhash.Sum64String(string(id))]
	return ok
}
