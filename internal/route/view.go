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

// view is the fleet's state, indexed for request handling. It is immutable.
type view struct {
	entryView    *api.EntryView
	revision     uint64
	dc           model.DCID
	region       string
	outOfService bool
	workspaces   map[model.WorkspaceID]*model.Workspace
	queues       map[model.QueueName]*model.Queue
	tree         *settings.Tree
}

// newView indexes v. It sorts v.Keys and v.Workspaces in place.
func newView(v *api.EntryView, dc model.DCID) *view {
	res := &view{
		entryView:  v,
		revision:   v.Revision,
		dc:         dc,
		workspaces: make(map[model.WorkspaceID]*model.Workspace, len(v.Workspaces)),
		queues:     make(map[model.QueueName]*model.Queue, len(v.Queues)),
		tree:       v.Tree,
	}
	if res.tree == nil {
		res.tree = settings.NewTree()
	}
	// fleet.AuthenticateKey needs both lists sorted for its binary search.
	slices.SortFunc(v.Keys, func(a, b model.Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Workspaces, func(a, b model.Workspace) int { return cmp.Compare(a.ID, b.ID) })
	for i := range v.Workspaces {
		res.workspaces[v.Workspaces[i].ID] = &v.Workspaces[i]
	}
	for i := range v.Queues {
		res.queues[v.Queues[i].Name] = &v.Queues[i]
	}
	for _, d := range v.DataCentres {
		if d.ID == dc {
			res.region, res.outOfService = d.Region, d.Out
		}
	}
	return res
}

// admit authenticates key and checks that it gives access to the queue. It returns
// the queue and the workspace that the request counts for. An open queue admits
// every request; a valid key then only determines the workspace.
func (v *view) admit(queue model.QueueName, key string) (*model.Queue, model.WorkspaceID, *verdict.Refusal) {
	q := v.queues[queue]
	if q == nil {
		return nil, "", verdict.Refuse(verdict.ReasonUnknownQueue, "queue %q is not declared", queue)
	}
	workspace, id, refusal := fleet.AuthenticateKey(v.entryView, key)
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

// scope returns the scope in which settings for requests to q are looked up.
func (v *view) scope(q *model.Queue, workspace model.WorkspaceID) settings.Scope {
	return settings.Scope{Region: v.region, DC: v.dc, Workspace: workspace, Workload: q.Workload}
}

// share returns the workspace's weight for fair queueing, at least 1. Requests
// without a workspace have weight 1.
func (v *view) share(workspace model.WorkspaceID) int64 {
	if t := v.workspaces[workspace]; t != nil {
		return max(1, t.Share)
	}
	return 1
}
