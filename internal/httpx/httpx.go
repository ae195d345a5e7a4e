// Package httpx reads and writes the JSON bodies of the HTTP interfaces. It bounds
// request bodies and names the field that can't be decoded, and it writes refusals
// with their verdict in the body and the headers.
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

// DefaultBodyBytes bounds a JSON body for callers without a bound of their own.
const DefaultBodyBytes = 1 << 20

// millisPerSecond converts milliseconds to the seconds of the Retry-After header.
const millisPerSecond = 1000

// statusByReason maps reasons to HTTP status codes. For other reasons Status derives
// the code from the verdict.
var statusByReason = map[verdict.Reason]int{
	verdict.ReasonBadRequest:        http.StatusBadRequest,
	verdict.ReasonBadKey:            http.StatusUnauthorized,
	verdict.ReasonWrongWorkspace:    http.StatusForbidden,
	verdict.ReasonUnknownWorkspace:  http.StatusNotFound,
	verdict.ReasonUnknownQueue:      http.StatusNotFound,
	verdict.ReasonUnknownJob:        http.StatusNotFound,
	verdict.ReasonUnknownKey:        http.StatusNotFound,
	verdict.ReasonNoLease:           http.StatusServiceUnavailable,
	verdict.ReasonNoLeader:          http.StatusServiceUnavailable,
	verdict.ReasonNotLeader:         http.StatusServiceUnavailable,
	verdict.ReasonNoQuorum:          http.StatusServiceUnavailable,
	verdict.ReasonConflict:          http.StatusConflict,
	verdict.ReasonDeadline:          http.StatusGatewayTimeout,
	verdict.ReasonOverload:          http.StatusTooManyRequests,
	verdict.ReasonNoServer:          http.StatusServiceUnavailable,
	verdict.ReasonStopping:          http.StatusServiceUnavailable,
	verdict.ReasonUnreachable:       http.StatusBadGateway,
	verdict.ReasonTruncatedResponse: http.StatusBadGateway,
	verdict.ReasonDuplicate:         http.StatusConflict,
	verdict.ReasonRecordExpired:     http.StatusGone,
	verdict.ReasonRecordLost:        http.StatusGone,
	verdict.ReasonNeverFits:         http.StatusUnprocessableEntity,
	verdict.ReasonTooLarge:          http.StatusRequestEntityTooLarge,
	verdict.ReasonNoMemory:          http.StatusServiceUnavailable,
	verdict.ReasonDataCentreOut:     http.StatusServiceUnavailable,
	verdict.ReasonInternal:          http.StatusInternalServerError,
}

// Status returns the HTTP status code of a refusal.
func Status(r *verdict.Refusal) int {
	if code, ok := statusByReason[r.Reason]; ok {
		return code
	}
	if r.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// SetRefusalHeaders sets the headers for the verdict, reason and retry time of a
// refusal. It writes no status.
func SetRefusalHeaders(h http.Header, r *verdict.Refusal) {
	h.Set(api.HeaderVerdict, string(r.Verdict))
	h.Set(api.HeaderReason, string(r.Reason))
	if r.RetryAfterMillis > 0 {
		seconds := (r.RetryAfterMillis + millisPerSecond - 1) / millisPerSecond
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
}

// WriteRefusal writes a response with the refusal that err wraps, as JSON body and in
// headers. An error without one becomes a MayHaveRun refusal.
func WriteRefusal(w http.ResponseWriter, err error) {
	r := verdict.FromError(err)
	if r == nil {
		r = verdict.RefuseMayHaveRun(verdict.ReasonInternal, "refused without a reason")
	}
	SetRefusalHeaders(w.Header(), r)
	writeBody(w, Status(r), r)
}

// UnknownPath refuses a request whose path or method is not known.
func UnknownPath(w http.ResponseWriter, r *http.Request) {
	WriteRefusal(w, verdict.Refuse(verdict.ReasonBadRequest, "no interface %s %s", r.Method, r.URL.Path))
}

// WriteJSON writes v as the response to a request that was executed, with the verdict
// Done.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set(api.HeaderVerdict, string(verdict.Done))
	writeBody(w, status, v)
}

// writeBody writes v as JSON. It encodes v before it writes the status, so that an
// encoding error can't truncate the response, and sets Content-Length, so that a
// caller detects a truncated response.
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

// ReadJSON decodes a request's body of at most maxBytes into v. It refuses unknown
// fields, wrong types and trailing bytes, and names the field in question.
func ReadJSON(r *http.Request, maxBytes int64, v any) *verdict.Refusal {
	data, body, refusal := ReadBody(nil, r, maxBytes)
	if refusal != nil {
		return refusal
	}
	defer body.End()
	return DecodeJSON(data, v)
}

// DecodeJSON is like ReadJSON, for a body that was already read.
func DecodeJSON(body []byte, v any) *verdict.Refusal {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return verdict.Refuse(verdict.ReasonBadRequest, "%s", describeDecodeError(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return verdict.Refuse(verdict.ReasonBadRequest, "body has bytes after its JSON value")
	}
	return nil
}

// describeDecodeError returns a message that names the field or the byte at which
// decoding failed.
func describeDecodeError(err error) string {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		return fmt.Sprintf("field %q: a JSON %s can't be a %s", typeErr.Field, typeErr.Value, typeErr.Type)
	case errors.As(err, &syntaxErr):
		return fmt.Sprintf("body is not JSON at byte %d: %v", syntaxErr.Offset, syntaxErr)
	case errors.Is(err, io.EOF):
		return "body is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "body ends within its JSON value"
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}
