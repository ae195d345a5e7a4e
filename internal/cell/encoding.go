package cell

import (
	"github.com/vmihailenco/msgpack/v5"

	"kumquatwing/internal/codec"
)

// The types below are parts of log entries and snapshots to which fields were added. Each
// decodes what earlier versions have encoded, without the fields at its end. Those with an
// encoder leave out the last fields that are zero.

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Command) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields Command
	return codec.DecodeFields(d, (*fields)(c))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Cancel) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields Cancel
	return codec.DecodeFields(d, (*fields)(c))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *End) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields End
	return codec.DecodeFields(d, (*fields)(e))
}

// endFields, endsFields and snapshotFields are the numbers of fields that members of the
// version before predicted run times and speeds can decode.
const (
	endFields      = 6
	endsFields     = 2
	snapshotFields = 9
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (e *End) EncodeMsgpack(enc *msgpack.Encoder) error {
	return codec.EncodeFields(enc, e, endFields)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *Ends) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields Ends
	return codec.DecodeFields(d, (*fields)(e))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (e *Ends) EncodeMsgpack(enc *msgpack.Encoder) error {
	return codec.EncodeFields(enc, e, endsFields)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s *snapshot) EncodeMsgpack(enc *msgpack.Encoder) error {
	return codec.EncodeFields(enc, s, snapshotFields)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *Workers) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields Workers
	return codec.DecodeFields(d, (*fields)(w))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (w *Worker) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields Worker
	return codec.DecodeFields(d, (*fields)(w))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *snapshot) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields snapshot
	return codec.DecodeFields(d, (*fields)(s))
}
