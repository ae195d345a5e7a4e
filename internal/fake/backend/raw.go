package backend

import (
	"fmt"
	"net/http"
	"time"

	"kumquatwing/internal/api"
)

// rawAnswer is written to the connection as it is, in place of a right one.
type rawAnswer struct {
	parts [][]byte
	keep  bool
}

// raw builds the faulty answers; it returns nil for the other modes.
func (s *Server) raw(w http.ResponseWriter, mode Mode, body []byte) *rawAnswer {
	id := w.Header().Get(api.HeaderRequestID)
	head := func(declared int) []byte {
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", api.HeaderRequestID, id, declared)
	}
	whole := append(head(len(body)), body...)
	switch mode {
	case Cut:
		return &rawAnswer{parts: [][]byte{head(len(body)), body[:len(body)/2]}}
	case CutLarge:
		return &rawAnswer{parts: [][]byte{head(s.cfg.AnswerBytes), make([]byte, s.cfg.AnswerBytes/2)}}
	case Long:
		return &rawAnswer{parts: [][]byte{head(len(body) / 2), body}, keep: true}
	case Drop:
		return &rawAnswer{}
	case Unsized:
		return &rawAnswer{parts: [][]byte{[]byte("HTTP/1.1 200 OK\r\n\r\n"), body}}
	case Duplicate:
		return &rawAnswer{parts: [][]byte{whole, whole}, keep: true}
	}
	return nil
}

// send takes the connection over and writes the parts, with a pause between
// them. A kept connection stays open until the other end closes it.
func send(w http.ResponseWriter, a *rawAnswer, pause time.Duration) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for i, part := range a.parts {
		if i > 0 {
			time.Sleep(pause)
		}
		conn.Write(part)
	}
	if a.keep {
		conn.SetReadDeadline(time.Now().Add(time.Second))
		conn.Read(make([]byte, 1))
	}
}
