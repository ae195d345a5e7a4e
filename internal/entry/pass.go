package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"kumquatwing/internal/api"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/verdict"
)

// readPassed reads the whole body of a call that is passed on.
func readPassed(w http.ResponseWriter, r *http.Request) ([]byte, *verdict.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, passBodyBytes))
	if err == nil {
		return body, nil
	}
	if _, ok := err.(*http.MaxBytesError); ok {
		return nil, verdict.Refuse(verdict.ReasonTooLarge, "body is larger than %d bytes", passBodyBytes)
	}
	return nil, verdict.Refuse(verdict.ReasonBadRequest, "body ended before its declared length or stalled: %v", err)
}

// writeReply passes on kqcontrol's answer. A refusal in it sets the headers
// that every refusal has.
func writeReply(w http.ResponseWriter, reply *api.HTTPReply) {
	if reply.Status < http.StatusBadRequest {
		w.Header().Set(api.HeaderVerdict, string(verdict.Done))
	} else {
		httpx.SetVerdict(w.Header(), refusalOf(reply))
	}
	w.Header().Set("Content-Type", reply.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	w.Write(reply.Body)
}

// refusalOf returns the refusal in an answer. One without a verdict may have
// run, since nothing shows that it did not.
func refusalOf(reply *api.HTTPReply) *verdict.Refusal {
	refusal := &verdict.Refusal{}
	if json.Unmarshal(reply.Body, refusal) != nil || refusal.Verdict == "" {
		return verdict.Uncertain(verdict.ReasonInternal, "kqcontrol answered %d without a verdict", reply.Status)
	}
	return refusal
}
