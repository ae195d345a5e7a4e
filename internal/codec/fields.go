package codec

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// DecodeFields decodes a struct that may be encoded as an array of a version of its type
// with fewer or more fields at the end: missing ones are set to zero, and further ones
// are skipped. The library refuses an array of another length than the struct has fields.
// v points to the struct, whose fields are all exported. Its type must not call DecodeFields
// itself: a type that does passes itself as one with the same fields and no methods.
func DecodeFields(d *msgpack.Decoder, v any) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !isArray(code) {
		return d.Decode(v)
	}
	fields := reflect.ValueOf(v).Elem()
	fields.SetZero()
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i < fields.NumField() {
			err = d.DecodeValue(fields.Field(i))
		} else {
			err = d.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

// EncodeFields encodes a struct as an array without its last fields that are zero, except
// for the first least ones, which are always encoded. An earlier version whose type has
// that many fields can decode it while the further ones are zero. v is as for
// DecodeFields.
func EncodeFields(e *msgpack.Encoder, v any, least int) error {
	fields := reflect.ValueOf(v).Elem()
	n := fields.NumField()
	for n > least && fields.Field(n-1).IsZero() {
		n--
	}
	if err := e.EncodeArrayLen(n); err != nil {
		return err
	}
	for i := range n {
		if err := e.EncodeValue(fields.Field(i)); err != nil {
			return err
		}
	}
	return nil
}
