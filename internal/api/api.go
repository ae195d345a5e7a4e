// Package api defines the messages, headers, paths and topics of the system's
// interfaces. Callers, workers, backend servers and operators use JSON over HTTP.
// The processes of the system exchange msgpack messages over package wire.
package api

// HTTP headers of requests and responses.
const (
	// HeaderKey carries the key that authenticates a workspace.
	HeaderKey = "Kq-Key"
	// HeaderRequestID carries a request's id. Every response repeats it.
	HeaderRequestID = "Kq-Request-Id"
	// HeaderIdempotent is "true" for a request that may be executed more than once.
	HeaderIdempotent = "Kq-Idempotent"
	// HeaderDeadline is the remaining time until the caller's deadline, in
	// milliseconds.
	HeaderDeadline = "Kq-Deadline-Ms"
	// HeaderVerdict carries a verdict.Verdict. It is set on every response.
	HeaderVerdict = "Kq-Verdict"
	// HeaderForwarded is set by an entry VM that forwards a request to an entry VM of
	// another data centre. Its value is the attempt that began the request's record.
	HeaderForwarded = "Kq-Hop"
	// HeaderReason carries the verdict.Reason of a refusal.
	HeaderReason = "Kq-Reason"
	// HeaderOperator carries the operators' token.
	HeaderOperator = "Kq-Operator"
)

// Paths of the HTTP interfaces. Names in braces are parameters of the chi router.
const (
	// PathRequest accepts callers' requests, on kqentry.
	PathRequest = "/q/{queue}"
	// PathRequestIDs returns a new request id, with which a caller may send a request
	// again, on kqentry.
	PathRequestIDs = "/v1/request-ids"
	// PathAnnounce accepts backend servers' announcements, on kqentry.
	PathAnnounce = "/v1/servers/announce"
	// PathWorkerReport accepts workers' reports, on kqcontrol, and on kqentry, which
	// forwards them.
	PathWorkerReport = "/v1/workers/report"
	// PathJobs submits (POST) and lists (GET) jobs. PathJob returns (GET) or cancels
	// (DELETE) one job.
	PathJobs = "/v1/jobs"
	PathJob  = "/v1/jobs/{job}"
	// PathJobTasks lists a job's tasks in all data centres that own any of them.
	PathJobTasks = "/v1/jobs/{job}/tasks"
	// PathExplainJob tells where a job would be placed, without submitting it (POST).
	PathExplainJob = "/v1/jobs/explain"
	// PathCancelJobs cancels several jobs in one call (POST).
	PathCancelJobs = "/v1/jobs/cancel"
	// PathWhy explains the decisions about a task, job, workspace or worker.
	PathWhy = "/v1/why/{kind}/{id}"
	// PathSettings applies (POST) and reads (GET) declarations.
	PathSettings = "/v1/settings"
	// PathExplain returns effective settings with the level that decided each.
	PathExplain = "/v1/settings/explain"
	// PathHistory lists the accepted changes of the configuration.
	PathHistory = "/v1/settings/history"
	// PathInForce returns whether a revision is in force everywhere.
	PathInForce = "/v1/settings/in-force/{revision}"
	// PathKeys grants (POST) and lists (GET) keys. PathKey withdraws (DELETE) one.
	PathKeys = "/v1/keys"
	PathKey  = "/v1/keys/{key}"
	// PathDataCentre takes a data centre out of service (out) or back into service
	// (in).
	PathDataCentre = "/v1/data-centres/{dc}/{action}"
	// PathStatus returns the state of groups, members and leases.
	PathStatus = "/v1/status"
	// PathInit bootstraps the fleet group on the kqcontrol that receives the call.
	PathInit = "/v1/init"
	// PathLive, PathReady and PathMetrics are served by kqentry and kqcontrol.
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// HTTPCall forwards an HTTP API call of an operator, worker or submitter, from
// kqentry to the kqcontrol of its VM, or from one kqcontrol to another that can
// serve it.
type HTTPCall struct {
	Method string `msgpack:"m"`
	Path   string `msgpack:"p"`
	Query  string `msgpack:"q,omitempty"`
	Key    string `msgpack:"k,omitempty"`
	// Operator is the operators' token from the call's headers.
	Operator string `msgpack:"o,omitempty"`
	Body     []byte `msgpack:"b,omitempty"`
	// Hops is the number of times that the call was forwarded.
	Hops int `msgpack:"h,omitempty"`
}

// HTTPReply is the response to an HTTPCall.
type HTTPReply struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
}

// Topics of requests over package wire.
const (
	TopicHTTP         = "control.http"
	TopicEntrySync    = "entry.sync"
	TopicRecordBegin  = "ledger.begin"
	TopicRecordFinish = "ledger.finish"
	TopicLeaseRenew   = "lease.renew"
)
