package codec

import (
	"bytes"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"
)

type sample struct {
	Signed   int64   `msgpack:"s"`
	Unsigned uint64  `msgpack:"u"`
	Short    uint32  `msgpack:"m"`
	Many     []int64 `msgpack:"n"`
}

// TestMarshalCompactIntegers checks that values survive encoding and decoding and
// that the encoding is never longer than that of the library's defaults.
func TestMarshalCompactIntegers(t *testing.T) {
	for _, v := range []sample{
		{},
		{Signed: -1, Unsigned: 200, Short: 3, Many: []int64{0, 127, -33}},
		{Signed: math.MinInt64, Unsigned: math.MaxUint64, Short: math.MaxUint32, Many: []int64{math.MaxInt64}},
	} {
		data, err := Marshal(&v)
		qt.Assert(t, err, qt.IsNil)
		var decoded sample
		qt.Assert(t, msgpack.Unmarshal(data, &decoded), qt.IsNil)
		qt.Assert(t, decoded, qt.DeepEquals, v)
		standard, err := msgpack.Marshal(&v)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(data) <= len(standard), qt.IsTrue)
	}
	small, err := Marshal(&sample{Signed: 5, Unsigned: 5, Short: 5})
	qt.Assert(t, err, qt.IsNil)
	// The header of a map, four one-letter keys in two bytes each, three integers
	// and a nil in one byte each.
	qt.Assert(t, small, qt.HasLen, 1+4*2+3+1)
}

// TestDecodeFields checks that a struct decodes from the arrays of versions of its type
// with other numbers of fields.
func TestDecodeFields(t *testing.T) {
	for _, c := range []struct {
		data []byte
		want sample
	}{
		{[]byte{0x91, 7}, sample{Signed: 7}},
		{[]byte{0x94, 7, 8, 9, 0x91, 1}, sample{Signed: 7, Unsigned: 8, Short: 9, Many: []int64{1}}},
		{[]byte{0x96, 7, 8, 9, 0xc0, 0x92, 1, 2, 3}, sample{Signed: 7, Unsigned: 8, Short: 9}},
		{[]byte{0x90}, sample{}},
		{[]byte{0x81, 0xa1, 'u', 5}, sample{Signed: -1, Unsigned: 5}},
		{[]byte{0xc0}, sample{}},
	} {
		decoded := sample{Signed: -1, Unsigned: 1}
		d := msgpack.NewDecoder(bytes.NewReader(c.data))
		qt.Check(t, DecodeFields(d, &decoded), qt.IsNil)
		qt.Check(t, decoded, qt.DeepEquals, c.want)
		qt.Check(t, d.Buffered().(interface{ Len() int }).Len(), qt.Equals, 0, qt.Commentf("% x", c.data))
	}
	for _, data := range [][]byte{{}, {0x92, 7}, {0x91, 0xa1, 'x'}, {0xa1, 'x'}} {
		var decoded sample
		qt.Check(t, DecodeFields(msgpack.NewDecoder(bytes.NewReader(data)), &decoded), qt.IsNotNil, qt.Commentf("% x", data))
	}
}

// TestEncodeFields checks that the last fields are left out while they are zero, down to
// the least number.
func TestEncodeFields(t *testing.T) {
	for _, c := range []struct {
		v    sample
		want []byte
	}{
		{sample{}, []byte{0x92, 0, 0}},
		{sample{Signed: 1, Short: 3}, []byte{0x93, 1, 0, 3}},
		{sample{Many: []int64{5}}, []byte{0x94, 0, 0, 0, 0x91, 5}},
	} {
		var buf bytes.Buffer
		e := msgpack.NewEncoder(&buf)
		e.UseCompactInts(true)
		qt.Assert(t, EncodeFields(e, &c.v, 2), qt.IsNil)
		qt.Check(t, buf.Bytes(), qt.DeepEquals, c.want)
		var decoded sample
		qt.Assert(t, DecodeFields(msgpack.NewDecoder(&buf), &decoded), qt.IsNil)
		qt.Check(t, decoded, qt.DeepEquals, c.v)
	}
}
