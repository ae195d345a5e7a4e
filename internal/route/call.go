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
	// bodyBufferBytes is how much of a body is read before a slot is asked for.
	// A body that fits can be sent again to another server.
	bodyBufferBytes = 64 << 10
	// maxPathBytes bounds the path and query of a request.
	maxPathBytes = 8 << 10
)

// call is one request on its way.
type call struct {
	r         *http.Request
	queue     *model.Queue
	workspace model.WorkspaceID
	share     int64
	key       string
	// target is what follows the queue's name, with the query.
	target *url.URL

	id model.RequestID
	// named is set if the caller sent the id, which may then have run before.
	named      bool
	idempotent bool
	deadline   time.Time
	limits     limits

	// head is the buffered beginning of the body, rest what follows it.
	head []byte
	rest io.Reader
	// length is the declared length of the body, -1 if none was.
	length int64
	// stopBody ends a read of the caller's body that waits.
	stopBody func()

	// attempt names this sending in the ledger; begun is set once it holds the
	// record.
	attempt string
	begun   bool
	tried   []model.ServerID
	// hop is set if an entry VM of another data centre sent the request, and
	// keeps its record; overflowed once other data centres were asked.
	hop, overflowed bool
	// spent counts the tries that failed.
	spent int
	// bodyRead is set once the whole body is held.
	bodyRead bool
}

// limits are the settings that bound one request.
type limits struct {
	body, answer, record    int64
	bodyBy, answerBy        settings.Decision
	idle, life              time.Duration
	tries, room, retryShare int
}

// lookupLimits reads all settings of a request at once.
func lookupLimits(v *view, scope settings.Scope) limits {
	var l limits
	l.body, l.bodyBy = v.tree.Int(scope, settings.RequestBody)
	l.answer, l.answerBy = v.tree.Int(scope, settings.RequestAnswer)
	l.record, _ = v.tree.Int(scope, settings.RecordAnswer)
	l.idle, _ = v.tree.Duration(scope, settings.RequestIdle)
	l.life, _ = v.tree.Duration(scope, settings.RecordLife)
	l.tries = intSetting(v, scope, settings.RequestTries)
	l.room = intSetting(v, scope, settings.RequestQueue)
	l.retryShare = intSetting(v, scope, settings.RequestRetryShare)
	return l
}

func intSetting(v *view, scope settings.Scope, name settings.Name) int {
	n, _ := v.tree.Int(scope, name)
	return int(n)
}

// parse reads everything but the body of a request.
func (rt *Router) parse(v *view, queue model.QueueName, r *http.Request) (*call, *verdict.Refusal) {
	c := &call{r: r, key: r.Header.Get(api.HeaderKey), length: r.ContentLength, attempt: rt.nextAttempt()}
	c.id = model.RequestID(r.Header.Get(api.HeaderRequestID))
	c.named = c.id != ""
	var refusal *verdict.Refusal
	if attempt := r.Header.Get(api.HeaderHop); attempt != "" {
		c.hop, c.attempt = true, attempt
	}
	if c.idempotent, refusal = parseIdempotent(r); refusal != nil {
		return c, refusal
	}
	if !c.named {
		c.id = rt.MintID()
	} else if _, err := ledger.Parse(c.id); err != nil {
		c.named = false
		return c, verdict.From(err)
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
	if c.length > c.limits.body {
		return c, c.bodyTooLarge()
	}
	if c.target, refusal = backendTarget(r, queue); refusal != nil {
		return c, refusal
	}
	return c, nil
}

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

// parseDeadline takes the caller's deadline, bounded by the setting.
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

// backendTarget is the path and query that the backend server sees.
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

// readBody reads up to bodyBufferBytes of the body, before anything is sent.
func (c *call) readBody(w http.ResponseWriter) *verdict.Refusal {
	control := http.NewResponseController(w)
	body := &callerBody{c: c, control: control}
	c.stopBody = func() { control.SetReadDeadline(longAgo) }
	size := int64(bodyBufferBytes)
	if c.length >= 0 {
		size = min(size, c.length)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, max(size, bytes.MinRead)))
	_, err := io.CopyN(buffer, body, size)
	c.head = buffer.Bytes()
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyRefusal(err)
	}
	if err == nil && c.length != size {
		c.rest = body
		// The answer may begin before the body has ended.
		control.EnableFullDuplex()
		return nil
	}
	c.bodyRead = true
	// The library goes on reading to see whether the caller leaves.
	control.SetReadDeadline(time.Time{})
	return nil
}

// bodyRefusal explains a body that could not be read; nothing was sent.
func bodyRefusal(err error) *verdict.Refusal {
	var refusal *verdict.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return verdict.Refuse(verdict.ReasonBadRequest, "body ended before its declared length or stalled: %v", err)
}

func (c *call) bodyTooLarge() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonTooLarge, "body is larger than %d bytes", c.limits.body).By(c.limits.bodyBy.String())
}

// recorded reports whether the request needs a record made here.
func (c *call) recorded() bool { return !c.idempotent && !c.hop }

// whole reports whether the body is held whole and can be sent again.
func (c *call) whole() bool { return c.rest == nil }

// repeatable reports whether the request may be sent again after it may have run.
func (c *call) repeatable() bool { return c.idempotent && c.whole() }

// triesLeft reports whether another server may be tried.
func (c *call) triesLeft() bool { return c.spent < c.limits.tries && c.left() > 0 }

// body returns the body from its beginning.
func (c *call) body() io.Reader {
	if c.rest == nil {
		return bytes.NewReader(c.head)
	}
	return io.MultiReader(bytes.NewReader(c.head), c.rest)
}

// digest tells requests apart that show the same id.
func (c *call) digest() uint64 {
	d := xxhash.New()
	d.WriteString(c.r.Method)
	length := c.length
	if c.whole() {
		// The length need not have been declared to be known.
		length = int64(len(c.head))
	}
	d.WriteString("\x00" + c.target.RequestURI() + "\x00" + strconv.FormatInt(length, 10) + "\x00")
	d.Write(c.head)
	return d.Sum64()
}

// refuse turns a refusal decided before the request's record was read into a
// true one: an earlier call with the same id may have run.
func (c *call) refuse(r *verdict.Refusal) *verdict.Refusal {
	if !c.named || c.idempotent || c.begun || c.hop || r.Verdict != verdict.NotRun {
		return r
	}
	out := *r
	out.Verdict = verdict.MayHaveRun
	out.Message += "; this call did not run, an earlier one with the same id may have"
	return &out
}

// left is the time until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// context ends at the deadline. A request that is not idempotent goes on when
// its caller is gone, so that its record gets its answer.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx := c.r.Context()
	if !c.idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// callerBody reads the caller's body with the idle time as the bound of each
// read and the setting as the bound of all.
type callerBody struct {
	c       *call
	control *http.ResponseController
	read    int64
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	limit := time.Now().Add(b.c.limits.idle)
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
