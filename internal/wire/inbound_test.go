package wire

import (
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/bodylimit"
)

// TestStrangersDoNotKeepOutPeers guards against connections of others that take all those of
// our own processes, and frames of others that take all memory.
func TestStrangersDoNotKeepOutPeers(t *testing.T) {
	const limit = 8
	server, client := listen(t, nil), listen(t, nil)
	full := 0
	budget := bodylimit.New("wire", MaxFrameBytes*3/2)
	server.SetLimits(Limits{Frames: budget, Conns: limit, ReceiveBuffer: 16 << 10, OnFull: func() { full++ }})
	HandleTyped(server, "echo", func(_ context.Context, req *echo) (*echo, error) { return req, nil })
	call := func() {
		t.Helper()
		var resp echo
		qt.Assert(t, client.Call(t.Context(), server.Addr(), "echo", &echo{"on"}, &resp), qt.IsNil)
	}
	call()
	for range 3 * limit {
		conn, err := net.Dial("tcp", server.Addr())
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		_, err = conn.Write(binary.BigEndian.AppendUint32(nil, MaxFrameBytes))
		qt.Assert(t, err, qt.IsNil)
		_, err = conn.Write(make([]byte, 64<<10))
		// The connection may have made way for a later one.
		_ = err
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, _, n := server.InboundCount(); n >= 2*limit {
			break
		}
	}
	call()
	open, _, _ := server.InboundCount()
	qt.Check(t, open <= limit, qt.IsTrue)
	qt.Check(t, budget.Used() <= limit*(128<<10), qt.IsTrue, qt.Commentf("%d bytes for lengths that were only announced", budget.Used()))
	// A frame of the largest size still fits.
	big := make([]byte, MaxFrameBytes-1<<20)
	server.Handle("size", func(_ context.Context, body []byte) ([]byte, error) { return nil, nil })
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	_, err := client.CallRaw(ctx, server.Addr(), "size", big)
	qt.Check(t, err, qt.IsNil)
}
