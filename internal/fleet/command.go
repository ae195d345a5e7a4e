package fleet

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
	"kumquatwing/internal/settings"
)

// AnyRevision, as Header.ExpectRevision, skips the check of the revision.
const AnyRevision = math.MaxUint64

// Header identifies an operator's command and states its precondition.
type Header struct {
	// OpID identifies the operation; a retry carries the same one.
	OpID string `msgpack:"o"`
	// Actor is the operator's name as recorded in the history.
	Actor string `msgpack:"a"`
	// ExpectRevision is the configuration revision that the command is based on.
	// A command based on another revision is refused.
	ExpectRevision uint64 `msgpack:"e"`
	// AtMillis is the proposer's wall clock. It is recorded in the history and
	// has no effect otherwise.
	AtMillis int64 `msgpack:"t"`
}

// Command is one command of the fleet group's state machine. Exactly one of its
// pointers is set. Header is used by Apply, GrantKey, WithdrawKey and
// SetDataCentre only.
type Command struct {
	Header Header `msgpack:"h"`

	Apply         *Apply         `msgpack:"apply,omitempty"`
	GrantKey      *GrantKey      `msgpack:"grant_key,omitempty"`
	WithdrawKey   *WithdrawKey   `msgpack:"withdraw_key,omitempty"`
	SetDataCentre *SetDataCentre `msgpack:"set_dc,omitempty"`

	SubmitJob     *SubmitJob     `msgpack:"submit,omitempty"`
	CancelJobs    *CancelJobs    `msgpack:"cancel,omitempty"`
	FinishJobs    *FinishJobs    `msgpack:"finish,omitempty"`
	ReassignTasks *ReassignTasks `msgpack:"reassign,omitempty"`

	RequestGrant *RequestGrant `msgpack:"request_grant,omitempty"`
	ReturnGrant  *ReturnGrant  `msgpack:"return_grant,omitempty"`

	RegisterMember *RegisterMember `msgpack:"register,omitempty"`
	RemoveMember   *RemoveMember   `msgpack:"remove,omitempty"`
	BootstrapGroup *BootstrapGroup `msgpack:"found,omitempty"`
	SetGroupVoters *SetGroupVoters `msgpack:"voters,omitempty"`
}

// Apply replaces all declarations.
type Apply struct {
	Declarations settings.Declarations `msgpack:"d"`
	// FromRevision, if not 0, applies the declarations of that earlier revision
	// from the history instead of Declarations.
	FromRevision uint64 `msgpack:"f,omitempty"`
}

// GrantKey adds an API key of a workspace. It carries only the hash of the key's
// secret.
type GrantKey struct {
	Key       model.KeyID       `msgpack:"k"`
	Workspace model.WorkspaceID `msgpack:"t"`
	Hash      [32]byte          `msgpack:"h"`
}

// WithdrawKey revokes a key permanently.
type WithdrawKey struct {
	Key model.KeyID `msgpack:"k"`
}

// SetDataCentre takes a data centre out of service or puts it back into service.
type SetDataCentre struct {
	DC  model.DCID `msgpack:"d"`
	Out bool       `msgpack:"o"`
}

// SubmitJob submits a job. It is idempotent by the job's id and spec.
type SubmitJob struct {
	Spec model.JobSpec `msgpack:"s"`
	// Owners holds the data centre that owns each task, by the task's index.
	Owners []model.DCID `msgpack:"o"`
	// Key, if set, must be a key of the job's workspace that is not revoked.
	Key model.KeyID `msgpack:"k,omitempty"`
}

// CancelJobs marks jobs as cancelled; the data centres that own their tasks then
// end them.
type CancelJobs struct {
	IDs []model.JobID `msgpack:"i"`
	// Workspace, if set, must be the workspace of each job. Expired jobs are
	// skipped.
	Workspace model.WorkspaceID `msgpack:"t,omitempty"`
	// Key, if set, must be a key of Workspace that is not revoked.
	Key model.KeyID `msgpack:"k,omitempty"`
}

// FinishJobs records the outcomes of jobs or of parts of jobs.
type FinishJobs struct {
	Jobs []FinishedJob `msgpack:"j"`
}

