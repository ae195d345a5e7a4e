package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatwing/internal/api"
	"kumquatwing/internal/ledger"
	"kumquatwing/internal/model"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

const (
	// bodyBufferBytes is how much of a body is read before a slot is acquired. A
	// body that fits can be sent again to another server.
	bodyBufferBytes = 64 << 10
	// maxPathBytes limits the length of a request's path and query.
	maxPathBytes = 8 << 10
)

// call is the state of one request while it is handled.
type call struct {
	r         *http.Request
	queue     *model.Queue
	workspace model.WorkspaceID
	share     int64
	key       string
	// target is the path after the queue's name, with the query.
	target *url.URL

	id model.RequestID
	// idFromCaller is set if the caller sent the request id. A request with that id
	// may then have run before.
	idFromCaller bool
	idempotent   bool
	deadline     time.Time
	limits       limits

	// bodyPrefix is the buffered start of the body. bodyRest reads the remainder
	// and is nil if there is none.
	bodyPrefix []byte
	bodyRest   io.Reader
	// bodyLength is the declared length of the body, -1 if none was declared.
	bodyLength int64
	// abortBodyRead makes a blocked read of the caller's body return.
	abortBodyRead func()

	// attempt identifies this call in the ledger. ownsRecord is set once the ledger
	// has created the request's record for this attempt.
	attempt       string
	ownsRecord    bool
	failedServers []model.ServerID
	// forwarded is set if an entry VM of another data centre sent the request. That
	// entry VM owns the record. overflowed is set once the request was offered to
	// other data centres.
	forwarded, overflowed bool
	// failedTries counts the failed tries.
	failedTries int
	// bodyComplete is set once the whole body is buffered.
	bodyComplete bool
}

// limits holds the settings that apply to one request. Sizes are in bytes and
// retryShare is a percentage. bodyDecision and responseDecision tell which settings
// level decided these limits.
type limits struct {
	body, response, storedResponse   int64
	bodyDecision, responseDecision   settings.EffectiveValue
	idleTimeout, recordLifetime      time.Duration
	maxTries, maxWaiting, retryShare int
}

// lookupLimits reads the settings that apply to a request in scope.
func lookupLimits(v *view, scope settings.Scope) limits {
	var l limits
	l.body, l.bodyDecision = v.tree.Int(scope, settings.RequestBody)
	l.response, l.responseDecision = v.tree.Int(scope, settings.RequestAnswer)
	l.storedResponse, _ = v.tree.Int(scope, settings.RecordAnswer)
	l.idleTimeout, _ = v.tree.Duration(scope, settings.RequestIdle)
	l.recordLifetime, _ = v.tree.Duration(scope, settings.RecordLifetime)
	l.maxTries = intSetting(v, scope, settings.RequestTries)
	l.maxWaiting = intSetting(v, scope, settings.RequestQueue)
	l.retryShare = intSetting(v, scope, settings.RequestRetryShare)
	return l
}

// intSetting returns a setting as an int.
func intSetting(v *view, scope settings.Scope, name settings.Name) int {
	n, _ := v.tree.Int(scope, name)
	return int(n)
}

// parse reads and checks everything of a request except its body. On a refusal,
// the call holds only what was read by then.
func (rt *Router) parse(v *view, queue model.QueueName, r *http.Request) (*call, *verdict.Refusal) {
	c := &call{r: r, key: r.Header.Get(api.HeaderKey), bodyLength: r.ContentLength, attempt: rt.nextAttempt()}
	c.id = model.RequestID(r.Header.Get(api.HeaderRequestID))
	c.idFromCaller = c.id != ""
	var refusal *verdict.Refusal
	if attempt := r.Header.Get(api.HeaderForwarded); attempt != "" {
		c.forwarded, c.attempt = true, attempt
	}
	if c.idempotent, refusal = parseIdempotent(r); refusal != nil {
		return c, refusal
	}
	if !c.idFromCaller {
		c.id = rt.NewRequestID()
	} else if _, err := ledger.Parse(c.id); err != nil {
		c.idFromCaller = false
		return c, verdict.FromError(err)
	}
	if c.queue, c.workspace, refusal = v.admit(queue, c.key); refusal != nil {
		return c, refusal
	}
	scope := v.scope(c.queue, c.workspace)
	c.share = v.share(c.workspace)
	c.limits = lookupLimits(v, scope)
	if c.deadline, refusal = parseDeadline(v, scope, r); refusal != nil {
		return c, refusal
	}
	if c.bodyLength > c.limits.body {
		return c, c.bodyTooLarge()
	}
	if c.target, refusal = backendTarget(r, queue); refusal != nil {
		return c, refusal
	}
	return c, nil
}

// parseIdempotent reads the idempotency header. A request without it is not
// idempotent.
func parseIdempotent(r *http.Request) (bool, *verdict.Refusal) {
	text := r.Header.Get(api.HeaderIdempotent)
	if text == "" {
		return false, nil
	}
	idempotent, err := strconv.ParseBool(text)
	if err != nil {
		return false, verdict.Refuse(verdict.ReasonBadRequest, "header %s is %q, not true or false", api.HeaderIdempotent, text)
	}
	return idempotent, nil
}

