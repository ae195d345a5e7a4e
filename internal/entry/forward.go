package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"kumquatwing/internal/api"
	"kumquatwing/internal/httpx"
	"kumquatwing/internal/verdict"
)

// writeReply relays kqcontrol's reply and sets the verdict headers: those of the
// refusal in the body if the status is an error, and otherwise verdict.Done.
func writeReply(w http.ResponseWriter, reply *api.HTTPReply) {
	if reply.Status < http.StatusBadRequest {
		w.Header().Set(api.HeaderVerdict, string(verdict.Done))
	} else {
		httpx.SetRefusalHeaders(w.Header(), replyRefusal(reply))
	}
	w.Header().Set("Content-Type", reply.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	w.Write(reply.Body)
}

// replyRefusal returns the refusal in an error reply. If the reply has no verdict,
// the refusal gets the may-have-run verdict, since nothing shows that the call had
// no effect.
func replyRefusal(reply *api.HTTPReply) *verdict.Refusal {
	refusal := &verdict.Refusal{}
	if json.Unmarshal(reply.Body, refusal) != nil || refusal.Verdict == "" {
		return verdict.RefuseMayHaveRun(verdict.ReasonInternal, "kqcontrol answered %d without a verdict", reply.Status)
	}
	return refusal
}
