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
	entry    *api.EntryView
	revision uint64
	dc       model.DCID
	region   string
	out      bool
	teams    map[model.TeamID]*model.Team
	queues   map[model.QueueName]*model.Queue
	tree     *settings.Tree
}

func newView(v *api.EntryView, dc model.DCID) *view {
	out := &view{
		entry:    v,
		revision: v.Revision,
		dc:       dc,
		teams:    make(map[model.TeamID]*model.Team, len(v.Teams)),
		queues:   make(map[model.QueueName]*model.Queue, len(v.Queues)),
		tree:     v.Tree,
	}
	if out.tree == nil {
		out.tree = settings.NewTree()
	}
	// fleet.AuthenticateKey searches both lists by halving.
	slices.SortFunc(v.Keys, func(a, b model.Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(v.Teams, func(a, b model.Team) int { return cmp.Compare(a.ID, b.ID) })
	for i := range v.Teams {
		out.teams[v.Teams[i].ID] = &v.Teams[i]
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
// which team. An open queue takes all; a valid key there only names the team.
func (v *view) admit(queue model.QueueName, key string) (*model.Queue, model.TeamID, *verdict.Refusal) {
	q := v.queues[queue]
	if q == nil {
		return nil, "", verdict.Refuse(verdict.ReasonUnknownQueue, "queue %q is not declared", queue)
	}
	team, id, refusal := fleet.AuthenticateKey(v.entry, key)
	if q.Open {
		return q, team.ID, nil
	}
	if refusal != nil {
		return nil, "", refusal
	}
	if team.ID != q.Team {
		return nil, "", verdict.Refuse(verdict.ReasonWrongTeam, "key %s does not open queue %s", id, queue)
	}
	return q, team.ID, nil
}

// scope is where settings of a queue's requests are looked up.
func (v *view) scope(q *model.Queue, team model.TeamID) settings.Scope {
	return settings.Scope{Region: v.region, DC: v.dc, Team: team, Workload: q.Workload}
}

// share is the team's weight; requests without a team weigh one.
func (v *view) share(team model.TeamID) int64 {
	if t := v.teams[team]; t != nil {
		return max(1, t.Share)
	}
	return 1
}
