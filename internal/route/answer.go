package route

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

const (
	// responseBufferBytes is how much of a response is read before its header is
	// relayed. A response shorter than that is never relayed in part.
	responseBufferBytes = 32 << 10
)

// delivery relays one response to the caller.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	x       *exchange
	// stored collects the body for the ledger record while storing is set, which
	// is until the body exceeds the limit.
	stored  []byte
	storing bool
	// received counts the body bytes read from the server.
	received int64
	// started is set once the header was sent to the caller, callerGone once a
	// write to the caller has failed.
	started, callerGone bool
}

func newDelivery(w http.ResponseWriter, x *exchange) *delivery {
	return &delivery{w: w, control: http.NewResponseController(w), x: x, storing: x.c.needsRecord()}
}

// run reads the response and relays it. A refusal means that the response could not
// be relayed completely; if started is set, the caller's connection must then be
// aborted.
func (d *delivery) run() *verdict.Refusal {
	buffer := make([]byte, d.firstReadSize())
	n, err := d.readFull(buffer)
	d.store(buffer[:n])
	if errors.Is(err, io.EOF) {
		d.writeHeader(int64(n))
		d.write(buffer[:n])
		return nil
	}
	if err != nil {
		return verdict.FromError(err)
	}
	d.writeHeader(d.x.resp.ContentLength)
	d.write(buffer[:n])
	return d.stream(buffer)
}

// firstReadSize returns how much to read before the header is relayed. For a small
// response it is one byte more than the declared length, so that the read reaches
// the end of the response.
func (d *delivery) firstReadSize() int64 {
	declared := d.x.resp.ContentLength
	if declared >= 0 && declared < responseBufferBytes {
		return declared + 1
	}
	return responseBufferBytes
}

// readFull reads until buffer is full or the response ends. It returns io.EOF if
// the response has ended.
func (d *delivery) readFull(buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		m, err := d.x.read(buffer[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// stream relays the rest of a large response.
func (d *delivery) stream(buffer []byte) *verdict.Refusal {
	for {
		n, err := d.x.read(buffer)
		d.store(buffer[:n])
		d.write(buffer[:n])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return verdict.FromError(err)
		}
		if d.received > d.x.c.limits.response {
			return d.x.responseTooLarge()
		}
		if d.callerGone && !d.storing {
			return verdict.RefuseMayHaveRun(verdict.ReasonTruncatedResponse, "caller took no more of the answer")
		}
	}
}

// writeHeader sends status and headers to the caller. length is -1 for a chunked
// response.
func (d *delivery) writeHeader(length int64) {
	h := d.w.Header()
	copyEndToEnd(h, d.x.resp.Header)
	h.Set(api.HeaderVerdict, string(verdict.Done))
	if d.x.c.r.Method == http.MethodHead {
		length = d.x.resp.ContentLength
	}
	if length >= 0 && bodyAllowed(d.x.resp.StatusCode) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	d.extendWriteDeadline()
	d.w.WriteHeader(d.x.resp.StatusCode)
	d.started = true
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// write sends bytes to the caller, and none after a write has failed or timed out.
func (d *delivery) write(b []byte) {
	d.received += int64(len(b))
	if len(b) == 0 || d.callerGone {
		return
	}
	d.extendWriteDeadline()
	if _, err := d.w.Write(b); err != nil {
		d.callerGone = true
	}
}

// extendWriteDeadline applies the idle timeout to the next write.
func (d *delivery) extendWriteDeadline() {
	d.control.SetWriteDeadline(time.Now().Add(d.x.c.limits.idleTimeout))
}

// store adds bytes to the body for the ledger record. It drops the stored body for
// good once the limit is exceeded.
func (d *delivery) store(b []byte) {
	if !d.storing {
		return
	}
	if int64(len(d.stored)+len(b)) > d.x.c.limits.storedResponse {
		d.storing, d.stored = false, nil
		return
	}
	d.stored = append(d.stored, b...)
}

// storedResponse returns the response in the form that the ledger record holds.
func (d *delivery) storedResponse() *api.StoredAnswer {
	return &api.StoredAnswer{
		Status:      d.x.resp.StatusCode,
		ContentType: d.x.resp.Header.Get("Content-Type"),
		Body:        d.stored,
		Whole:       d.storing,
	}
}

// writeStoredResponse answers a duplicate request from its ledger record.
func writeStoredResponse(w http.ResponseWriter, a *api.StoredAnswer) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(api.HeaderVerdict, string(verdict.Done))
	h.Set(api.HeaderReason, string(verdict.ReasonDuplicate))
	if bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
