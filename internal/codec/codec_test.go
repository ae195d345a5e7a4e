package codec

import (
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
