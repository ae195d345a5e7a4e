package fleet

import (
	"slices"

	"kumquatwing/internal/model"
)

// placeJobs is what a data centre owns of the unfinished jobs.
type placeJobs struct {
	// jobs lists those with an open part there, by Seq.
	jobs []*Job
	// load is the declared size of all tasks of unfinished jobs there.
	load model.Resources
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

// count adds the tasks of an unfinished job to its owners' loads.
func (t *jobTable) count(j *Job, sign int64) {
	if j.Finished() {
		return
	}
	t.tasks += int(sign) * len(j.Owners)
	t.payloadBytes += int(sign) * len(j.Spec.Payload)
	for _, dc := range j.Owners {
		p := t.place(dc)
		p.load = p.load.Add(j.Spec.Size.Scale(sign))
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

// shared returns owners with the names that the state holds already, so that a
// job's many owners take no memory of their own. A data centre that was removed
// since keeps the name it came with.
func (s *State) shared(owners []model.DCID) []model.DCID {
	list := slices.Clone(owners)
	for i, dc := range owners {
		if known, ok := s.dcs[dc]; ok {
			list[i] = known.ID
		}
	}
	return list
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
