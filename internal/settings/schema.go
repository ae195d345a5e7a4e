package settings

import "fmt"

// Name is the name of a setting, such as "request.deadline".
type Name string

// Type is the type of a setting's value.
type Type string

// The types of settings. Value.Int holds milliseconds for a duration, bytes for
// a size, and 0 or 1 for a bool.
const (
	TypeDuration Type = "duration"
	TypeBytes    Type = "bytes"
	TypeInt      Type = "int"
	TypePercent  Type = "percent"
	TypeBool     Type = "bool"
)

// Definition is the schema of one setting. Min and Max are in the unit of
// Value.Int, both inclusive.
type Definition struct {
	Name     Name
	Type     Type
	Min, Max int64
	Default  Value
	// Lowest is the lowest level at which the setting can be set.
	Lowest Level
	// Doc is the description on the reference page.
	Doc string
}

// The names of the settings; definitions describes each of them.
const (
	SettingsLease     Name = "settings.lease"
	WorkerLease       Name = "worker.lease"
	ClockMargin       Name = "lease.clock-margin"
	RequestDeadline   Name = "request.deadline"
	RequestBody       Name = "request.body"
	RequestAnswer     Name = "request.answer"
	RequestQueue      Name = "request.queue"
	RequestTries      Name = "request.tries"
	RequestRetryShare Name = "request.retry-share"
	RequestIdle       Name = "request.idle"
	RecordLifetime    Name = "request.record-life"
	RecordAnswer      Name = "request.record-answer"
	ServerSilence     Name = "server.silence"
	SlotLease         Name = "server.slot-lease"
	TaskRetries       Name = "task.retries"
	TaskBackoff       Name = "task.backoff"
	Headroom          Name = "worker.headroom"
	QuarantineAfter   Name = "worker.quarantine-after"
	QuarantineFor     Name = "worker.quarantine-for"
	Preemptible       Name = "task.preemptible"
	GangReservation   Name = "gang.reservation"
	MoveRate          Name = "data-centre.move-rate"
	JobsQueued        Name = "workspace.jobs-queued"
)

// definitions lists all settings in the order of the reference page.
var definitions = []Definition{
	{SettingsLease, TypeDuration, 1000, 60_000, Value{Int: 2000}, LevelDataCentre, "how long a data centre acts on settings it could not renew"},
	{WorkerLease, TypeDuration, 1000, 60_000, Value{Int: 5000}, LevelDataCentre, "how long a worker runs tasks without hearing from control"},
	{ClockMargin, TypeDuration, 50, 5000, Value{Int: 250}, LevelDataCentre, "what a lease's giver adds for clock drift"},
	{RequestDeadline, TypeDuration, 10, 600_000, Value{Int: 30_000}, LevelWorkload, "the longest a request may take"},
	{RequestBody, TypeBytes, 0, 64 << 20, Value{Int: 1 << 20}, LevelWorkload, "the largest body of a request"},
	{RequestAnswer, TypeBytes, 0, 256 << 20, Value{Int: 16 << 20}, LevelWorkload, "the largest answer to a request"},
	{RequestQueue, TypeInt, 1, 100_000, Value{Int: 256}, LevelWorkload, "how many requests of one queue wait at one entry VM"},
	{RequestTries, TypeInt, 1, 10, Value{Int: 3}, LevelWorkload, "how many backend servers an idempotent request is sent to at the most"},
	{RequestRetryShare, TypePercent, 0, 100, Value{Int: 20}, LevelWorkload, "retries allowed per hundred requests"},
	{RequestIdle, TypeDuration, 100, 600_000, Value{Int: 10_000}, LevelWorkload, "the longest silence of a caller or backend server within a request"},
	{RecordLifetime, TypeDuration, 1000, 86_400_000, Value{Int: 600_000}, LevelWorkload, "how long the record of a request that is not idempotent is kept"},
	{RecordAnswer, TypeBytes, 0, 1 << 20, Value{Int: 64 << 10}, LevelWorkload, "the largest answer stored for repeats"},
	{ServerSilence, TypeDuration, 200, 60_000, Value{Int: 2000}, LevelDataCentre, "how long a backend server may go without announcing itself"},
	{SlotLease, TypeDuration, 500, 60_000, Value{Int: 2000}, LevelDataCentre, "how long an entry VM holds slots of a backend server without renewal"},
	{TaskRetries, TypeInt, 0, 100, Value{Int: 3}, LevelWorkload, "how often a failed task of an idempotent job is started again"},
	{TaskBackoff, TypeDuration, 10, 600_000, Value{Int: 500}, LevelWorkload, "the first pause before a failed task is started again; doubles each time"},
	{Headroom, TypePercent, 0, 100, Value{Int: 10}, LevelDataCentre, "what is added to reported use before it is compared with the declared size"},
	{QuarantineAfter, TypeInt, 1, 100, Value{Int: 3}, LevelDataCentre, "failed starts in a row after which a worker gets no new work"},
	{QuarantineFor, TypeDuration, 1000, 86_400_000, Value{Int: 30_000}, LevelDataCentre, "the first length of a quarantine; doubles each time"},
	{Preemptible, TypeBool, 0, 1, Value{Int: 1}, LevelWorkload, "whether urgent work may take the place of these tasks"},
	{GangReservation, TypeDuration, 100, 3_600_000, Value{Int: 10_000}, LevelWorkload, "how long room is held for a gang before smaller work may use it"},
	{MoveRate, TypeInt, 1, 10_000, Value{Int: 20}, LevelDataCentre, "tasks moved per second while a data centre is taken out"},
	{JobsQueued, TypeInt, 1, 1_000_000, Value{Int: 10_000}, LevelWorkspace, "how many unfinished jobs a workspace may have at the same time"},
}

var definitionByName = indexDefinitions()

func indexDefinitions() map[Name]Definition {
	m := make(map[Name]Definition, len(definitions))
	for _, d := range definitions {
		m[d.Name] = d
	}
	return m
}

// Schema returns the definition of the setting called name. It panics if there
// is none, so name must be one of the constants of this package.
func Schema(name Name) Definition {
	d, ok := definitionByName[name]
	if !ok {
		panic(fmt.Sprintf("settings: no definition of %q", name))
	}
	return d
}

// Definitions returns the definitions of all settings. The caller must not
// modify the slice.
func Definitions() []Definition { return definitions }
