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
	Small    uint32  `msgpack:"m"`
	Many     []int64 `msgpack:"n"`
}

func TestMarshalKeepsValuesInFewerBytes(t *testing.T) {
	for _, v := range []sample{
		{},
		{Signed: -1, Unsigned: 200, Small: 3, Many: []int64{0, 127, -33}},
		{Signed: math.MinInt64, Unsigned: math.MaxUint64, Small: math.MaxUint32, Many: []int64{math.MaxInt64}},
	} {
		data, err := Marshal(&v)
		qt.Assert(t, err, qt.IsNil)
		var got sample
		qt.Assert(t, msgpack.Unmarshal(data, &got), qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, v)
		plain, err := msgpack.Marshal(&v)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(data) <= len(plain), qt.IsTrue)
	}
	small, err := Marshal(&sample{Signed: 5, Unsigned: 5, Small: 5})
	qt.Assert(t, err, qt.IsNil)
	// A map of four one-letter names, three numbers and nil.
	qt.Assert(t, small, qt.HasLen, 1+4*2+3+1)
}
