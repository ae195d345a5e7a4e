// Package fleet is the state of the fleet group: settings, workspaces, keys, data
// centres, accepted jobs with their data centres, the parts of each workspace's
// limit lent to data centres, and the members of the system. State is a
// deterministic state machine without clock or I/O.
package fleet

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// State implements replica.Machine. All methods must be called on the group's
// goroutine. What the reads return is never changed afterwards, so that it may
// be kept; it must not be written to.
type State struct {
	revision     uint64
	declarations settings.Declarations
	tree         *settings.Tree
	workspaces   map[model.WorkspaceID]model.Workspace
	dcs          map[model.DCID]model.DataCentre
	keys         map[model.KeyID]model.Key
	history      []Change
	operations   operations
	jobs         jobTable
	grants       map[grantKey]*Grant
	// floorSeq numbers the floors of grants.
	floorSeq uint64
	// grantsVersion grows with each change of a grant.
	grantsVersion uint64
	// over holds the workspaces whose grants exceed their lowered limit.
	over map[model.WorkspaceID]bool
	// limitRevisions holds the revision that last changed each workspace's limit.
	limitRevisions map[model.WorkspaceID]uint64
	members        map[model.VMID]Member
	groups         map[model.DCID]*Group
	view           *api.EntryView
}

var _ replica.Machine = (*State)(nil)

// New returns the state before any command.
func New() *State {
	return &State{
		tree:           settings.NewTree(),
		workspaces:     map[model.WorkspaceID]model.Workspace{},
		dcs:            map[model.DCID]model.DataCentre{},
		keys:           map[model.KeyID]model.Key{},
		operations:     newOperations(),
		jobs:           newJobTable(),
		grants:         map[grantKey]*Grant{},
		over:           map[model.WorkspaceID]bool{},
		limitRevisions: map[model.WorkspaceID]uint64{},
		members:        map[model.VMID]Member{},
		groups:         map[model.DCID]*Group{},
	}
}

// Apply implements replica.Machine.
func (s *State) Apply(_ uint64, command []byte) []byte {
	var result *Result
	c, err := decode(command)
	if err != nil {
		result = refuse(verdict.ReasonBadRequest, "fleet: command can't be decoded: %v", err)
	} else {
		result = s.execute(c)
	}
	if !result.Repeat {
		result.Revision = s.revision
	}
	b, err := msgpack.Marshal(result)
	if err != nil {
		// The types of a result always encode.
		panic(err)
	}
	return b
}

// execute runs the one part of c that is set.
func (s *State) execute(c *Command) *Result {
	switch {
	case c.Apply != nil, c.GrantKey != nil, c.WithdrawKey != nil, c.SetDataCentre != nil:
		return s.operate(c)
	case c.SubmitJob != nil:
		return s.submitJob(c.SubmitJob)
	case c.CancelJobs != nil:
		return s.cancelJobs(c.CancelJobs)
	case c.FinishJobs != nil:
		return s.finishJobs(c.FinishJobs)
	case c.ReassignTasks != nil:
		return s.reassignTasks(c.ReassignTasks)
	case c.RequestGrant != nil:
		return s.requestGrant(c.RequestGrant)
	case c.ReturnGrant != nil:
		return s.returnGrant(c.ReturnGrant)
	case c.RegisterMember != nil:
		return s.registerMember(c.RegisterMember)
	case c.RemoveMember != nil:
		return s.removeMember(c.RemoveMember)
	case c.FoundGroup != nil:
		return s.foundGroup(c.FoundGroup)
	case c.SetGroupVoters != nil:
		return s.setGroupVoters(c.SetGroupVoters)
	}
	return refuse(verdict.ReasonBadRequest, "fleet: command has no known part")
}
