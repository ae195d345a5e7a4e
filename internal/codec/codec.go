// Package codec encodes what our own processes send and log: msgpack with
// integers at their least size. The library writes eight bytes for each
// integer otherwise. Any msgpack decoder reads the result.
package codec

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Marshal encodes v. Equal values without maps give equal bytes.
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
