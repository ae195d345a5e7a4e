// Package systems decides how the work in a data centre changes. On each tick the
// leader runs a fixed sequence of systems over the replicated state: lost workers,
// usage, quarantine, admission, cancellation, drain, grants and placement. Each
// system reads the state and adds to one command; nothing changes before the
// command is committed. Every decision is recorded as an event, with an
// explanation where there is one.
package systems

import (
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/model"
	"kumquatwing/internal/placement"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/work"
)

// View is the part of the fleet's state that a tick needs. Jobs are in order of
// arrival, workspaces sorted by id.
type View struct {
	// Revision grows with every change of Jobs or Workspaces. Systems that only
	// bring the replicated state in line with the view skip a revision that they
	// have processed.
	Revision uint64
	// Generation is the newest generation of the data centre group that the fleet
	// has on record. If it differs from the leader's own, the view is too old to
	// act on, since it may list tasks that have moved since. 0 disables the check.
	Generation uint64
	Region     string
	DC         model.DCID
	// Out is set while the data centre is out of service. OutRevision is the
	// revision that last changed it.
	Out         bool
	OutRevision uint64
	Tree        *settings.Tree
	// Config is the configuration revision, which events name.
	Config uint64
	// FleetSize is the total size of the fleet's workers, on which the shares of
	// workspaces are based. If zero, the shares are based on this data centre.
	FleetSize  model.Resources
	Jobs       []JobHere
	Workspaces []WorkspaceHere
}

// JobHere is a job without a final outcome that has tasks assigned to this data
// centre.
type JobHere struct {
	Spec model.JobSpec
	// Assignment is the fleet revision that last changed the tasks assigned to
	// this data centre.
	Assignment uint64
	// Tasks lists the assigned tasks; empty means all tasks of the job.
	Tasks     []work.AdmitTask
	Cancelled bool
	// RunningElsewhere counts the job's running tasks in other data centres.
	RunningElsewhere int
}

// WorkspaceHere is a workspace with its grant for this data centre.
type WorkspaceHere struct {
	model.Workspace
	// Granted is the part of the workspace's limit that the fleet has granted to
	// this data centre. Target is the amount down to which the fleet recalls it,
	// and equals Granted if nothing is recalled.
	Granted, Target model.Resources
	// Over is set while a lowered limit is exceeded. Tasks beyond Target are then
	// stopped. If it is not set, they run to their end and no new ones start.
	Over bool
	// Asked, AskedFloor and AskedHolds are the fields Want, Floor and Holds of the
	// newest GrantRequest that the fleet has.
	Asked, AskedFloor, AskedHolds model.Resources
	// Version grows with every change of Granted.
	Version uint64
	// Elsewhere is the workspace's usage in other data centres.
	Elsewhere model.Resources
}

// Input is what one tick depends on.
type Input struct {
	// NowMillis is the time of the group's clock.
	NowMillis int64
	Epoch     model.Epoch
	// Member names the deciding member in events.
	Member string
	State  *work.State
	View   *View
	// Lost lists the workers whose leases have provably ended.
	Lost []work.WorkerLost
	// RebuildOver is set once every worker's lease has ended or been renewed
	// since the leader took over. Until then, workers may be missing in State.
	RebuildOver bool
	// Usable reports whether a worker may get new tasks; nil means all may.
	Usable func(model.WorkerID) bool
	// MayStart is set while the settings lease is valid.
	MayStart bool
	// Memory belongs to the leader and is the same for all of its ticks.
	Memory *Memory
	// Decide computes the placement plan.
	Decide func(*placement.Snapshot) *placement.Plan
	// MaxPlacements bounds the placements of the tick; 0 means no bound.
	MaxPlacements int
}

// Output is the result of a tick: a command for the data centre group, and
// requests to the fleet group, which later ticks repeat until the fleet's state
// shows their effect. Commit must be called once the command has been committed,
// or at once if it is empty. Abandon must be called if it may not have been
// committed.
type Output struct {
	Command *work.Command
	Fleet   FleetRequests
	// Plan is the placement plan, for metrics; nil if none was computed.
	Plan *placement.Plan

	memory *Memory
	events []eventlog.Event
	// previousChanges is the value of Memory.changes before the tick, and finished
	// lists the jobs that the tick added to Memory.finished. Abandon uses both to
	// undo these changes.
	previousChanges uint64
	finished        []model.JobID
}

// FleetRequests are the changes of the fleet's state that a tick requests.
type FleetRequests struct {
	Finish   []JobOutcome
	Grants   []GrantRequest
	Returns  []GrantReturn
	Reassign []Reassign
}

// JobOutcome reports the outcome of all tasks of a job that are assigned to this
// data centre.
type JobOutcome struct {
	Job model.JobID
	// Assignment is the assignment that the outcome covers.
	Assignment uint64
	Outcome    model.Outcome
	Reason     string
	// AllTasks is set if all of the job's tasks are assigned to this data centre.
	AllTasks bool
	Tasks    []TaskOutcome
}

// TaskOutcome is the outcome of one task.
type TaskOutcome struct {
	Index   int
	Outcome model.Outcome
	Reason  string
}

// GrantRequest requests that a workspace's grant for this data centre be raised to
// Want.
type GrantRequest struct {
	Workspace model.WorkspaceID
	Want      model.Resources
	// Holds is the workspace's current usage in this data centre.
	Holds model.Resources
	// Floor is the minimum grant with which the oldest waiting job could start;
	// zero if none waits.
	Floor model.Resources
}

// GrantReturn lowers a workspace's grant for this data centre to Keep. The
// replicated state already limits the workspace's tasks to Keep.
type GrantReturn struct {
	Workspace model.WorkspaceID
	// Version is the version of the grant that the return is based on. The fleet
	// must ignore a return with an older version than its own, since it may be a
	// delayed duplicate.
	Version uint64
	// Generation is the generation of the data centre group. The fleet must ignore
	// a return with an older generation than it has on record, since the
	// replicated state of that generation is lost.
	Generation uint64
	Keep       model.Resources
}

// Reassign gives tasks that hold no resources here to another data centre.
//
// The fleet must ignore a request whose Assignment differs from its own record of
// the job, or whose Generation of the group is older: the request may be a delayed
// duplicate, and the tasks may be running here by now.
type Reassign struct {
	Job model.JobID
	// Assignment is the fleet revision that assigned the tasks to this data centre.
	Assignment uint64
	Generation uint64
	// To is this data centre if it is back in service. It is empty while the data
	// centre is out of service, which leaves the choice to the fleet. In both cases
	// the fleet must make a new assignment.
	To     model.DCID
	Tasks  []work.AdmitTask
	Reason string
}
