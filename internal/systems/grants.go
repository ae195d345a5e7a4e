package systems

import (
	"fmt"
	"slices"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/work"
)

// returnAfterPart is the unused part of a grant, one in so many, that is kept
// when the rest is returned, so that grants don't go back and forth.
const returnAfterPart = 4

// returnAfterMillis is how long a grant is idle before the rest is returned.
const returnAfterMillis = 10_000

// ReasonOverLimit is the cause of stops after a workspace's limit was lowered.
const ReasonOverLimit = "over-limit"

// balanceGrants keeps each workspace's cap here in step with the fleet's grant: it
// asks for what waiting work needs and gives back what nothing needs. A cap is
// lowered in the group's tables before the fleet hears of it, and raised only
// from a grant that the fleet shows.
func (t *tick) balanceGrants() {
	if t.State.Rebuilding() {
		// Runs that no worker has reported yet need their grants.
		return
	}
	need := t.demand()
	floors := t.floors()
	for i := range t.View.Workspaces {
		h := &t.View.Workspaces[i]
		t.balance(h, need[h.ID], floors[h.ID])
	}
	t.dropGone()
}

// demand is what each workspace's running and waiting tasks take together.
func (t *tick) demand() map[model.WorkspaceID]model.Resources {
	need := map[model.WorkspaceID]model.Resources{}
	for _, j := range t.State.Jobs() {
		waiting := 0
		if j.Outcome == model.OutcomeNone {
			waiting = j.Pending()
		}
		size := j.Spec.Size.Scale(int64(j.Held()))
		if waiting > 0 {
			// The planner asks for the room that it plans with.
			size = size.Add(t.planned(j).Size.Scale(int64(waiting)))
		}
		if !size.IsZero() {
			need[j.Spec.Workspace] = need[j.Spec.Workspace].Add(size)
		}
	}
	return need
}

// floors is, per workspace, what it holds and what its oldest waiting job needs to
// start: a gang whole, others with one task. Without it many data centres could
// each hold a part of the limit that is too small for anything.
func (t *tick) floors() map[model.WorkspaceID]model.Resources {
	floors := map[model.WorkspaceID]model.Resources{}
	for _, j := range t.State.Jobs() {
		workspace := j.Spec.Workspace
		if _, known := floors[workspace]; known || j.Pending() == 0 || j.Outcome != model.OutcomeNone {
			continue
		}
		tasks := 1
		if j.Spec.Class == model.ClassGang {
			tasks = j.Pending()
		}
		floors[workspace] = t.State.Usage(workspace).Add(t.planned(j).Size.Scale(int64(tasks)))
	}
	return floors
}

func (t *tick) balance(h *WorkspaceHere, need, floor model.Resources) {
	g := t.State.Grant(h.ID)
	usage := t.State.Usage(h.ID)
	allowed := h.Granted.Min(h.Target)
	keep := allowed.Max(usage).Min(g.Cap)
	switch {
	case g.Returning && !h.Granted.Fits(g.Cap):
		t.giveBack(h, g)
	case keep != g.Cap:
		t.lower(h, keep)
	case g.Returning:
		t.raise(h, h.Granted)
	case g.Cap != allowed.Max(usage) && g.Version < h.Version:
		t.raise(h, allowed.Max(usage))
	case g.Cap != h.Granted:
		// The fleet wants a part back, or this version was lowered already and
		// only a newer one can raise the cap.
		t.lower(h, g.Cap)
	default:
		t.ask(h, need, floor)
	}
	if h.Over && !usage.Fits(allowed) {
		t.evict(h.ID, usage, allowed)
	}
}

// evict stops runs of a workspace whose limit was lowered below what it holds, the
// newest first. Runs of jobs that are not idempotent end by themselves.
func (t *tick) evict(workspace model.WorkspaceID, usage, allowed model.Resources) {
	jobs := t.State.Jobs()
	for i := len(jobs) - 1; i >= 0; i-- {
		j := jobs[i]
		if j.Spec.Workspace != workspace || j.Held() == 0 {
			continue
		}
		for _, row := range slices.Backward(j.Tasks()) {
			if usage.Fits(allowed) {
				return
			}
			if !row.Holds() {
				continue
			}
			if row.State == model.TaskStopping || t.stopped[row.ID] {
				usage = usage.Sub(j.Spec.Size)
				continue
			}
			if !j.Spec.Idempotent || !t.stop(row, ReasonOverLimit, true) {
				continue
			}
			usage = usage.Sub(j.Spec.Size)
			t.recordTask(EventStopped, row, ReasonOverLimit, fmt.Sprintf("workspace %s may use %s here", workspace, allowed), nil)
		}
	}
}

