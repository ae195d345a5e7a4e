package cell

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
)

// WorkerSpeed is the lasting speed of one incarnation of a worker.
type WorkerSpeed struct {
	Incarnation Incarnation
	// Thousandths is the speed in thousandths of the nominal speed.
	Thousandths int64
}

// maxSpeed bounds the recorded speeds, in thousandths.
const maxSpeed = 100_000

// recordSpeeds stores the speeds of those incarnations that are the present ones.
func (s *State) recordSpeeds(speeds []WorkerSpeed) {
	for i := range speeds {
		if w := s.incarnation(speeds[i].Incarnation); w != nil {
			w.Speed = validSpeed(speeds[i].Thousandths)
		}
	}
}

// validSpeed returns the speed, or 0 (unknown) if it is out of range.
func validSpeed(thousandths int64) int64 {
	if thousandths < 0 || thousandths > maxSpeed {
		return 0
	}
	return thousandths
}

// DecodeMsgpack implements msgpack.CustomDecoder. Entries of earlier versions have no
// Speeds.
func (e *Ends) DecodeMsgpack(d *msgpack.Decoder) error {
	*e = Ends{}
	return codec.DecodeFields(d, &e.Ends, &e.UnixMillis, &e.Speeds)
}

// DecodeMsgpack implements msgpack.CustomDecoder. Snapshots of earlier versions have no
// Speeds.
func (s *snapshot) DecodeMsgpack(d *msgpack.Decoder) error {
	*s = snapshot{}
	return codec.DecodeFields(d, &s.Leadership, &s.Config, &s.Document, &s.Former, &s.Out, &s.Workers, &s.Held, &s.Jobs, &s.Tombstones, &s.Speeds)
}
