// Package codec encodes the messages and log entries of the project's processes
// as msgpack, with each integer in its shortest form. By default the library
// writes all eight bytes of a 64-bit integer. Any msgpack decoder can decode the
// result.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal returns the encoding of v. Equal values have equal encodings if they
// contain no maps, whose order of iteration is random.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
