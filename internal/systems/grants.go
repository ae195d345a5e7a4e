package systems

import (
	"fmt"
	"slices"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// grantSlackDivisor sets the hysteresis of grants, so that they don't go back and
// forth. When a part of a grant is returned, 1/grantSlackDivisor of the demand is
// kept on top of the demand. A surplus, or a change of the resources in use, of
// up to 1/grantSlackDivisor of the grant causes no return or request.
const grantSlackDivisor = 4

// returnAfterIdleMillis is how long a part of a grant is unused before it is
// returned.
const returnAfterIdleMillis = 10_000

// ReasonOverLimit is the cause of stops after a workspace's limit was lowered.
const ReasonOverLimit = "over-limit"

// reconcileGrants keeps each workspace's cap in the replicated state consistent
// with the fleet's grant. It requests more for waiting tasks and returns what no
// task needs. A cap is lowered in the replicated state before the fleet is told,
// and raised only to a grant that the fleet's state shows.
func (t *tick) reconcileGrants() {
	if t.State.Rebuilding() {
		// Tasks that run but that no worker has reported yet need their grants.
		return
	}
	demand := t.demand()
	minimums := t.minimumGrants()
	for i := range t.View.Workspaces {
		ws := &t.View.Workspaces[i]
		t.reconcileGrant(ws, demand[ws.ID], minimums[ws.ID])
	}
	t.removeUnknownGrants()
}

// demand returns the resources that each workspace's running and waiting tasks
// take together.
func (t *tick) demand() map[model.WorkspaceID]model.Resources {
	demand := map[model.WorkspaceID]model.Resources{}
	for _, j := range t.State.Jobs() {
		waiting := 0
		if j.Outcome == model.OutcomeNone {
			waiting = j.Pending()
		}
		size := j.Spec.Size.Scale(int64(j.ActiveTasks()))
		if waiting > 0 {
			// Waiting tasks count with the size that the placement plan uses.
			size = size.Add(t.estimate(j).Size.Scale(int64(waiting)))
		}
		if !size.IsZero() {
			demand[j.Spec.Workspace] = demand[j.Spec.Workspace].Add(size)
		}
	}
	return demand
}

// minimumGrants returns, for each workspace with waiting tasks, the resources in
// use plus those that its oldest waiting job needs to start: all waiting tasks of
// a gang, one task of any other job. Without a minimum, many data centres could
// each hold a part of the limit that is too small to start anything.
func (t *tick) minimumGrants() map[model.WorkspaceID]model.Resources {
	minimums := map[model.WorkspaceID]model.Resources{}
	for _, j := range t.State.Jobs() {
		workspace := j.Spec.Workspace
		if _, known := minimums[workspace]; known || j.Pending() == 0 || j.Outcome != model.OutcomeNone {
			continue
		}
		tasks := 1
		if j.Spec.Class == model.ClassGang {
			tasks = j.Pending()
		}
		minimums[workspace] = t.State.Usage(workspace).Add(t.estimate(j).Size.Scale(int64(tasks)))
	}
	return minimums
}

// reconcileGrant takes at most one step for the cap and the grant of a workspace,
// and stops tasks if a lowered limit is exceeded.
func (t *tick) reconcileGrant(ws *WorkspaceGrant, demand, minimum model.Resources) {
	g := t.State.Grant(ws.ID)
	usage := t.State.Usage(ws.ID)
	allowed := ws.Granted.Min(ws.Target)
	keep := allowed.Max(usage).Min(g.Cap)
	switch {
	case g.Returning && !ws.Granted.Fits(g.Cap):
		t.returnGrant(ws, g)
	case keep != g.Cap:
		t.lowerCap(ws, keep)
	case g.Returning:
		t.raiseCap(ws, ws.Granted)
	case g.Cap != allowed.Max(usage) && g.Version < ws.Version:
		t.raiseCap(ws, allowed.Max(usage))
	case g.Cap != ws.Granted:
		// The fleet recalls a part of the grant, or the cap was already lowered
		// under this version and only a newer version can raise it.
		t.lowerCap(ws, g.Cap)
	default:
		t.adjustGrant(ws, demand, minimum)
	}
	if ws.OverLimit && !usage.Fits(allowed) {
		t.stopOverLimit(ws.ID, usage, allowed)
	}
}

// stopOverLimit stops tasks of a workspace whose limit was lowered below its
// usage, those of the newest jobs first. Tasks of jobs that are not idempotent run
// to their end.
func (t *tick) stopOverLimit(workspace model.WorkspaceID, usage, allowed model.Resources) {
	jobs := t.State.Jobs()
	for i := len(jobs) - 1; i >= 0; i-- {
		j := jobs[i]
		if j.Spec.Workspace != workspace || j.ActiveTasks() == 0 {
			continue
		}
		for _, task := range slices.Backward(j.Tasks()) {
			if usage.Fits(allowed) {
				return
			}
			if !task.Active() {
				continue
			}
			if task.State == model.TaskStopping || t.stopped[task.ID] {
				usage = usage.Sub(j.Spec.Size)
				continue
			}
			if !j.Spec.Idempotent || !t.stop(task, ReasonOverLimit, true) {
				continue
			}
			usage = usage.Sub(j.Spec.Size)
			t.recordTask(EventStopped, task, ReasonOverLimit, fmt.Sprintf("workspace %s may use %s here", workspace, allowed), nil)
		}
	}
}

// removeUnknownGrants lowers the caps of workspaces that the view does not list to
// what their tasks use.
func (t *tick) removeUnknownGrants() {
	known := make(map[model.WorkspaceID]bool, len(t.View.Workspaces))
	for i := range t.View.Workspaces {
		known[t.View.Workspaces[i].ID] = true
	}
	for _, id := range t.State.Workspaces() {
		if !known[id] && t.State.Grant(id).Cap != t.State.Usage(id) {
			t.cmd.Grants = append(t.cmd.Grants, work.SetGrant{Workspace: id})
		}
	}
}

// raiseCap sets the cap to what the fleet's grant allows.
func (t *tick) raiseCap(ws *WorkspaceGrant, to model.Resources) {
	t.cmd.Grants = append(t.cmd.Grants, work.SetGrant{Workspace: ws.ID, Version: ws.Version, Cap: to})
	t.record(&eventlog.Event{
		Kind: EventGrant, Workspace: ws.ID, Cause: "granted",
		Detail: fmt.Sprintf("may run %s here, by version %d of the fleet's grant", to, ws.Version),
	}, nil)
}

// lowerCap lowers the cap in the replicated state to keep. A later tick tells the
// fleet, once the replicated state shows the lower cap.
func (t *tick) lowerCap(ws *WorkspaceGrant, keep model.Resources) {
	t.cmd.Grants = append(t.cmd.Grants, work.SetGrant{Workspace: ws.ID, Version: ws.Version, Cap: keep, Returning: true})
	t.record(&eventlog.Event{
		Kind: EventGrant, Workspace: ws.ID, Cause: "return",
		Detail: fmt.Sprintf("keeps %s of the grant %s", keep, ws.Granted),
	}, nil)
}

// returnGrant returns the part of the grant above the cap. The return names a
// version of the grant, and the cap must have been lowered in the replicated
// state under that same version, so that no delayed command can raise it again by
// that version. If it was lowered under an older version, this is done first.
func (t *tick) returnGrant(ws *WorkspaceGrant, g work.Grant) {
	if g.Version < ws.Version {
		t.cmd.Grants = append(t.cmd.Grants, work.SetGrant{Workspace: ws.ID, Version: ws.Version, Cap: g.Cap, Returning: true})
		return
	}
	if t.LeaderState.allowRequest("return "+string(ws.ID), t.NowMillis) {
		t.out.Fleet.Returns = append(t.out.Fleet.Returns, GrantReturn{
			Workspace: ws.ID, Version: ws.Version, Generation: t.Epoch.Generation(), Keep: g.Cap,
		})
	}
}

// adjustGrant requests a larger grant for waiting tasks, or starts the return of a
// part that has been unused for returnAfterIdleMillis.
func (t *tick) adjustGrant(ws *WorkspaceGrant, demand, minimum model.Resources) {
	want := demand.Min(ws.Limit)
	minimum = minimum.Min(ws.Limit)
	usageChanged := t.usageChanged(ws)
	if !want.Fits(ws.Granted) || ws.RequestedMinimum != minimum && !ws.RequestedMinimum.IsZero() || usageChanged {
		delete(t.LeaderState.idleSinceMillis, ws.ID)
		if ws.RequestedDemand == want && ws.RequestedMinimum == minimum && !usageChanged {
			return
		}
		if t.LeaderState.allowRequest(fmt.Sprintf("grant %s %s", ws.ID, want), t.NowMillis) {
			t.out.Fleet.Grants = append(t.out.Fleet.Grants, GrantRequest{
				Workspace: ws.ID, Demand: want, InUse: t.State.Usage(ws.ID), Minimum: minimum,
			})
		}
		return
	}
	keep := want.Add(slackFor(want)).Min(ws.Granted)
	if ws.Granted.Sub(keep).Scale(grantSlackDivisor).Fits(ws.Granted) {
		delete(t.LeaderState.idleSinceMillis, ws.ID)
		return
	}
	since, idle := t.LeaderState.idleSinceMillis[ws.ID]
	switch {
	case !idle:
		t.LeaderState.idleSinceMillis[ws.ID] = t.NowMillis
	case t.NowMillis-since >= returnAfterIdleMillis:
		delete(t.LeaderState.idleSinceMillis, ws.ID)
		t.lowerCap(ws, keep)
	}
}

// usageChanged reports whether the workspace's usage here differs from the usage
// in the newest request that the fleet has by more than 1/grantSlackDivisor of the
// grant. The workspace's share in other data centres depends on the usage that
// the fleet knows.
func (t *tick) usageChanged(ws *WorkspaceGrant) bool {
	usage := t.State.Usage(ws.ID)
	gap := usage.Max(ws.RequestedInUse).Sub(usage.Min(ws.RequestedInUse))
	return !gap.Scale(grantSlackDivisor).Fits(ws.Granted)
}

// slackFor returns what is kept on top of the demand.
func slackFor(demand model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     demand.MilliCPU / grantSlackDivisor,
		MemoryMB:     demand.MemoryMB / grantSlackDivisor,
		Accelerators: demand.Accelerators / grantSlackDivisor,
	}
}