// FinishedJob is the outcome of a job, or of the part of it that DC owns.
type FinishedJob struct {
	Job model.JobID `msgpack:"j"`
	// DC is the owner whose part has ended; empty if the whole job has ended.
	DC      model.DCID    `msgpack:"d,omitempty"`
	Outcome model.Outcome `msgpack:"o"`
	Reason  string        `msgpack:"r,omitempty"`
	// Assignment is the Job.Assignment that the outcome refers to. The outcome is
	// ignored if tasks have been reassigned since. 0 skips the check.
	Assignment uint64 `msgpack:"a,omitempty"`
}

// ReassignTasks moves tasks to another data centre. The group of the previous
// owner must have made sure that none of them is running.
type ReassignTasks struct {
	Job  model.JobID `msgpack:"j"`
	From model.DCID  `msgpack:"f"`
	To   model.DCID  `msgpack:"t"`
	// Tasks lists the tasks, each with the state that the new owner needs.
	Tasks []ReassignedTask `msgpack:"i"`
	// Assignment is the Job.Assignment that the move is based on. The command is
	// refused if tasks have been reassigned since, because they may be running
	// again. 0 skips the check.
	Assignment uint64 `msgpack:"a,omitempty"`
	// Generation is the generation of the previous owner's group. The command is
	// refused if a newer generation is recorded, because the state that the
	// decision was based on is lost. 0 skips the check.
	Generation uint64 `msgpack:"n,omitempty"`
}

// RequestGrant reports the demand of a workspace in a data centre and requests a
// grant of the workspace's limit.
type RequestGrant struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	DC        model.DCID        `msgpack:"d"`
	// Demand is the workspace's demand in the data centre: its running and its
	// waiting tasks.
	Demand model.Resources `msgpack:"w"`
	// InUse is the amount that the workspace's tasks use in the data centre now.
	InUse model.Resources `msgpack:"h"`
	// MinGrant is the minimum grant with which the workspace's oldest waiting job
	// can start in the data centre: the amount in use there plus what that job
	// needs to start, all tasks of a gang or one task of another job. Without it, a
	// job that needs more than the fair share would never start. It is zero if no
	// job waits.
	MinGrant model.Resources `msgpack:"f"`
}

// ReturnGrant returns the part of a grant above Keep. Before proposing it, the data
// centre's group must have committed to start nothing beyond Keep until it has
// the result of a later RequestGrant.
type ReturnGrant struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	DC        model.DCID        `msgpack:"d"`
	Keep      model.Resources   `msgpack:"k"`
	// Version is the Grant.Version that the return is based on. The command is
	// refused if the grant has changed since.
	Version uint64 `msgpack:"v"`
	// Generation is the generation of the data centre's group. The command is
	// refused if a newer generation is recorded, because the cap that the older
	// one committed is lost. 0 skips the check.
	Generation uint64 `msgpack:"n"`
}

// RegisterMember records the current incarnation of a kqcontrol process.
type RegisterMember struct {
	Member Member `msgpack:"m"`
}

// RemoveMember removes a VM whose kqcontrol process has ended permanently.
type RemoveMember struct {
	VM model.VMID `msgpack:"v"`
	// Incarnation must be the VM's current incarnation.
	Incarnation replica.MemberID `msgpack:"i"`
}

// BootstrapGroup starts a new generation of a data centre's group with one member as
// its only voter.
type BootstrapGroup struct {
	DC         model.DCID       `msgpack:"d"`
	Generation uint64           `msgpack:"g"`
	Member     replica.MemberID `msgpack:"m"`
}

// SetGroupVoters records the current voters of a data centre's group.
type SetGroupVoters struct {
	DC         model.DCID         `msgpack:"d"`
	Generation uint64             `msgpack:"g"`
	Voters     []replica.MemberID `msgpack:"v"`
}

// Encode returns the encoding of c in which it is proposed.
func Encode(c *Command) ([]byte, error) { return codec.Marshal(c) }

// decode is the inverse of Encode.
func decode(b []byte) (*Command, error) {
	c := new(Command)
	if err := codec.Unmarshal(b, c); err != nil {
		return nil, err
	}
	return c, nil
}

// digest returns a hash of an operator's command. AtMillis and ExpectRevision are
// left out, since they may differ between retries of the same command.
func (c *Command) digest() uint64 {
	hashed := *c
	hashed.Header.AtMillis = 0
	hashed.Header.ExpectRevision = 0
	return digestOf(&hashed)
}

// digestOf hashes the encoding of v, which must not contain maps, since their
// encoding has no fixed order.
func digestOf(v any) uint64 {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Encoding the types of this package cannot fail.
		panic(err)
	}
	return xxhash.Sum64(b)
}
