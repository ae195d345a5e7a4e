package placement

import "kumquatwing/internal/model"

// shareUnit stands for the whole fleet in dominant shares, which are whole
// numbers.
const shareUnit = 1_000_000_000

// workspaceUsage is the usage and weighted share of one workspace while a plan is
// computed.
type workspaceUsage struct {
	view *WorkspaceView
	// local is what the workspace uses in this data centre, which counts against
	// its grant; fleet is what it uses in all of them, which counts against its
	// share.
	local model.Resources
	fleet model.Resources
	// key is the weighted dominant share. The queue takes the workspace with
	// the smallest one first.
	key int64
}

// newWorkspaceUsages returns the usage of the workspaces in the order of the snapshot.
func newWorkspaceUsages(workspaces []WorkspaceView, total model.Resources) []workspaceUsage {
	out := make([]workspaceUsage, len(workspaces))
	for i := range workspaces {
		ws := &workspaces[i]
		out[i] = workspaceUsage{view: ws, local: ws.Usage, fleet: ws.Usage.Add(ws.UsageElsewhere)}
		out[i].key = weightedShare(out[i].fleet, total, ws.Share)
	}
	return out
}

// addTask counts a placed task in the workspace's usage.
func (ws *workspaceUsage) addTask(size, total model.Resources) {
	ws.local = ws.local.Add(size)
	ws.fleet = ws.fleet.Add(size)
	ws.key = weightedShare(ws.fleet, total, ws.view.Share)
}

// allows reports whether the workspace's grant covers size in addition to its
// usage.
func (ws *workspaceUsage) allows(size model.Resources) bool {
	return ws.local.Add(size).Fits(ws.view.Grant)
}

// dominantShare returns the largest part that used takes of any dimension of
// total, in shareUnit (Ghodsi et al., Dominant Resource Fairness, NSDI 2011).
func dominantShare(used, total model.Resources) int64 {
	var most int64
	for d := range model.Dimensions {
		if all := total.At(d); all > 0 {
			most = max(most, int64(float64(used.At(d))/float64(all)*shareUnit))
		}
	}
	return most
}

// weightedShare returns the dominant share divided by the workspace's weight.
func weightedShare(used, total model.Resources, weight int64) int64 {
	return dominantShare(used, total) / max(weight, 1)
}