// dropGone takes the caps of workspaces that the fleet no longer has.
func (t *tick) dropGone() {
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

// raise sets the cap to what the fleet's grant allows.
func (t *tick) raise(h *WorkspaceHere, to model.Resources) {
	t.cmd.Grants = append(t.cmd.Grants, work.SetGrant{Workspace: h.ID, Version: h.Version, Cap: to})
	t.record(&eventlog.Event{
		Kind: EventGrant, Workspace: h.ID, Cause: "granted",
		Detail: fmt.Sprintf("may run %s here, by version %d of the fleet's grant", to, h.Version),
	}, nil)
}

// lower takes the cap down to keep in the tables; the fleet hears of it in a
// later tick, when the tables show it.
func (t *tick) lower(h *WorkspaceHere, keep model.Resources) {
	t.cmd.Grants = append(t.cmd.Grants, work.SetGrant{Workspace: h.ID, Version: h.Version, Cap: keep, Returning: true})
	t.record(&eventlog.Event{
		Kind: EventGrant, Workspace: h.ID, Cause: "return",
		Detail: fmt.Sprintf("keeps %s of the grant %s", keep, h.Granted),
	}, nil)
}

// giveBack returns what is above the cap. The tables must have lowered the very
// version of the grant that the return names, so that no delayed command can
// raise the cap by that version.
func (t *tick) giveBack(h *WorkspaceHere, g work.Grant) {
	if g.Version < h.Version {
		t.cmd.Grants = append(t.cmd.Grants, work.SetGrant{Workspace: h.ID, Version: h.Version, Cap: g.Cap, Returning: true})
		return
	}
	if t.Memory.mayAsk("return "+string(h.ID), t.NowMillis) {
		t.out.Fleet.Returns = append(t.out.Fleet.Returns, GrantReturn{
			Workspace: h.ID, Version: h.Version, Generation: t.Epoch.Generation(), Keep: g.Cap,
		})
	}
}

// ask requests more for waiting work, or returns what has been idle.
func (t *tick) ask(h *WorkspaceHere, need, floor model.Resources) {
	want := need.Min(h.Limit)
	floor = floor.Min(h.Limit)
	moved := t.moved(h)
	if !want.Fits(h.Granted) || h.AskedFloor != floor && !h.AskedFloor.IsZero() || moved {
		delete(t.Memory.idle, h.ID)
		if h.Asked == want && h.AskedFloor == floor && !moved {
			return
		}
		if t.Memory.mayAsk(fmt.Sprintf("grant %s %s", h.ID, want), t.NowMillis) {
			t.out.Fleet.Grants = append(t.out.Fleet.Grants, GrantRequest{
				Workspace: h.ID, Want: want, Holds: t.State.Usage(h.ID), Floor: floor,
			})
		}
		return
	}
	keep := want.Add(spareOf(want)).Min(h.Granted)
	if h.Granted.Sub(keep).Scale(returnAfterPart).Fits(h.Granted) {
		delete(t.Memory.idle, h.ID)
		return
	}
	since, idle := t.Memory.idle[h.ID]
	switch {
	case !idle:
		t.Memory.idle[h.ID] = t.NowMillis
	case t.NowMillis-since >= returnAfterMillis:
		delete(t.Memory.idle, h.ID)
		t.lower(h, keep)
	}
}

// moved reports whether the workspace's use here differs much from what the fleet
// was told, on which the workspace's share in other data centres depends.
func (t *tick) moved(h *WorkspaceHere) bool {
	usage := t.State.Usage(h.ID)
	gap := usage.Max(h.AskedHolds).Sub(usage.Min(h.AskedHolds))
	return !gap.Scale(returnAfterPart).Fits(h.Granted)
}

// spareOf is the slack kept above what is needed.
func spareOf(need model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     need.MilliCPU / returnAfterPart,
		MemoryMB:     need.MemoryMB / returnAfterPart,
		Accelerators: need.Accelerators / returnAfterPart,
	}
}
