// Package wire is the transport between the processes of the system. It sends
// length-prefixed msgpack frames over TCP, either as one-way messages, which are
// published and subscribed to through the interfaces of watermill, or as requests
// with a reply. Queues are bounded and every call has a deadline.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"kumquatwing/internal/bodylimit"
	"kumquatwing/internal/codec"
	"kumquatwing/internal/eventlog"
	"kumquatwing/internal/verdict"
)

const (
	// MaxFrameBytes bounds an encoded frame. A receiver closes the connection when
	// a length prefix exceeds it.
	MaxFrameBytes = 8 << 20
	// maxBodyBytes bounds the body of a frame. The rest of MaxFrameBytes is for the
	// other fields.
	maxBodyBytes = MaxFrameBytes - 64<<10
	// lengthBytes is the size of the length prefix.
	lengthBytes = 4
	// readBufferBytes and writeBufferBytes are the sizes of a connection's buffers.
	// They are small since a leader keeps four of them for each process that it
	// exchanges frames with, and bodies longer than a buffer bypass it.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// frameKind distinguishes one-way messages, requests and replies.
type frameKind uint8

const (
	kindMessage frameKind = iota + 1
	kindRequest
	kindReply
)

// frame is the unit of transmission on a connection.
type frame struct {
	Kind frameKind `msgpack:"k"`
	// ID is that of the request, unique on its connection; the reply repeats it.
	ID    uint64 `msgpack:"i"`
	Topic string `msgpack:"t,omitempty"`
	// BudgetMillis is the remaining time until the caller's deadline when the frame is
	// written, and SentMillis the sender's steady clock then. They are set on requests
	// only.
	BudgetMillis int64  `msgpack:"b,omitempty"`
	SentMillis   int64  `msgpack:"s,omitempty"`
	Body         []byte `msgpack:"p,omitempty"`
	// At is the sender's hybrid logical time. It orders the events of several
	// processes.
	At eventlog.Timestamp `msgpack:"h"`
	// Refusal is set instead of Body on the reply to a request that failed.
	Refusal *verdict.Refusal `msgpack:"e,omitempty"`
}

// writeFrame appends f to w without flushing it.
func writeFrame(w *bufio.Writer, f *frame) error {
	body, err := codec.Marshal(f)
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

// smallFrameBytes is the length up to which frames are not charged to the budget. The limit on
// connections bounds their bytes.
const smallFrameBytes = 4 << 10

// readFrame reads one frame from r. Its bytes are charged to the budget as they arrive. closeConn
// is called if the frame is rejected for want of memory.
func readFrame(r *bufio.Reader, budget *bodylimit.Budget, closeConn func()) (*frame, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxFrameBytes {
		return nil, verdict.Refuse(verdict.ReasonTooLarge, "frame of %d bytes is over %d", size, MaxFrameBytes)
	}
	if size > smallFrameBytes {
		charge := budget.Begin(closeConn)
		defer charge.End()
		body, err := bodylimit.Read(r, charge, int64(size), MaxFrameBytes)
		if err != nil {
			return nil, err
		}
		return decodeFrame(body)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return decodeFrame(body)
}

func decodeFrame(body []byte) (*frame, error) {
	f := &frame{}
	if err := codec.Unmarshal(body, f); err != nil {
		return nil, verdict.Refuse(verdict.ReasonBadRequest, "frame can't be decoded: %v", err)
	}
	return f, nil
}
