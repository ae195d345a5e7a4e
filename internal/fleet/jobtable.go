package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"kumquatwing/internal/model"
)

const (
	// maxFinishedJobs bounds the finished jobs whose outcome is kept.
	maxFinishedJobs = 8192
	// maxExpiredJobs bounds the expired jobs, finished jobs of which only the hash
	// of the id is kept, so that a late duplicate submission is not accepted as a
	// new job.
	maxExpiredJobs = 65_536
)

// jobTable holds the jobs. A stored Job is immutable, since readers may keep it: a
// change stores a modified copy.
type jobTable struct {
	// byID holds the unfinished jobs and the finished ones that have not expired.
	byID map[model.JobID]*Job
	// active lists the unfinished jobs, sorted by Seq.
	active []*Job
	// finished lists the finished jobs in byID, oldest first.
	finished []model.JobID
	// expired holds the hashes of the ids of expired jobs; expiredOrder lists them,
	// oldest first.
	expired      map[uint64]struct{}
	expiredOrder []uint64
	// unfinished counts the unfinished jobs of each workspace.
	unfinished map[model.WorkspaceID]int
	// seq is the last Job.Seq that was assigned.
	seq uint64
	// version is incremented by each change of a job.
	version uint64
	// tasks and payloadBytes are the totals of the unfinished jobs.
	tasks, payloadBytes int
	// byDC indexes the unfinished jobs by data centre.
	byDC map[model.DCID]*dcJobs
}

func newJobTable() jobTable {
	return jobTable{
		byID:       map[model.JobID]*Job{},
		expired:    map[uint64]struct{}{},
		unfinished: map[model.WorkspaceID]int{},
		byDC:       map[model.DCID]*dcJobs{},
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

// store makes j the current version of its job, also in the index.
func (t *jobTable) store(j *Job) {
	t.version++
	t.updateIndex(t.byID[j.Spec.ID], j)
	t.byID[j.Spec.ID] = j
}

// replace stores a modified copy of an unfinished job.
func (t *jobTable) replace(j *Job) {
	if i, ok := t.find(j.Seq); ok {
		t.active[i] = j
	}
	t.store(j)
}

// compactJob returns a copy of a finished job without the payload and the state of
// single tasks, and with each owner once, that of the first task first.
func compactJob(j *Job) *Job {
	c := *j
	c.Spec.Payload = ""
	c.Reassigned, c.EndedTasks = nil, nil
	c.Owners = append([]model.DCID{j.Owners[0]}, distinct(j.Owners)...)
	if at := slices.Index(c.Owners[1:], j.Owners[0]); at >= 0 {
		c.Owners = slices.Delete(c.Owners, at+1, at+2)
	}
	return &c
}

// finish stores a job that has its final outcome and expires the oldest finished
// job if there are too many.
func (t *jobTable) finish(j *Job) {
	t.store(compactJob(j))
	if i, ok := t.find(j.Seq); ok {
		t.active = slices.Delete(t.active, i, i+1)
	}
	t.unfinished[j.Spec.Workspace]--
	if t.unfinished[j.Spec.Workspace] == 0 {
		delete(t.unfinished, j.Spec.Workspace)
	}
	t.finished = append(t.finished, j.Spec.ID)
	if len(t.finished) > maxFinishedJobs {
		t.expire(t.finished[0])
		t.finished = t.finished[1:]
	}
}

// expire removes a finished job and keeps only the hash of its id.
func (t *jobTable) expire(id model.JobID) {
	delete(t.byID, id)
	h := xxhash.Sum64String(string(id))
	if _, ok := t.expired[h]; ok {
		return
	}
	t.expired[h] = struct{}{}
	t.expiredOrder = append(t.expiredOrder, h)
	if len(t.expiredOrder) > maxExpiredJobs {
		delete(t.expired, t.expiredOrder[0])
		t.expiredOrder = t.expiredOrder[1:]
	}
}

func (t *jobTable) find(seq uint64) (int, bool) { return findJob(t.active, seq) }

// findJob searches jobs, which are sorted by Seq.
func findJob(jobs []*Job, seq uint64) (int, bool) {
	return slices.BinarySearchFunc(jobs, seq, func(j *Job, seq uint64) int { return cmp.Compare(j.Seq, seq) })
}

func (t *jobTable) isExpired(id model.JobID) bool {
	_, ok := t.expired[xxhash.Sum64String(string(id))]
	return ok
}
