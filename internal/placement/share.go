package placement

import "kumquatwing/internal/model"

// shareUnit is the whole fleet in the units of dominant shares.
const shareUnit = 1_000_000_000

// standing is one workspace's use and entitlement while a plan is made.
type standing struct {
	view *WorkspaceView
	// here counts against the grant, fleet against the share.
	here  model.Resources
	fleet model.Resources
	// key is the weighted dominant share: the larger, the later in the queue.
	key int64
}

// standings returns the workspaces in the order of the snapshot.
func standings(workspaces []WorkspaceView, total model.Resources) []standing {
	out := make([]standing, len(workspaces))
	for i := range workspaces {
		t := &workspaces[i]
		out[i] = standing{view: t, here: t.Usage, fleet: t.Usage.Add(t.Elsewhere)}
		out[i].key = weightedShare(out[i].fleet, total, t.Share)
	}
	return out
}

// add counts a placed task.
func (t *standing) add(size, total model.Resources) {
	t.here = t.here.Add(size)
	t.fleet = t.fleet.Add(size)
	t.key = weightedShare(t.fleet, total, t.view.Share)
}

// allows reports whether the workspace's grant covers size as well.
func (t *standing) allows(size model.Resources) bool {
	return t.here.Add(size).Fits(t.view.Grant)
}

// dominantShare is the largest part that used takes of any dimension of total,
// in shareUnit (Ghodsi et al., Dominant Resource Fairness, NSDI 2011).
func dominantShare(used, total model.Resources) int64 {
	var most int64
	for d := range model.Dimensions {
		if all := total.At(d); all > 0 {
			most = max(most, int64(float64(used.At(d))/float64(all)*shareUnit))
		}
	}
	return most
}

// weightedShare is the dominant share divided by the workspace's weight.
func weightedShare(used, total model.Resources, weight int64) int64 {
	return dominantShare(used, total) / max(weight, 1)
}
