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
	// answerBufferBytes is how much of an answer is read before its head is
	// passed on; an answer that fits is never passed on in part.
	answerBufferBytes = 32 << 10
)

// delivery passes one answer on to the caller.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	x       *exchange
	// kept collects the body for the record, until it is too large.
	kept   []byte
	keep   bool
	length int64
	// began is set once the head went to the caller, gone once the caller
	// could not be written to.
	began, gone bool
}

func newDelivery(w http.ResponseWriter, x *exchange) *delivery {
	return &delivery{w: w, control: http.NewResponseController(w), x: x, keep: x.c.recorded()}
}

// run reads the whole answer and passes it on. A refusal means that the answer
// was cut; if began is set by then, the caller's connection must be broken off.
func (d *delivery) run() *verdict.Refusal {
	buffer := make([]byte, d.firstSize())
	n, err := d.fill(buffer)
	d.collect(buffer[:n])
	if errors.Is(err, io.EOF) {
		d.head(int64(n))
		d.write(buffer[:n])
		return nil
	}
	if err != nil {
		return verdict.From(err)
	}
	d.head(d.x.resp.ContentLength)
	d.write(buffer[:n])
	return d.stream(buffer)
}

// firstSize is how much to read at first: one byte more than is declared, so
// that a small answer is seen to its end.
func (d *delivery) firstSize() int64 {
	declared := d.x.resp.ContentLength
	if declared >= 0 && declared < answerBufferBytes {
		return declared + 1
	}
	return answerBufferBytes
}

// fill reads until buffer is full or the answer ends, with io.EOF.
func (d *delivery) fill(buffer []byte) (int, error) {
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

// stream passes on the rest of a large answer.
func (d *delivery) stream(buffer []byte) *verdict.Refusal {
	for {
		n, err := d.x.read(buffer)
		d.collect(buffer[:n])
		d.write(buffer[:n])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return verdict.From(err)
		}
		if d.length > d.x.c.limits.answer {
			return d.x.answerTooLarge()
		}
		if d.gone && !d.keep {
			return verdict.Uncertain(verdict.ReasonCutAnswer, "caller took no more of the answer")
		}
	}
}

// head passes on status and headers. length is -1 for an answer in chunks.
func (d *delivery) head(length int64) {
	h := d.w.Header()
	copyEndToEnd(h, d.x.resp.Header)
	h.Set(api.HeaderVerdict, string(verdict.Done))
	if d.x.c.r.Method == http.MethodHead {
		length = d.x.resp.ContentLength
	}
	if length >= 0 && bodyAllowed(d.x.resp.StatusCode) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	d.limitWrite()
	d.w.WriteHeader(d.x.resp.StatusCode)
	d.began = true
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// write passes bytes on; a caller that is gone or too slow gets no more.
func (d *delivery) write(b []byte) {
	d.length += int64(len(b))
	if len(b) == 0 || d.gone {
		return
	}
	d.limitWrite()
	if _, err := d.w.Write(b); err != nil {
		d.gone = true
	}
}

// limitWrite bounds the next write by the idle time.
func (d *delivery) limitWrite() {
	d.control.SetWriteDeadline(time.Now().Add(d.x.c.limits.idle))
}

// collect keeps the body for the record while it is small enough.
func (d *delivery) collect(b []byte) {
	if !d.keep {
		return
	}
	if int64(len(d.kept)+len(b)) > d.x.c.limits.record {
		d.keep, d.kept = false, nil
		return
	}
	d.kept = append(d.kept, b...)
}

// stored is the answer as the record keeps it.
func (d *delivery) stored() *api.StoredAnswer {
	return &api.StoredAnswer{
		Status:      d.x.resp.StatusCode,
		ContentType: d.x.resp.Header.Get("Content-Type"),
		Body:        d.kept,
		Whole:       d.keep,
	}
}

// writeStored answers a repeat from the record.
func writeStored(w http.ResponseWriter, a *api.StoredAnswer) {
	h := w.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(api.HeaderVerdict, string(verdict.Done))
	h.Set(api.HeaderReason, string(verdict.ReasonRepeat))
	if bodyAllowed(a.Status) {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
