package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/verdict"
)

// TestMalformedFrames sends malformed frames to a node. The node must close that
// connection without a response and keep serving others.
func TestMalformedFrames(t *testing.T) {
	server, client := listen(t, nil), listen(t, nil)
	HandleTyped(server, "echo", func(_ context.Context, req *echo) (*echo, error) { return req, nil })
	length := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	cases := []struct {
		name string
		sent []byte
	}{
		{"HTTP request", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"length over the maximum", length(MaxFrameBytes + 1)},
		{"not msgpack", append(length(4), 0xc1, 0xc1, 0xc1, 0xc1)},
		{"frame of an unknown kind", append(length(1), 0x80)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Addr())
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Write(c.sent)
			qt.Assert(t, err, qt.IsNil)
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(conn)
			// The connection may end with a reset, since the node does not read
			// everything that was sent.
			qt.Assert(t, err == nil || strings.Contains(err.Error(), "reset"), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, got, qt.HasLen, 0)
			var resp echo
			err = client.Call(context.Background(), server.Addr(), "echo", &echo{"on"}, &resp)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

func TestOversizedMessageIsNotSent(t *testing.T) {
	server, client := listen(t, nil), listen(t, nil)
	big := bytes.Repeat([]byte{'x'}, MaxFrameBytes)
	_, err := client.CallRaw(context.Background(), server.Addr(), "echo", big)
	r := verdict.FromError(err)
	qt.Assert(t, r.Verdict, qt.Equals, verdict.NotRun)
	qt.Assert(t, r.Reason, qt.Equals, verdict.ReasonTooLarge)
}
