// Package systems holds what runs over a data centre's tables each tick: lost
// workers, admission, cancellation, usage, quarantine, drain, grants and
// placement. Each system reads the tables and adds to a command; nothing is
// changed before the command is committed. Every decision is recorded as an
// event with its account.
package systems

import (
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// View is what a tick needs of the fleet's state. Jobs are in order of arrival,
// workspaces sorted by id.
type View struct {
	// Revision grows with every change of Jobs or Workspaces. Systems that only
	// follow the fleet skip a view that they have seen.
	Revision uint64
	// Generation is the newest of the data centre's group that the fleet has on
	// record. A view that does not show the leader's own is too old to act on:
	// it may list tasks that have moved since. 0 is not checked.
	Generation uint64
	Region     string
	DC         model.DCID
	// Out is set while the data centre is taken out, by OutRevision.
	Out         bool
	OutRevision uint64
	Tree        *settings.Tree
	// Config is the configuration revision, which events name.
	Config uint64
	// FleetSize is the size of all workers of the fleet, against which shares
	// are counted; zero means this data centre's.
	FleetSize  model.Resources
	Jobs       []JobHere
	Workspaces []WorkspaceHere
}

// JobHere is a job with tasks owned by this data centre and no final outcome.
type JobHere struct {
	Spec model.JobSpec
	// Assignment is the fleet revision that last gave or took tasks.
	Assignment uint64
	// Tasks lists those owned here; empty means all of the job.
	Tasks     []work.AdmitTask
	Cancelled bool
	// RunningElsewhere counts the job's running tasks in other data centres.
	RunningElsewhere int
}

// WorkspaceHere is a workspace with its grant for this data centre.
type WorkspaceHere struct {
	model.Workspace
	// Granted is what the fleet holds reserved for this data centre, Target
	// what it wants that to come down to; equal to Granted if all may stay.
	Granted, Target model.Resources
	// Over is set while a lowered limit is exceeded: what runs beyond Target is
	// to be stopped. Without it that runs on, and nothing new starts.
	Over bool
	// Asked, AskedFloor and AskedHolds are the newest request that the fleet has.
	Asked, AskedFloor, AskedHolds model.Resources
	// Version grows with every change of Granted.
	Version uint64
	// Elsewhere is what the workspace's tasks hold in other data centres.
	Elsewhere model.Resources
}

// Input is what one tick depends on.
type Input struct {
	// NowMillis is the group's clock.
	NowMillis int64
	Epoch     model.Epoch
	// Member names who decides, in events.
	Member string
	State  *work.State
	View   *View
	// Lost lists the workers whose leases have provably ended.
	Lost []work.WorkerLost
	// RebuildOver is set once every worker's lease has ended or been renewed
	// since the leader took over. Before, workers may be missing in the tables.
	RebuildOver bool
	// Usable reports whether a worker may get new tasks; nil means all may.
	Usable func(model.WorkerID) bool
	// MayStart is set while the settings lease holds.
	MayStart bool
	// Memory is the leader's own, kept from tick to tick.
	Memory *Memory
	Decide func(*placement.Snapshot) *placement.Plan
	// MaxPlacements bounds the placements of the tick; 0 means no bound.
	MaxPlacements int
}

// Output is what a tick wants done: one command for the group, and requests to
// the fleet, which are made anew until the fleet's state shows them. Once the
// command is committed, or if it is empty, Commit must be called; if it may not
// have been committed, Abandon.
type Output struct {
	Command *work.Command
	Fleet   FleetRequests
	// Plan is the placement part, for metrics.
	Plan *placement.Plan

	memory *Memory
	events []eventlog.Event
	// changes and finished say how to take the memory back; see Abandon.
	changes  uint64
	finished []model.JobID
}

// FleetRequests are the changes of the fleet's state that a tick asks for.
type FleetRequests struct {
	Finish   []Finish
	Grants   []GrantRequest
	Returns  []GrantReturn
	Reassign []Reassign
}

// Finish tells the outcome of all tasks of a job that are owned here.
type Finish struct {
	Job model.JobID
	// Assignment is the one that the outcome covers.
	Assignment uint64
	Outcome    model.Outcome
	Reason     string
	// Whole is set if all of the job's tasks are owned here.
	Whole bool
	Tasks []TaskOutcome
}

// TaskOutcome is the outcome of one task.
type TaskOutcome struct {
	Index   int
	Outcome model.Outcome
	Reason  string
}

// GrantRequest asks that a workspace's grant here be raised to Want.
type GrantRequest struct {
	Workspace model.WorkspaceID
	Want      model.Resources
	// Holds is what the workspace's tasks take here now.
	Holds model.Resources
	// Floor is the least with which the oldest waiting job could start; zero if
	// none waits.
	Floor model.Resources
}

// GrantReturn lowers a workspace's grant here to Keep. The data centre's own tables
// already keep its tasks within Keep.
type GrantReturn struct {
	Workspace model.WorkspaceID
	// Version is the one of the grant that the return is based on; the fleet
	// must ignore a return of an older version, which may be a late repeat.
	Version uint64
	// Generation of the data centre's group; the fleet must ignore a return of
	// an older one than it has on record, since that group's tables are lost.
	Generation uint64
	Keep       model.Resources
}

// Reassign gives tasks that hold nothing here to another data centre.
//
// The fleet must ignore a request of another Assignment than its own record of
// the job, or of an older Generation of the group: it may be a late repeat, and
// the tasks may run here by now.
type Reassign struct {
	Job model.JobID
	// Assignment is the fleet revision that gave the tasks to this data centre.
	Assignment uint64
	Generation uint64
	// To is this data centre once it is in again, and empty while the choice is
	// the fleet's. Either way the fleet must give a new assignment.
	To     model.DCID
	Tasks  []work.AdmitTask
	Reason string
}
