package route

import (
	"cmp"
	"slices"

	"kumquatwing/internal/api"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// view is the fleet's state as the request path reads it. It never changes.
type view struct {
	entry      *api.EntryView
	revision   uint64
	dc         model.DCID
	region     string
	out        bool
	workspaces map[model.WorkspaceID]*model.Workspace
	queues     map[model.QueueName]*model.Queue
	tree       *settings.Tree
}

func newView(v *api.EntryView, dc model.DCID) *view {
	out := &view{
		entry:      v,
		revision:   v.Revision,
		dc:         dc,
		workspaces: make(map[model.WorkspaceID]*model.Workspace, len(v.Workspaces)),
		queues:     make(map[model.QueueName]*model.Queue, len(v.Queues)),
		tree:       v.Tree,
	}
	if out.tree == nil {
		out.tree = settings.NewTree()
	}
	// fleet.AuthenticateKey searches both lists by halving.
	slices.SortFunc(v.Keys, func(a, b model.Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Workspaces, func(a, b model.Workspace) int { return cmp.Compare(a.ID, b.ID) })
	for i := range v.Workspaces {
		out.workspaces[v.Workspaces[i].ID] = &v.Workspaces[i]
	}
	for i := range v.Queues {
		out.queues[v.Queues[i].Name] = &v.Queues[i]
	}
	for _, d := range v.DataCentres {
		if d.ID == dc {
			out.region, out.out = d.Region, d.Out
		}
	}
	return out
}

// admit decides whether a request with this key may enter the queue, and for
// which workspace. An open queue takes all; a valid key there only names the workspace.
func (v *view) admit(queue model.QueueName, key string) (*model.Queue, model.WorkspaceID, *verdict.Refusal) {
	q := v.queues[queue]
	if q == nil {
		return nil, "", verdict.Refuse(verdict.ReasonUnknownQueue, "queue %q is not declared", queue)
	}
	workspace, id, refusal := fleet.AuthenticateKey(v.entry, key)
	if q.Open {
		return q, workspace.ID, nil
	}
	if refusal != nil {
		return nil, "", refusal
	}
	if workspace.ID != q.Workspace {
		return nil, "", verdict.Refuse(verdict.ReasonWrongWorkspace, "key %s does not open queue %s", id, queue)
	}
	return q, workspace.ID, nil
}

// scope is where settings of a queue's requests are looked up.
func (v *view) scope(q *model.Queue, workspace model.WorkspaceID) settings.Scope {
	return settings.Scope{Region: v.region, DC: v.dc, Workspace: workspace, Workload: q.Workload}
}

// share is the workspace's weight; requests without a workspace weigh one.
func (v *view) share(workspace model.WorkspaceID) int64 {
	if t := v.workspaces[workspace]; t != nil {
		return max(1, t.Share)
	}
	return 1
}
