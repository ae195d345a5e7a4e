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
	// passBodyBytes bounds the body of a call that is passed on to kqcontrol.
	passBodyBytes = 4 << 20
	// smallTimeout bounds the reading and writing of calls other than requests.
	smallTimeout = 30 * time.Second
	// announceStale is how long after its last sync an entry VM still takes
	// announcements: a server must not take one that can't pass them on for
	// its group.
	announceStale = 500 * time.Millisecond
	// maxNameBytes bounds names in announcements.
	maxNameBytes = 128
	// maxServerSlots bounds what one server may announce.
	maxServerSlots = 10_000
)

// mintedID answers PathRequestIDs.
type mintedID struct {
	ID model.RequestID `json:"id"`
}

// handler routes all of kqentry's HTTP interface.
func (e *Entry) handler() http.Handler {
	m := chi.NewRouter()
	m.NotFound(httpx.UnknownPath)
	m.MethodNotAllowed(httpx.UnknownPath)
	m.Handle(api.PathRequest, e.router)
	m.Handle(api.PathRequest+"/*", e.router)
	m.Group(func(small chi.Router) {
		small.Use(limitSmall)
		small.Get(api.PathLive, e.live)
		small.Get(api.PathReady, e.readiness)
		small.Method(http.MethodGet, api.PathMetrics, e.metrics.handler())
		small.Post(api.PathRequestIDs, e.mint)
		small.Post(api.PathAnnounce, e.announce)
		small.HandleFunc("/v1/*", e.passOn)
	})
	return m
}

// limitSmall narrows the server's timeouts for calls that move little.
func limitSmall(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		limit := time.Now().Add(smallTimeout)
		control.SetReadDeadline(limit)
		control.SetWriteDeadline(limit)
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) live(w http.ResponseWriter, _ *http.Request) {
	httpx.WriteJSON(w, http.StatusOK, "live")
}

// readiness tells the balancer whether to send requests here.
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

func (e *Entry) mint(w http.ResponseWriter, _ *http.Request) {
	if !e.router.CanMint() {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonNoLeader, "data centre's group is not known yet").RetryIn(time.Second))
		return
	}
	httpx.WriteJSON(w, http.StatusOK, mintedID{e.router.MintID()})
}

// announce takes in a backend server's announcement.
func (e *Entry) announce(w http.ResponseWriter, r *http.Request) {
	var a api.Announcement
	if refusal := httpx.ReadJSON(r, httpx.DefaultBodyBytes, &a); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if e.clock.Now().Sub(clock.Instant(e.lastSync.Load())) > announceStale {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonNoLeader, "entry VM is cut off from its group; announce to another").RetryIn(e.cfg.Sync))
		return
	}
	if refusal := e.checkAnnouncement(&a); refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	if !e.announced.add(a) {
		httpx.WriteRefusal(w, verdict.Refuse(verdict.ReasonOverload, "more than %d servers announce themselves", maxAnnounced).RetryIn(e.cfg.Sync))
		return
	}
	if a.Leaving {
		e.wakeSync()
	}
	httpx.WriteJSON(w, http.StatusOK, a)
}

func (e *Entry) checkAnnouncement(a *api.Announcement) *verdict.Refusal {
	bad := func(field, format string, args ...any) *verdict.Refusal {
		return verdict.Refuse(verdict.ReasonBadRequest, "field %q "+format, append([]any{field}, args...)...)
	}
	names := []struct{ field, value string }{
		{"server", string(a.Server)},
		{"queue", string(a.Queue)},
		{"incarnation", a.Incarnation},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxNameBytes {
			return bad(n.field, "must have 1 to %d bytes", maxNameBytes)
		}
	}
	if a.DC != e.cfg.DC {
		return bad("dc", "is %q, this entry VM is in %q", a.DC, e.cfg.DC)
	}
	host, port, err := net.SplitHostPort(a.Addr)
	if number, portErr := strconv.Atoi(port); err != nil || net.ParseIP(host) == nil || portErr != nil || number < 1 || number > 65535 {
		return bad("addr", "is %q, not of the form ip:port", a.Addr)
	}
	if a.Slots < 1 || a.Slots > maxServerSlots {
		return bad("slots", "is %d, not between 1 and %d", a.Slots, maxServerSlots)
	}
	if a.Connections < a.Slots || a.Connections > maxServerSlots {
		return bad("connections", "is %d, not between the slots (%d) and %d", a.Connections, a.Slots, maxServerSlots)
	}
	return nil
}

// passOn hands any other call to kqcontrol.
func (e *Entry) passOn(w http.ResponseWriter, r *http.Request) {
	body, refusal := readPassed(w, r)
	if refusal != nil {
		httpx.WriteRefusal(w, refusal)
		return
	}
	reply, err := e.control.http(r.Context(), &api.HTTPCall{
		Method:   r.Method,
		Path:     r.URL.Path,
		Query:    r.URL.RawQuery,
		Key:      r.Header.Get(api.HeaderKey),
		Operator: r.Header.Get(api.HeaderOperator),
		Body:     body,
	})
	if err != nil {
		httpx.WriteRefusal(w, err)
		return
	}
	writeReply(w, reply)
}
