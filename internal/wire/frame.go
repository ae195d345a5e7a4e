// Package wire carries messages between our own processes: length-framed
// msgpack over TCP, presented as a watermill publisher and subscriber, with
// request and reply on top. Queues are bounded and every call has a deadline.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/verdict"
)

const (
	// MaxFrameBytes bounds one frame; a longer one breaks the connection.
	MaxFrameBytes = 8 << 20
	// maxBodyBytes leaves room for a frame's other fields.
	maxBodyBytes = MaxFrameBytes - 64<<10
	// lengthBytes is the size of the length prefix.
	lengthBytes = 4
	// readBufferBytes and writeBufferBytes size a connection's buffers. Longer
	// bodies pass them by, and a leader keeps four of them per process.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// frameKind tells requests, replies and one-way messages apart.
type frameKind uint8

const (
	kindMessage frameKind = iota + 1
	kindRequest
	kindReply
)

// frame is what travels on a connection.
type frame struct {
	Kind frameKind `msgpack:"k"`
	// ID matches a reply to its request on one connection.
	ID    uint64 `msgpack:"i"`
	Topic string `msgpack:"t,omitempty"`
	// BudgetMillis is the time left until the caller's deadline; 0 means none.
	BudgetMillis int64  `msgpack:"b,omitempty"`
	Body         []byte `msgpack:"p,omitempty"`
	// At is the sender's hybrid logical time, which orders events over processes.
	At eventlog.Stamp `msgpack:"h"`
	// Refusal is set on a reply in place of Body.
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// writeFrame appends f to w without flushing it.
func writeFrame(w *bufio.Writer, f *frame) error {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return err
	}
	if len(body) > MaxFrameBytes {
		return verdict.Refuse(verdict.ReasonTooLarge, "frame of %d bytes is over %d", len(body), MaxFrameBytes)
	}
	var prefix [lengthBytes]byte
	binary.BigEndian.PutUint32(prefix[:], uint32(len(body)))
	if _, err := w.Write(prefix[:]); err != nil {
		return err
	}
	_, err = w.Write(body)
	return err
}

// readFrame reads one frame from r.
func readFrame(r *bufio.Reader) (*frame, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrameBytes {
		return nil, verdict.Refuse(verdict.ReasonTooLarge, "frame of %d bytes is over %d", size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	f := &frame{}
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "frame can't be decoded: %v", err)
	}
	return f, nil
}
