package route

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"kumquatwing/internal/api"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

const (
	// maxResponseHeaderBytes limits the status line and headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxResponsesRead limits the responses read for one request, including the
	// final one, so that a server can't send 1xx responses without end.
	maxResponsesRead = 4
)

// exchange sends a call to one server, once, and reads the response.
type exchange struct {
	c    *call
	conn *serverConn
	// server names the server in refusals.
	server model.ServerID
	// toEntryVM is set if the server is an entry VM of another data centre.
	toEntryVM bool
	reader    *bufio.Reader
	// respLimit limits the bytes read of a response, first for its header and then
	// in total.
	respLimit *io.LimitedReader
	resp      *http.Response
	// bodySent receives the result of writing the request if its body is streamed
	// while the response is read. It is nil otherwise.
	bodySent chan error
	// stopAbort stops the end of the call's context from aborting the connection.
	// It reports false if the context has already ended.
	stopAbort func() bool
}

// send writes the request and reads the response header. The refusal is NotRun
// only if no byte of the request was passed to the kernel.
func (x *exchange) send(ctx context.Context) *verdict.Refusal {
	x.conn.prepare(x.c.limits.idleTimeout, x.c.deadline)
	x.stopAbort = context.AfterFunc(ctx, x.conn.abort)
	if err := x.write(); err != nil {
		return x.ioRefusal(err)
	}
	if err := x.readHeader(); err != nil {
		return x.ioRefusal(err)
	}
	return x.checkHeader()
}

// write sends the request. If part of the body must still be read from the caller,
// it sends in the background and returns at once.
func (x *exchange) write() error {
	out := x.backendRequest()
	if x.c.replayable() {
		return writeRequest(x.conn, out)
	}
	x.bodySent = make(chan error, 1)
	go func() { x.bodySent <- writeRequest(x.conn, out) }()
	return nil
}

// writeRequest writes a request through a pooled buffer.
func writeRequest(conn *serverConn, out *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	defer writerPool.Put(w)
	w.Reset(conn)
	defer w.Reset(nil)
	if err := out.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// backendRequest builds the request for the server. The caller's key is sent to
// entry VMs only.
func (x *exchange) backendRequest() *http.Request {
	c := x.c
	h := make(http.Header, len(c.r.Header)+3)
	copyEndToEnd(h, c.r.Header)
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its default.
		h.Set("User-Agent", "")
	}
	h.Set(api.HeaderRequestID, string(c.id))
	h.Set(api.HeaderDeadline, strconv.FormatInt(max(1, c.timeLeft().Milliseconds()), 10))
	if c.idempotent {
		h.Set(api.HeaderIdempotent, "true")
	}
	target := c.target
	if x.toEntryVM {
		target = c.r.URL
		h.Set(api.HeaderForwarded, c.attempt)
		if c.key != "" {
			h.Set(api.HeaderKey, c.key)
		}
	}
	out := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery},
		Host:          c.r.Host,
		Header:        h,
		ContentLength: c.bodyLength,
	}
	if len(c.bodyPrefix) > 0 || !c.replayable() {
		out.Body = io.NopCloser(c.body())
	}
	if c.replayable() {
		out.ContentLength = int64(len(c.bodyPrefix))
	}
	return out
}

// readHeader reads the status and headers of the final response.
func (x *exchange) readHeader() error {
	x.respLimit = &io.LimitedReader{R: x.conn}
	x.reader = readerPool.Get().(*bufio.Reader)
	x.reader.Reset(x.respLimit)
	for range maxResponsesRead {
		x.respLimit.N = maxResponseHeaderBytes
		resp, err := http.ReadResponse(x.reader, x.c.r)
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusOK {
			x.resp = resp
			x.respLimit.N = x.c.limits.response + maxResponseHeaderBytes
			return nil
		}
	}
	return errors.New("too many interim answers")
}

// checkHeader refuses a response that belongs to another request, one whose
// truncation could not be detected, and one that declares too large a body.
func (x *exchange) checkHeader() *verdict.Refusal {
	r := x.resp
	if id := r.Header.Get(api.HeaderRequestID); id != "" && id != string(x.c.id) {
		return verdict.RefuseMayHaveRun(verdict.ReasonTruncatedResponse, "backend server %s answered another request", x.server)
	}
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	isHEAD := x.c.r.Method == http.MethodHead
	if r.ContentLength < 0 && !chunked && !isHEAD {
		return verdict.RefuseMayHaveRun(verdict.ReasonTruncatedResponse, "answer of backend server %s declares no length", x.server)
	}
	if r.ContentLength > x.c.limits.response && !isHEAD {
		return x.responseTooLarge()
	}
	return nil
}

// responseTooLarge returns the refusal for a response above the size limit.
func (x *exchange) responseTooLarge() *verdict.Refusal {
	return verdict.RefuseMayHaveRun(verdict.ReasonTooLarge, "answer is larger than %d bytes", x.c.limits.response).WithDecidedBy(x.c.limits.responseDecision.String())
}

// ioRefusal converts an error of the connection or of the caller's body. The
// verdict is NotRun if no byte was written and no body is streamed.
func (x *exchange) ioRefusal(err error) *verdict.Refusal {
	v := verdict.MayHaveRun
	if x.conn.written == 0 && x.bodySent == nil {
		v = verdict.NotRun
	}
	var refusal *verdict.Refusal
	if errors.As(err, &refusal) {
		return verdict.New(v, refusal.Reason, "%s", refusal.Message)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if x.c.timeLeft() <= 0 {
			return verdict.New(v, verdict.ReasonDeadline, "backend server %s did not answer before the deadline", x.server)
		}
		return verdict.New(v, verdict.ReasonUnreachable, "backend server %s was silent for %v", x.server, x.c.limits.idleTimeout)
	}
	return verdict.New(v, verdict.ReasonTruncatedResponse, "connection to backend server %s broke: %v", x.server, err)
}

// read reads from the response body. Its errors are io.EOF and refusals.
func (x *exchange) read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if x.respLimit.N <= 0 {
		return n, x.responseTooLarge()
	}
	return n, x.ioRefusal(err)
}

// release returns the connection to its pool if the response was complete and the
// connection is reusable, and closes it otherwise. When release returns, no
// goroutine of the exchange uses the connection or the caller's body any more.
func (x *exchange) release(complete bool) {
	pool := x.conn.pool
	notAborted := x.stopAbort()
	reuse := x.stopSending() && notAborted && complete && x.reusable()
	if x.reader != nil {
		x.reader.Reset(nil)
		readerPool.Put(x.reader)
	}
	if reuse {
		pool.put(x.conn)
		return
	}
	pool.discard(x.conn)
}

// stopSending ends the streaming of the request, if it is still running, and
// reports whether the whole request was sent.
func (x *exchange) stopSending() bool {
	if x.bodySent == nil {
		return true
	}
	select {
	case err := <-x.bodySent:
		return err == nil
	default:
	}
	x.conn.Conn.Close()
	x.c.abortBodyRead()
	<-x.bodySent
	return false
}

// reusable reports whether the connection may carry another request. It requires
// that the response echoed the request id: only then can a late response not be
// taken for that of the next request.
func (x *exchange) reusable() bool {
	return !x.resp.Close && !x.c.r.Close &&
		x.reader.Buffered() == 0 &&
		x.resp.Header.Get(api.HeaderRequestID) == string(x.c.id)
}
