package placement

// Codes for the reason of a wait or a refusal. They are stored and returned to
// callers, so their values must not change.
const (
	// ReasonNeverFits: even empty workers could not run the job, because each is
	// too small for a task or, for a gang, together they have too few slots.
	ReasonNeverFits = "never-fits"
	// ReasonNoCapacity: no worker passes all filters for a task of the job.
	ReasonNoCapacity = "no-room"
	// ReasonNoGangCapacity: the workers can't run all tasks of the gang at the
	// same time.
	ReasonNoGangCapacity = "no-room-for-gang"
	// ReasonReserved: the job has a reservation whose capacity is not free yet.
	ReasonReserved = "room-reserved"
	// ReasonLimit: the workspace's grant in this data centre is used up.
	ReasonLimit = "workspace-limit"
	// ReasonBackoff: the back-off after a failure has not ended.
	ReasonBackoff = "back-off"
	// ReasonOutOfService: the data centre is out of service.
	ReasonOutOfService = "data-centre-out"
	// ReasonPlanFull: the plan has reached Snapshot.MaxPlacements.
	ReasonPlanFull = "plan-full"
	// ReasonNoWorkers: the snapshot has no workers.
	ReasonNoWorkers = "no-workers"
	// ReasonUnknownWorkspace: the snapshot does not contain the job's workspace.
	ReasonUnknownWorkspace = "unknown-workspace"
	// ReasonNextPlan: capacity became available after this plan had tried the
	// job, so the next plan can place it.
	ReasonNextPlan = "next-plan"
)

// Names of the filters in explanations, in the order in which the filters run.
// A worker counts for the first filter that rejects it.
const (
	FilterState        = "worker-state"
	FilterAvoid        = "failed-here"
	FilterSize         = "worker-size"
	FilterCPU          = "milli_cpu"
	FilterMemory       = "memory_mb"
	FilterAccelerators = "accelerators"
	FilterReserved     = "reserved"
)

// Names of the scorers in explanations.
const (
	ScorerPack    = "pack"
	ScorerBalance = "balance"
	ScorerDevices = "devices"
	ScorerSpread  = "spread"
)
