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
	// maxAnswerHeaderBytes bounds the status line and headers of an answer.
	maxAnswerHeaderBytes = 64 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 4
)

// exchange is one sending of a call to one server.
type exchange struct {
	c    *call
	conn *serverConn
	// server names the server in refusals.
	server model.ServerID
	// hop is set if the other end is an entry VM of another one.
	hop    bool
	reader *bufio.Reader
	limit  *io.LimitedReader
	resp   *http.Response
	// sent receives the outcome of a body that is streamed beside the answer.
	sent chan error
	// detach unties the connection from the call's context; it reports false if
	// that has ended.
	detach func() bool
}

// send writes the request and reads the head of the answer. A failure is
// NotRun only if the kernel took no byte of the request.
func (x *exchange) send(ctx context.Context) *verdict.Refusal {
	x.conn.begin(x.c.limits.idle, x.c.deadline)
	x.detach = context.AfterFunc(ctx, x.conn.cancel)
	if err := x.write(); err != nil {
		return x.failed(err)
	}
	if err := x.readHead(); err != nil {
		return x.failed(err)
	}
	return x.checkHead()
}

// write sends the request, or its head if the rest of the body is streamed.
func (x *exchange) write() error {
	out := x.request()
	if x.c.whole() {
		return writeRequest(x.conn, out)
	}
	x.sent = make(chan error, 1)
	go func() { x.sent <- writeRequest(x.conn, out) }()
	return nil
}

func writeRequest(conn *serverConn, out *http.Request) error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(conn)
	defer w.Reset(nil)
	if err := out.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// request builds what the server gets. The caller's key goes to entry VMs only.
func (x *exchange) request() *http.Request {
	c := x.c
	h := make(http.Header, len(c.r.Header)+3)
	copyEndToEnd(h, c.r.Header)
	if h.Get("User-Agent") == "" {
		// An empty value keeps the library from adding its own.
		h.Set("User-Agent", "")
	}
	h.Set(api.HeaderRequestID, string(c.id))
	h.Set(api.HeaderDeadline, strconv.FormatInt(max(1, c.left().Milliseconds()), 10))
	if c.idempotent {
		h.Set(api.HeaderIdempotent, "true")
	}
	target := c.target
	if x.hop {
		target = c.r.URL
		h.Set(api.HeaderHop, c.attempt)
		if c.key != "" {
			h.Set(api.HeaderKey, c.key)
		}
	}
	out := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery},
		Host:          c.r.Host,
		Header:        h,
		ContentLength: c.length,
	}
	if len(c.head) > 0 || !c.whole() {
		out.Body = io.NopCloser(c.body())
	}
	if c.whole() {
		out.ContentLength = int64(len(c.head))
	}
	return out
}

// readHead reads the status and headers of the final answer.
func (x *exchange) readHead() error {
	x.limit = &io.LimitedReader{R: x.conn}
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(x.limit)
	for range maxInterim {
		x.limit.N = maxAnswerHeaderBytes
		resp, err := http.ReadResponse(x.reader, x.c.r)
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusOK {
			x.resp = resp
			x.limit.N = x.c.limits.answer + maxAnswerHeaderBytes
			return nil
		}
	}
	return errors.New("too many interim answers")
}

// checkHead refuses an answer that could not be told from a cut one or that
// belongs to another request.
func (x *exchange) checkHead() *verdict.Refusal {
	r := x.resp
	if id := r.Header.Get(api.HeaderRequestID); id != "" && id != string(x.c.id) {
		return verdict.Uncertain(verdict.ReasonCutAnswer, "backend server %s answered another request", x.server)
	}
	chunked := len(r.TransferEncoding) > 0 && r.TransferEncoding[0] == "chunked"
	head := x.c.r.Method == http.MethodHead
	if r.ContentLength < 0 && !chunked && !head {
		return verdict.Uncertain(verdict.ReasonCutAnswer, "answer of backend server %s declares no length", x.server)
	}
	if r.ContentLength > x.c.limits.answer && !head {
		return x.answerTooLarge()
	}
	return nil
}

func (x *exchange) answerTooLarge() *verdict.Refusal {
	return verdict.Uncertain(verdict.ReasonTooLarge, "answer is larger than %d bytes", x.c.limits.answer).By(x.c.limits.answerBy.String())
}

// failed explains an error of the connection.
func (x *exchange) failed(err error) *verdict.Refusal {
	v := verdict.MayHaveRun
	if x.conn.written == 0 && x.sent == nil {
		v = verdict.NotRun
	}
	var refusal *verdict.Refusal
	if errors.As(err, &refusal) {
		return verdict.New(v, refusal.Reason, "%s", refusal.Message)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if x.c.left() <= 0 {
			return verdict.New(v, verdict.ReasonDeadline, "backend server %s did not answer before the deadline", x.server)
		}
		return verdict.New(v, verdict.ReasonUnreachable, "backend server %s was silent for %v", x.server, x.c.limits.idle)
	}
	return verdict.New(v, verdict.ReasonCutAnswer, "connection to backend server %s broke: %v", x.server, err)
}

// read reads on in the answer's body.
func (x *exchange) read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if x.limit.N <= 0 {
		return n, x.answerTooLarge()
	}
	return n, x.failed(err)
}

// end gives the connection back after a whole answer, or closes it. It returns
// once nothing of the exchange runs any more.
func (x *exchange) end(whole bool) {
	pool := x.conn.pool
	attached := x.detach()
	keep := x.stopSending() && attached && whole && x.reusable()
	if x.reader != nil {
		x.reader.Reset(nil)
		readers.Put(x.reader)
	}
	if keep {
		pool.put(x.conn)
		return
	}
	pool.discard(x.conn)
}

// stopSending ends the streaming of the body and reports whether all of it
// was sent.
func (x *exchange) stopSending() bool {
	if x.sent == nil {
		return true
	}
	select {
	case err := <-x.sent:
		return err == nil
	default:
	}
	x.conn.Conn.Close()
	x.c.stopBody()
	<-x.sent
	return false
}

// reusable reports whether the connection may carry another request. A server
// that names the request in its answer can't have a late answer taken for
// another's; one that doesn't gets a connection per request.
func (x *exchange) reusable() bool {
	return !x.resp.Close && !x.c.r.Close &&
		x.reader.Buffered() == 0 &&
		x.resp.Header.Get(api.HeaderRequestID) == string(x.c.id)
}
