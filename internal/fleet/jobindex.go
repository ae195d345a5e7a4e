package fleet

import (
	"slices"

	"kumquatwing/internal/model"
)

// placeJobs is what a data centre owns of the unfinished jobs.
type placeJobs struct {
	// jobs lists those with an open part there, by Seq.
	jobs []*Job
	// tasks counts all tasks that they and other unfinished jobs have there.
	tasks int
	// version is that of the table at the last change of one of the jobs.
	version uint64
}

func (t *jobTable) place(dc model.DCID) *placeJobs {
	p := t.places[dc]
	if p == nil {
		p = &placeJobs{}
		t.places[dc] = p
	}
	return p
}

// index replaces the entries of before, which is nil for a new job, by those of
// after.
func (t *jobTable) index(before, after *Job) {
	if before != nil {
		t.count(before, -1)
	}
	t.count(after, 1)
	touched := distinct(after.Owners)
	if before != nil {
		touched = distinct(append(slices.Clone(touched), distinct(before.Owners)...))
	}
	for _, dc := range touched {
		t.place(dc).set(after, after.OwnedBy(dc))
		t.place(dc).version = t.version
	}
}

// count adds the tasks of an unfinished job to its owners.
func (t *jobTable) count(j *Job, sign int) {
	if j.Finished() {
		return
	}
	for _, dc := range j.Owners {
		t.place(dc).tasks += sign
	}
}

// set adds, replaces or removes a job.
func (p *placeJobs) set(j *Job, owned bool) {
	i, found := findJob(p.jobs, j.Seq)
	switch {
	case found && owned:
		p.jobs[i] = j
	case found:
		p.jobs = slices.Delete(p.jobs, i, i+1)
	case owned:
		p.jobs = slices.Insert(p.jobs, i, j)
	}
}

// distinct lists the data centres among owners, sorted.
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
