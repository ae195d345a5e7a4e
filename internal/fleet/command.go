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

// AnyRevision as Header.ExpectRevision lets a command apply at any revision.
const AnyRevision = math.MaxUint64

// Header comes with every operator's command.
type Header struct {
	// OpID names the operation; a resend carries the same one.
	OpID string `msgpack:"o"`
	// Actor names the operator, for the history.
	Actor string `msgpack:"a"`
	// ExpectRevision is the configuration revision the operator has seen.
	ExpectRevision uint64 `msgpack:"e"`
	// AtMillis is the proposer's wall clock. It only labels the history.
	AtMillis int64 `msgpack:"t"`
}

// Command is one command of the fleet group. Exactly one pointer is set.
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
	FoundGroup     *FoundGroup     `msgpack:"found,omitempty"`
	SetGroupVoters *SetGroupVoters `msgpack:"voters,omitempty"`
}

// Apply replaces all declarations.
type Apply struct {
	Declarations settings.Declarations `msgpack:"d"`
	// FromRevision, if not 0, takes the declarations of an older revision from
	// the history instead.
	FromRevision uint64 `msgpack:"f,omitempty"`
}

// GrantKey adds a key of a workspace. Only the hash of its secret is sent.
type GrantKey struct {
	Key       model.KeyID       `msgpack:"k"`
	Workspace model.WorkspaceID `msgpack:"t"`
	Hash      [32]byte          `msgpack:"h"`
}

// WithdrawKey ends a key for good.
type WithdrawKey struct {
	Key model.KeyID `msgpack:"k"`
}

// SetDataCentre takes a data centre out or brings it back.
type SetDataCentre struct {
	DC  model.DCID `msgpack:"d"`
	Out bool       `msgpack:"o"`
}

// SubmitJob accepts a job. It is idempotent by the job's id and content.
type SubmitJob struct {
	Spec model.JobSpec `msgpack:"s"`
	// Owners holds the data centre of each task, by the task's index.
	Owners []model.DCID `msgpack:"o"`
	// Key, if set, must be a key of the job's workspace that is not withdrawn.
	Key model.KeyID `msgpack:"k,omitempty"`
}

// CancelJobs asks the owners of jobs to end them.
type CancelJobs struct {
	IDs []model.JobID `msgpack:"i"`
	// Workspace, if set, is the only one whose jobs are cancelled.
	Workspace model.WorkspaceID `msgpack:"t,omitempty"`
	// Key, if set, must be a key of Workspace that is not withdrawn.
	Key model.KeyID `msgpack:"k,omitempty"`
}

// FinishJobs records final outcomes.
type FinishJobs struct {
	Jobs []FinishedJob `msgpack:"j"`
}

// FinishedJob is the outcome of a job, or of the part of it that DC owns.
type FinishedJob struct {
	Job model.JobID `msgpack:"j"`
	// DC is the owner whose part has ended. If it is empty the whole job has.
	DC      model.DCID    `msgpack:"d,omitempty"`
	Outcome model.Outcome `msgpack:"o"`
	Reason  string        `msgpack:"r,omitempty"`
	// Assignment is the Job.Assignment that the outcome covers. An outcome that
	// was overtaken by a reassignment is ignored. 0 is not checked.
	Assignment uint64 `msgpack:"a,omitempty"`
}

// ReassignTasks hands tasks over to another data centre. The old owner must
// have proof that none of them runs.
type ReassignTasks struct {
	Job  model.JobID `msgpack:"j"`
	From model.DCID  `msgpack:"f"`
	To   model.DCID  `msgpack:"t"`
	// Tasks lists the tasks with what the old owner leaves of them.
	Tasks []HandedTask `msgpack:"i"`
	// Assignment is the Job.Assignment the move was decided on. A move that was
	// overtaken by another is refused, since the tasks may run again by now. 0 is
	// not checked.
	Assignment uint64 `msgpack:"a,omitempty"`
	// Generation is that of the old owner's group. An older one than on record is
	// refused, since its tables are lost. 0 is not checked.
	Generation uint64 `msgpack:"n,omitempty"`
}

// RequestGrant states a data centre's demand for a part of a workspace's limit.
type RequestGrant struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	DC        model.DCID        `msgpack:"d"`
	// Want is what the workspace could use there: what it holds and what waits.
	Want model.Resources `msgpack:"w"`
	// Holds is what the workspace's tasks hold there now.
	Holds model.Resources `msgpack:"h"`
	// Floor, if not zero, is the least amount with which the workspace's oldest waiting
	// job could start there, what it has to start beside included: a gang's, or
	// that of a task larger than the data centre's fair share. It is 0 again once
	// the job has started or ended.
	Floor model.Resources `msgpack:"f"`
}

// ReturnGrant gives back all of a grant above Keep. Before it is proposed the
// data centre's group must have committed not to start anything beyond Keep
// until it has the result of a later RequestGrant.
type ReturnGrant struct {
	Workspace model.WorkspaceID `msgpack:"t"`
	DC        model.DCID        `msgpack:"d"`
	Keep      model.Resources   `msgpack:"k"`
	// Version is the Grant.Version the return was decided on; a return that was
	// overtaken by a change of the grant is refused.
	Version uint64 `msgpack:"v"`
	// Generation is that of the data centre's group. An older one than on record
	// is refused, since the cap it committed is lost. 0 is not checked.
	Generation uint64 `msgpack:"n"`
}

// RegisterMember records the newest incarnation of a kqcontrol.
type RegisterMember struct {
	Member Member `msgpack:"m"`
}

// RemoveMember forgets a VM whose process has ended for good.
type RemoveMember struct {
	VM model.VMID `msgpack:"v"`
	// Incarnation must be the newest.
	Incarnation replica.MemberID `msgpack:"i"`
}

// FoundGroup starts a new generation of a data centre's group with one member.
type FoundGroup struct {
	DC         model.DCID       `msgpack:"d"`
	Generation uint64           `msgpack:"g"`
	Member     replica.MemberID `msgpack:"m"`
}

// SetGroupVoters records the voters of a data centre's group.
type SetGroupVoters struct {
	DC         model.DCID         `msgpack:"d"`
	Generation uint64             `msgpack:"g"`
	Voters     []replica.MemberID `msgpack:"v"`
}

// Encode returns the command as it is proposed.
func Encode(c *Command) ([]byte, error) { return codec.Marshal(c) }

// decode reads a proposed command.
func decode(b []byte) (*Command, error) {
	c := new(Command)
	if err := msgpack.Unmarshal(b, c); err != nil {
		return nil, err
	}
	return c, nil
}

// digest identifies the content of an operator's command. The label of time and
// the expected revision may differ between resends and don't count.
func (c *Command) digest() uint64 {
	same := *c
	same.Header.AtMillis = 0
	same.Header.ExpectRevision = 0
	return digestOf(&same)
}

// digestOf hashes the encoding of v, which must not hold maps.
func digestOf(v any) uint64 {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// The types of this package always encode.
		panic(err)
	}
	return xxhash.Sum64(b)
}