// parseDeadline returns the caller's deadline, limited by the setting. Without a
// header, the setting is the default.
func parseDeadline(v *view, scope settings.Scope, r *http.Request) (time.Time, *verdict.Refusal) {
	now := time.Now()
	longest, _ := v.tree.Duration(scope, settings.RequestDeadline)
	text := r.Header.Get(api.HeaderDeadline)
	if text == "" {
		return now.Add(longest), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return now, verdict.Refuse(verdict.ReasonBadRequest, "header %s is %q, not a positive number of milliseconds", api.HeaderDeadline, text)
	}
	return now.Add(min(time.Duration(millis)*time.Millisecond, longest)), nil
}

// backendTarget returns the path and query for the backend server: those of the
// caller's request without the queue's prefix.
func backendTarget(r *http.Request, queue model.QueueName) (*url.URL, *verdict.Refusal) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/q/"+string(queue))
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	if len(path) > maxPathBytes {
		return nil, verdict.Refuse(verdict.ReasonTooLarge, "path and query are longer than %d bytes", maxPathBytes)
	}
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "path can't be read: %v", err)
	}
	return target, nil
}

// readBody reads up to bodyBufferBytes of the body. It is called before anything is
// sent.
func (c *call) readBody(w http.ResponseWriter) *verdict.Refusal {
	control := http.NewResponseController(w)
	body := &callerBody{c: c, control: control}
	c.abortBodyRead = func() { control.SetReadDeadline(expiredDeadline) }
	size := int64(bodyBufferBytes)
	if c.bodyLength >= 0 {
		size = min(size, c.bodyLength)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(size, bytes.MinRead)))
	_, err := io.CopyN(buffer, body, size)
	c.bodyPrefix = buffer.Bytes()
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyRefusal(err)
	}
	if err == nil && c.bodyLength != size {
		c.bodyRest = body
		// The response may start before the body is read completely.
		control.EnableFullDuplex()
		return nil
	}
	c.bodyComplete = true
	// net/http keeps reading in the background to detect that the caller
	// disconnects; that read must not time out.
	control.SetReadDeadline(time.Time{})
	return nil
}

// bodyRefusal returns the refusal for a body that could not be read. It is NotRun,
// since nothing was sent yet.
func bodyRefusal(err error) *verdict.Refusal {
	var refusal *verdict.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return verdict.Refuse(verdict.ReasonBadRequest, "body ended before its declared length or stalled: %v", err)
}

// bodyTooLarge returns the refusal for a body above the size limit.
func (c *call) bodyTooLarge() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonTooLarge, "body is larger than %d bytes", c.limits.body).WithDecidedBy(c.limits.bodyDecision.String())
}

// needsRecord reports whether this entry VM must create a ledger record for the
// request.
func (c *call) needsRecord() bool { return !c.idempotent && !c.forwarded }

// replayable reports whether the whole body is buffered, so that it can be sent
// again.
func (c *call) replayable() bool { return c.bodyRest == nil }

// safeToRepeat reports whether the request may be sent again after it may have run.
func (c *call) safeToRepeat() bool { return c.idempotent && c.replayable() }

// triesLeft reports whether the limits and the deadline allow another try.
func (c *call) triesLeft() bool { return c.failedTries < c.limits.maxTries && c.timeLeft() > 0 }

// body returns a reader for the whole body.
func (c *call) body() io.Reader {
	if c.bodyRest == nil {
		return bytes.NewReader(c.bodyPrefix)
	}
	return io.MultiReader(bytes.NewReader(c.bodyPrefix), c.bodyRest)
}

// digest returns a hash of method, target, body length and bodyPrefix. The ledger
// uses it to detect different requests with the same id.
func (c *call) digest() uint64 {
	d := xxhash.New()
	d.WriteString(c.r.Method)
	length := c.bodyLength
	if c.replayable() {
		// The length is known even if the caller did not declare it.
		length = int64(len(c.bodyPrefix))
	}
	d.WriteString("\x00" + c.target.RequestURI() + "\x00" + strconv.FormatInt(length, 10) + "\x00")
	d.Write(c.bodyPrefix)
	return d.Sum64()
}

// adjustVerdict changes a NotRun refusal to MayHaveRun if an earlier call with the
// same id may have run. It applies to refusals that are issued before the
// request's ledger record was read.
func (c *call) adjustVerdict(r *verdict.Refusal) *verdict.Refusal {
	if !c.idFromCaller || c.idempotent || c.ownsRecord || c.forwarded || r.Verdict != verdict.NotRun {
		return r
	}
	out := *r
	out.Verdict = verdict.MayHaveRun
	out.Message += "; this call did not run, an earlier one with the same id may have"
	return &out
}

// timeLeft returns the time until the deadline.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// context returns a context that ends at the deadline. A request that is not
// idempotent continues when its caller disconnects, so that the response is stored
// in its ledger record.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx := c.r.Context()
	if !c.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// callerBody reads the caller's body. It applies the idle timeout to each read and
// the size limit to the whole body.
type callerBody struct {
	c       *call
	control *http.ResponseController
	read    int64
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	limit := time.Now().Add(b.c.limits.idleTimeout)
	if limit.After(b.c.deadline) {
		limit = b.c.deadline
	}
	b.control.SetReadDeadline(limit)
	n, err := b.c.r.Body.Read(p)
	b.read += int64(n)
	if b.read > b.c.limits.body {
		return 0, b.c.bodyTooLarge()
	}
	return n, err
}
