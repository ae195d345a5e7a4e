// Package httpx writes and reads the JSON of the HTTP interfaces: refusals with
// their verdict in body and headers, and bounded request bodies whose faults
// name the field.
package httpx

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"kumquatwing/internal/api"
	"kumquatwing/internal/verdict"
)

// DefaultBodyBytes bounds a JSON body where the caller names no other bound.
const DefaultBodyBytes = 1 << 20

// millisPerSecond converts a refusal's pause to the Retry-After header's unit.
const millisPerSecond = 1000

// statusOf holds the status codes of reasons; the verdict decides for others.
var statusOf = map[verdict.Reason]int{
	verdict.ReasonBadRequest:       http.StatusBadRequest,
	verdict.ReasonBadKey:           http.StatusUnauthorized,
	verdict.ReasonWrongWorkspace:   http.StatusForbidden,
	verdict.ReasonUnknownWorkspace: http.StatusNotFound,
	verdict.ReasonUnknownQueue:     http.StatusNotFound,
	verdict.ReasonUnknownJob:       http.StatusNotFound,
	verdict.ReasonUnknownKey:       http.StatusNotFound,
	verdict.ReasonNoLease:          http.StatusServiceUnavailable,
	verdict.ReasonNoLeader:         http.StatusServiceUnavailable,
	verdict.ReasonNotLeader:        http.StatusServiceUnavailable,
	verdict.ReasonNoQuorum:         http.StatusServiceUnavailable,
	verdict.ReasonConflict:         http.StatusConflict,
	verdict.ReasonDeadline:         http.StatusGatewayTimeout,
	verdict.ReasonOverload:         http.StatusTooManyRequests,
	verdict.ReasonNoServer:         http.StatusServiceUnavailable,
	verdict.ReasonStopping:         http.StatusServiceUnavailable,
	verdict.ReasonUnreachable:      http.StatusBadGateway,
	verdict.ReasonCutAnswer:        http.StatusBadGateway,
	verdict.ReasonRepeat:           http.StatusConflict,
	verdict.ReasonRecordExpired:    http.StatusGone,
	verdict.ReasonRecordLost:       http.StatusGone,
	verdict.ReasonNeverFits:        http.StatusUnprocessableEntity,
	verdict.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	verdict.ReasonOut:              http.StatusServiceUnavailable,
	verdict.ReasonInternal:         http.StatusInternalServerError,
}

// Status returns the HTTP status code of a refusal.
func Status(r *verdict.Refusal) int {
	if code, ok := statusOf[r.Reason]; ok {
		return code
	}
	if r.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// SetVerdict sets the headers that carry a refusal; it writes no status.
func SetVerdict(h http.Header, r *verdict.Refusal) {
	h.Set(api.HeaderVerdict, string(r.Verdict))
	h.Set(api.HeaderReason, string(r.Reason))
	if r.RetryAfterMillis > 0 {
		seconds := (r.RetryAfterMillis + millisPerSecond - 1) / millisPerSecond
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
}

// WriteRefusal answers with the refusal within err, as JSON and in headers.
func WriteRefusal(w http.ResponseWriter, err error) {
	r := verdict.From(err)
	if r == nil {
		r = verdict.Uncertain(verdict.ReasonInternal, "refused without a reason")
	}
	SetVerdict(w.Header(), r)
	writeBody(w, Status(r), r)
}

// UnknownPath refuses a path or method that there is not.
func UnknownPath(w http.ResponseWriter, r *http.Request) {
	WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest, "no interface %s %s", r.Method, r.URL.Path))
}

// WriteJSON answers a request that was done.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set(api.HeaderVerdict, string(verdict.Done))
	writeBody(w, status, v)
}

// writeBody encodes v first, so that a fault in it can't leave half an answer,
// and declares the length, so that a caller notices a cut one.
func writeBody(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, fmt.Sprintf("answer can't be encoded: %v", err), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// ReadJSON decodes a request's body of at most maxBytes into v. Unknown
// fields, wrong types and trailing bytes are refused, naming the field.
func ReadJSON(r *http.Request, maxBytes int64, v any) *verdict.Refusal {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	if err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, "body can't be read: %v", err)
	}
	if int64(len(body)) > maxBytes {
		return verdict.Refuse(verdict.ReasonTooLarge, "body is over %d bytes", maxBytes)
	}
	return DecodeJSON(body, v)
}

// DecodeJSON is ReadJSON for a body already read.
func DecodeJSON(body []byte, v any) *verdict.Refusal {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, "%s", describe(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return verdict.Refuse(verdict.ReasonBadRequest, "body has bytes after its JSON value")
	}
	return nil
}

// describe names the field or the byte at which decoding failed.
func describe(err error) string {
	var typed *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &typed):
		return fmt.Sprintf("field %q: a JSON %s can't be a %s", typed.Field, typed.Value, typed.Type)
	case errors.As(err, &syntax):
		return fmt.Sprintf("body is not JSON at byte %d: %v", syntax.Offset, syntax)
	case errors.Is(err, io.EOF):
		return "body is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "body ends within its JSON value"
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}
