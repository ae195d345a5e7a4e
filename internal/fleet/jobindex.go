package fleet

import (
	"slices"

	"kumquatwing/internal/model"
)

// dcJobs indexes the unfinished jobs of which a data centre owns tasks.
type dcJobs struct {
	// jobs lists the jobs whose part in the data centre has not ended, by Seq.
	jobs []*Job
	// load is the total declared size of the tasks of unfinished jobs that the
	// data centre owns, ended tasks included.
	load model.Resources
	// version is jobTable.version at the last change of a job that the data
	// centre owned tasks of before or after the change.
	version uint64
}

// dcJobsOf returns the index entry of dc and creates it if there is none.
func (t *jobTable) dcJobsOf(dc model.DCID) *dcJobs {
	d := t.byDC[dc]
	if d == nil {
		d = &dcJobs{}
		t.byDC[dc] = d
	}
	return d
}

// updateIndex replaces previous by next in the index, two versions of the same
// job. previous is nil for a new job.
func (t *jobTable) updateIndex(previous, next *Job) {
	if previous != nil {
		t.addLoad(previous, -1)
	}
	t.addLoad(next, 1)
	affected := distinct(next.Owners)
	if previous != nil {
		affected = distinct(append(slices.Clone(affected), distinct(previous.Owners)...))
	}
	for _, dc := range affected {
		t.dcJobsOf(dc).update(next, next.OwnedBy(dc))
		t.dcJobsOf(dc).version = t.version
	}
}

// addLoad adds the tasks and the payload of an unfinished job to the totals and to
// its owners' loads, or subtracts them if sign is -1.
func (t *jobTable) addLoad(j *Job, sign int64) {
	if j.Finished() {
		return
	}
	t.tasks += int(sign) * len(j.Owners)
	t.payloadBytes += int(sign) * len(j.Spec.Payload)
	for _, dc := range j.Owners {
		d := t.dcJobsOf(dc)
		d.load = d.load.Add(j.Spec.Size.Scale(sign))
	}
}

// update adds or replaces j if owned is set and removes it otherwise.
func (d *dcJobs) update(j *Job, owned bool) {
	i, found := findJob(d.jobs, j.Seq)
	switch {
	case found && owned:
		d.jobs[i] = j
	case found:
		d.jobs = slices.Delete(d.jobs, i, i+1)
	case owned:
		d.jobs = slices.Insert(d.jobs, i, j)
	}
}

// internOwners returns a copy of owners in which declared data centres share the
// strings of the state, so that the owners of a job with many tasks don't each
// take memory for a decoded string. Data centres that are no longer declared are
// copied as they are.
func (s *State) internOwners(owners []model.DCID) []model.DCID {
	list := slices.Clone(owners)
	for i, dc := range owners {
		if known, ok := s.dcs[dc]; ok {
			list[i] = known.ID
		}
	}
	return list
}

// distinct returns the distinct data centres of owners, sorted.
func distinct(owners []model.DCID) []model.DCID {
	var list []model.DCID
	for _, dc := range owners {
		if !slices.Contains(list, dc) {
			list = append(list, dc)
		}
	}
	slices.Sort(list)
	return list
}
