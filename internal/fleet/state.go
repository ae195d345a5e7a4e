// Package fleet implements the replicated state of the fleet group: settings,
// workspaces, keys, data centres, accepted jobs with the data centres that own
// their tasks, the grants of each workspace's limit to data centres, and the
// members and groups of the system. State is a deterministic state machine
// without clock or I/O.
package fleet

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

// State implements replica.StateMachine. All methods must be called on the group's
// goroutine. Values that the read methods return are never modified afterwards:
// callers may keep them, but must not modify them.
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
	// minGrantSeq is the last Grant.MinGrantSeq that was assigned.
	minGrantSeq uint64
	// grantsVersion is the value of GrantsVersion.
	grantsVersion uint64
	// overLimit is the set of workspaces whose grants exceed their lowered limit.
	overLimit map[model.WorkspaceID]bool
	// limitRevisions holds, per workspace, the revision of the last change of its
	// limit.
	limitRevisions map[model.WorkspaceID]uint64
	members        map[model.VMID]Member
	groups         map[model.DCID]*Group
	// entryView caches the result of EntryView; nil after a configuration change.
	entryView *api.EntryView
}

var _ replica.StateMachine = (*State)(nil)

// New returns an empty state.
func New() *State {
	return &State{
		tree:           settings.NewTree(),
		workspaces:     map[model.WorkspaceID]model.Workspace{},
		dcs:            map[model.DCID]model.DataCentre{},
		keys:           map[model.KeyID]model.Key{},
		operations:     newOperations(),
		jobs:           newJobTable(),
		grants:         map[grantKey]*Grant{},
		overLimit:      map[model.WorkspaceID]bool{},
		limitRevisions: map[model.WorkspaceID]uint64{},
		members:        map[model.VMID]Member{},
		groups:         map[model.DCID]*Group{},
	}
}

// Apply implements replica.StateMachine.
func (s *State) Apply(_ uint64, command []byte) []byte {
	var result *Result
	c, err := decode(command)
	if err != nil {
		result = refuse(verdict.ReasonBadRequest, "fleet: command can't be decoded: %v", err)
	} else {
		result = s.execute(c)
	}
	if !result.Duplicate {
		result.Revision = s.revision
	}
	b, err := msgpack.Marshal(result)
	if err != nil {
		// Encoding a Result cannot fail.
		panic(err)
	}
	return b
}

// execute applies the command that is set in c.
func (s *State) execute(c *Command) *Result {
	switch {
	case c.Apply != nil, c.GrantKey != nil, c.WithdrawKey != nil, c.SetDataCentre != nil:
		return s.executeOperatorCommand(c)
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
	case c.BootstrapGroup != nil:
		return s.bootstrapGroup(c.BootstrapGroup)
	case c.SetGroupVoters != nil:
		return s.setGroupVoters(c.SetGroupVoters)
	}
	return refuse(verdict.ReasonBadRequest, "fleet: command has no known part")
}
