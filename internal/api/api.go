// Package api holds the messages of the interfaces: JSON over HTTP towards
// callers, workers, backend servers and operators, and msgpack between our own
// processes.
package api

// Headers of callers' requests and of our answers to them.
const (
	// HeaderKey carries a workspace's key.
	HeaderKey = "Kq-Key"
	// HeaderRequestID carries a request's id; we return it on every answer.
	HeaderRequestID = "Kq-Request-Id"
	// HeaderIdempotent is "true" for a request that may be sent twice.
	HeaderIdempotent = "Kq-Idempotent"
	// HeaderDeadline is the caller's deadline in milliseconds from now.
	HeaderDeadline = "Kq-Deadline-Ms"
	// HeaderVerdict is set on every answer.
	HeaderVerdict = "Kq-Verdict"
	// HeaderHop is set by an entry VM that passes a request on to one of another
	// data centre, to the attempt that holds the request's record.
	HeaderHop = "Kq-Hop"
	// HeaderReason is the stable reason of a refusal.
	HeaderReason = "Kq-Reason"
	// HeaderOperator carries the operators' token.
	HeaderOperator = "Kq-Operator"
)

// Paths of the HTTP interfaces. {…} are chi parameters.
const (
	// PathRequest takes callers' requests, on kqentry.
	PathRequest = "/q/{queue}"
	// PathRequestIDs mints a request id that a caller may repeat, on kqentry.
	PathRequestIDs = "/v1/request-ids"
	// PathAnnounce takes backend servers' announcements, on kqentry.
	PathAnnounce = "/v1/servers/announce"
	// PathWorkerReport takes workers' reports, on kqentry (passed on) and kqcontrol.
	PathWorkerReport = "/v1/workers/report"
	// PathJobs takes and lists jobs; PathJob shows or (DELETE) cancels one.
	PathJobs = "/v1/jobs"
	PathJob  = "/v1/jobs/{job}"
	// PathJobTasks lists a job's tasks over all data centres that own some.
	PathJobTasks = "/v1/jobs/{job}/tasks"
	// PathCancelJobs cancels many jobs in one call (POST).
	PathCancelJobs = "/v1/jobs/cancel"
	// PathWhy explains a subject: task, job, workspace or worker.
	PathWhy = "/v1/why/{kind}/{id}"
	// PathSettings applies (POST) and reads (GET) declarations.
	PathSettings = "/v1/settings"
	// PathExplain returns one effective setting with its decision.
	PathExplain = "/v1/settings/explain"
	// PathHistory lists accepted changes.
	PathHistory = "/v1/settings/history"
	// PathInForce says whether a revision is in force everywhere.
	PathInForce = "/v1/settings/in-force/{revision}"
	// PathKeys grants keys; PathKey (DELETE) withdraws one.
	PathKeys = "/v1/keys"
	PathKey  = "/v1/keys/{key}"
	// PathDataCentre takes a data centre out or in.
	PathDataCentre = "/v1/data-centres/{dc}/{action}"
	// PathStatus shows groups, members and leases.
	PathStatus = "/v1/status"
	// PathInit founds the fleet group on the kqcontrol that gets it.
	PathInit = "/v1/init"
	// PathLive, PathReady and PathMetrics are on both daemons.
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// HTTPCall passes an operator's, worker's or submitter's call from kqentry to
// the kqcontrol of its VM, or from one kqcontrol to the one that can answer.
type HTTPCall struct {
	Method string `msgpack:"m"`
	Path   string `msgpack:"p"`
	Query  string `msgpack:"q,omitempty"`
	Key    string `msgpack:"k,omitempty"`
	// Operator is the operators' token that came with the call.
	Operator string `msgpack:"o,omitempty"`
	Body     []byte `msgpack:"b,omitempty"`
	// Hops counts how often the call was passed on.
	Hops int `msgpack:"h,omitempty"`
}

// HTTPReply is the answer to an HTTPCall.
type HTTPReply struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
}

// Topics of the wire transport.
const (
	TopicHTTP       = "control.http"
	TopicEntrySync  = "entry.sync"
	TopicRecord     = "ledger.begin"
	TopicFinish     = "ledger.finish"
	TopicLeaseRenew = "lease.renew"
)
