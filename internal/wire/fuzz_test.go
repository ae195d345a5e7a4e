package wire

import (
	"bufio"
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"kumquatwing/internal/bodylimit"
)

// FuzzReadFrame checks that no bytes on a connection make its reader panic.
func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	w := bufio.NewWriter(&buf)
	for _, fr := range []frame{{Kind: kindRequest, ID: 7, Topic: "t", Body: []byte("x")}, {Kind: kindReply, ID: 7}, {Kind: kindMessage, Topic: "m"}} {
		qt.Assert(f, writeFrame(w, &fr), qt.IsNil)
	}
	qt.Assert(f, w.Flush(), qt.IsNil)
	f.Add(buf.Bytes())
	f.Add(buf.Bytes()[:buf.Len()-3])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			if _, err := readFrame(r, bodylimit.New("wire", defaultFrameBudget), func() {}); err != nil {
				return
			}
		}
	})
}
