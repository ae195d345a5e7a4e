package backend

import (
	"fmt"
	"net/http"
	"time"

	"kumquatwing/internal/api"
)

// rawResponse is written to the connection byte for byte, instead of a valid
// response. If keepOpen is set, the server doesn't close the connection first.
type rawResponse struct {
	parts    [][]byte
	keepOpen bool
}

// faultyResponse returns the response of the modes that break the HTTP message
// or omit its length, and nil for the other modes.
func (s *Server) faultyResponse(w http.ResponseWriter, mode Mode, body []byte) *rawResponse {
	id := w.Header().Get(api.HeaderRequestID)
	header := func(contentLength int) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", api.HeaderRequestID, id, contentLength)
	}
	complete := append(header(len(body)), body...)
	switch mode {
	case Cut:
		return &rawResponse{parts: [][]byte{header(len(body)), body[:len(body)/2]}}
	case CutLarge:
		return &rawResponse{parts: [][]byte{header(s.cfg.AnswerBytes), make([]byte, s.cfg.AnswerBytes/2)}}
	case Long:
		return &rawResponse{parts: [][]byte{header(len(body) / 2), body}, keepOpen: true}
	case Drop:
		return &rawResponse{}
	case Unsized:
		return &rawResponse{parts: [][]byte{[]byte("HTTP/1.1 200 OK\r\n\r\n"), body}}
	case Duplicate:
		return &rawResponse{parts: [][]byte{complete, complete}, keepOpen: true}
	}
	return nil
}

// writeRaw hijacks the connection and writes the parts with a pause between
// them. With keepOpen it then waits up to a second for the peer to close the
// connection.
func writeRaw(w http.ResponseWriter, resp *rawResponse, pause time.Duration) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for i, part := range resp.parts {
		if i > 0 {
			time.Sleep(pause)
		}
		conn.Write(part)
	}
	if resp.keepOpen {
		conn.SetReadDeadline(time.Now().Add(time.Second))
		conn.Read(make([]byte, 1))
	}
}
