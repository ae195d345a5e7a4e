package placement

// Reasons of waits and refusals. They are stable codes.
const (
	// ReasonNeverFits refuses a job that no worker, or not enough of them,
	// could take even when empty.
	ReasonNeverFits = "never-fits"
	// ReasonRoom waits for room on a worker.
	ReasonRoom = "no-room"
	// ReasonGang waits for room for all tasks of a gang at once.
	ReasonGang = "no-room-for-gang"
	// ReasonReserved waits for reserved room to become free.
	ReasonReserved = "room-reserved"
	// ReasonLimit waits because the workspace's grant is used up.
	ReasonLimit = "workspace-limit"
	// ReasonBackoff waits for the pause after a failure to end.
	ReasonBackoff = "back-off"
	// ReasonOut waits because the data centre is out.
	ReasonOut = "data-centre-out"
	// ReasonPlanFull waits because the plan has reached its bound.
	ReasonPlanFull = "plan-full"
	// ReasonNoWorkers waits because no worker is known.
	ReasonNoWorkers = "no-workers"
	// ReasonUnknownWorkspace waits because the workspace has no standing here.
	ReasonUnknownWorkspace = "unknown-workspace"
	// ReasonNextPlan waits because room was released late in this plan.
	ReasonNextPlan = "next-plan"
)

// Names of the filters, in the order in which they are asked. A worker is
// counted for the first one that rejects it.
const (
	FilterState        = "worker-state"
	FilterAvoid        = "failed-here"
	FilterSize         = "worker-size"
	FilterCPU          = "milli_cpu"
	FilterMemory       = "memory_mb"
	FilterAccelerators = "accelerators"
	FilterReserved     = "reserved"
)

// Names of the scorers.
const (
	ScorerPack    = "pack"
	ScorerBalance = "balance"
	ScorerDevices = "devices"
	ScorerSpread  = "spread"
)
