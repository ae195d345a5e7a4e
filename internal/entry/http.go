package entry

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// maxForwardBodyBytes limits the body of a forwarded API call.
	maxForwardBodyBytes = 4 << 20
	// shortCallTimeout limits the time to read a call and to write its response,
	// for all calls other than requests to backend servers.
	shortCallTimeout = 30 * time.Second
	// maxSyncAge is how long after its last successful sync an entry VM still
	// accepts announcements. An entry VM that is cut off from the group can't
	// deliver them, so the server must announce itself to another entry VM.
	maxSyncAge = 500 * time.Millisecond
	// maxNameBytes limits the length of each name in an announcement.
	maxNameBytes = 128
	// maxServerSlots limits both the slots and the connections that one server
	// may announce.
	maxServerSlots = 10_000
)

// requestIDReply is the response body of PathRequestIDs.
type requestIDReply struct {
	ID model.RequestID `json:"id"`
}

// handler returns the handler of kqentry's whole HTTP interface.
func (e *Entry) handler() http.Handler {
	m := chi.NewRouter()
	m.NotFound(httpx.UnknownPath)
	m.MethodNotAllowed(httpx.UnknownPath)
	m.Handle(api.PathRequest, e.router)
	m.Handle(api.PathRequest+"/*", e.router)
	m.Group(func(short chi.Router) {
		short.Use(withShortCallTimeout, func(next http.Handler) http.Handler { return httpx.UseBudget(e.budget, next) })
		short.Get(api.PathLive, e.live)
		short.Get(api.PathReady, e.readiness)
		short.Method(http.MethodGet, api.PathMetrics, e.metrics.handler())
		short.Post(api.PathRequestIDs, e.mintRequestID)
		short.Post(api.PathAnnounce, e.announce)
		short.HandleFunc("/v1/*", e.forward)
	})
	return m
}

// withShortCallTimeout is a middleware that replaces the server's read and write
// timeouts by shortCallTimeout.
func withShortCallTimeout(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		deadline := time.Now().Add(shortCallTimeout)
		controller.SetReadDeadline(deadline)
		controller.SetWriteDeadline(deadline)
		next.ServeHTTP(w, r)
	})
}

// live tells that the process responds to HTTP requests.
func (e *Entry) live(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, "live")
}

// readiness tells the load balancer whether to send requests to this process.
func (e *Entry) readiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !e.ready.Load():
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonStopping, "entry VM is stopping"))
	case !e.router.Ready():
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonNoLease, "entry VM has no settings yet"))
	default:
		httpx.WriteJSON(w, http.StatusOK, "ready")
	}
}

// mintRequestID returns a new request id. It refuses the call until the first sync
// with the data centre's group.
func (e *Entry) mintRequestID(w http.ResponseWriter, _ *http.Request) {
	if !e.router.CanGenerateID() {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonNoLeader, "data centre's group is not known yet").WithRetryAfter(time.Second))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, requestIDReply{e.router.NewRequestID()})
}

// announce accepts a backend server's announcement, which the next sync delivers
// to the group. A leaving server requests that sync at once, so that no more
// requests are sent to it.
func (e *Entry) announce(w http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	if refusal := httpx.ReadJSON(r, httpx.DefaultBodyBytes, &a); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if e.clock.Now().Sub(clock.Instant(e.lastSync.Load())) > maxSyncAge {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonNoLeader, "entry VM is cut off from its group; announce to another").WithRetryAfter(e.cfg.Sync))
		return
	}
	if refusal := e.checkAnnouncement(&a); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if !e.announcements.add(a) {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonOverload, "more than %d servers announce themselves", maxBufferedServers).WithRetryAfter(e.cfg.Sync))
		return
	}
	if a.Leaving {
		e.requestSync()
	}
	httpx.WriteJSON(w, http.StatusOK, a)
}

// checkAnnouncement returns a refusal that names the first invalid field, or nil.
func (e *Entry) checkAnnouncement(a *api.Announcement) *verdict.Refusal {
	invalid := func(field, format string, args ...any) *verdict.Refusal {
		return verdict.Refuse(verdict.ReasonBadRequest, "field %q "+format, append([]any{field}, args...)...)
	}
	names := []struct{ field, value string }{
		{"server", string(a.Server)},
		{"queue", string(a.Queue)},
		{"incarnation", a.Incarnation},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxNameBytes {
			return invalid(n.field, "must have 1 to %d bytes", maxNameBytes)
		}
	}
	if a.DC != e.cfg.DC {
		return invalid("dc", "is %q, this entry VM is in %q", a.DC, e.cfg.DC)
	}
	host, port, err := net.SplitHostPort(a.Addr)
	if number, portErr := strconv.Atoi(port); err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		return invalid("addr", "is %q, not of the form ip:port", a.Addr)
	}
	if a.Slots < 1 || a.Slots > maxServerSlots {
		return invalid("slots", "is %d, not between 1 and %d", a.Slots, maxServerSlots)
	}
	if a.Connections < a.Slots || a.Connections > maxServerSlots {
		return invalid("connections", "is %d, not between the slots (%d) and %d", a.Connections, a.Slots, maxServerSlots)
	}
	return nil
}

// forward forwards an API call that kqentry does not serve itself to kqcontrol and
// relays the reply.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request) {
	data, body, refusal := httpx.ReadBody(w, r, maxForwardBodyBytes)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	defer body.End()
	reply, err := e.control.callHTTP(r.Context(), &api.HTTPCall{
		Method:   r.Method,
		Path:     r.URL.Path,
		Query:    r.URL.RawQuery,
		Key:      r.Header.Get(api.HeaderKey),
		Operator: r.Header.Get(api.HeaderOperator),
		Body:     data,
	})
	if err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	writeReply(w, reply)
}
