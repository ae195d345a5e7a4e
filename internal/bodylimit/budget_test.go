package bodylimit

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
)

// fixture is a budget with a clock of its own, whose bodies count their interruptions.
type fixture struct {
	*Budget
	at time.Time
}

func newFixture(total int64) *fixture {
	f := &fixture{Budget: New("test", total), at: time.Unix(1000, 0)}
	f.now = func() time.Time { return f.at }
	return f
}

// begin adds a body of some bytes. The result counts how often it was interrupted.
func (f *fixture) begin(t *testing.T, bytes int64) (*Body, *int) {
	t.Helper()
	interrupted := new(int)
	y := f.Begin(func() { *interrupted++ })
	qt.Assert(t, y.Grow(bytes), qt.IsNil)
	return y, interrupted
}

// TestLargestBodyIsRejected guards against a budget that is exceeded, or that rejects a body
// other than the largest while all make progress.
func TestLargestBodyIsRejected(t *testing.T) {
	f := newFixture(400 << 10)
	small, smallInterrupted := f.begin(t, 100<<10)
	large, largeInterrupted := f.begin(t, 150<<10)
	other, _ := f.begin(t, 90<<10)
	qt.Check(t, *smallInterrupted+*largeInterrupted, qt.Equals, 1)
	qt.Check(t, *largeInterrupted, qt.Equals, 1)
	qt.Check(t, large.Progress(), qt.ErrorIs, ErrRejected)
	qt.Check(t, large.Grow(1), qt.ErrorIs, ErrRejected)
	qt.Check(t, large.Complete(), qt.ErrorIs, ErrRejected)
	qt.Check(t, f.Used(), qt.Equals, int64(190<<10))
	large.End()
	small.End()
	other.End()
	other.End()
	qt.Check(t, f.Used(), qt.Equals, int64(0))
	qt.Check(t, f.Rejected(), qt.Equals, uint64(1))
}

// TestStalledBodyIsRejectedFirst guards against stalled bodies that keep their memory while
// others that make progress are rejected.
func TestStalledBodyIsRejectedFirst(t *testing.T) {
	f := newFixture(400 << 10)
	var last Rejection
	f.OnReject(func(r Rejection) { last = r })
	_, stalled := f.begin(t, 50<<10)
	f.at = f.at.Add(time.Second)
	moving, movingInterrupted := f.begin(t, 200<<10)
	f.at = f.at.Add(time.Second)
	qt.Check(t, moving.Progress(), qt.IsNil)
	f.begin(t, 60<<10)
	qt.Check(t, *stalled, qt.Equals, 1)
	qt.Check(t, *movingInterrupted, qt.Equals, 0)
	qt.Check(t, last, qt.Equals, Rejection{Account: "test", Bytes: 50 << 10, Stalled: 2 * time.Second})
}

// TestSmallBodiesAlwaysGetTheirPart guards against large bodies that keep out small ones. Load:
// as many stalled large bodies as fit, then 12 KB bodies of ordinary callers.
func TestSmallBodiesAlwaysGetTheirPart(t *testing.T) {
	f := newFixture(8 << 20)
	for range 24 {
		f.begin(t, 256<<10)
	}
	large, _ := f.begin(t, 256<<10)
	qt.Check(t, f.Rejected() > 0, qt.IsTrue)
	qt.Check(t, large.Complete(), qt.IsNil)
	before := f.Rejected()
	for range (2 << 20) / (12 << 10) {
		f.begin(t, 12<<10)
	}
	qt.Check(t, f.Rejected(), qt.Equals, before, qt.Commentf("large bodies had to make way within the part for small ones"))
	qt.Check(t, f.Used() <= 8<<20, qt.IsTrue)
	f.begin(t, 12<<10)
	f.begin(t, 12<<10)
	qt.Check(t, f.Rejected() > before, qt.IsTrue)
	qt.Check(t, f.Used() <= 8<<20, qt.IsTrue)
}

// TestOnlySmallBodiesLeft guards against a process that refuses every small body because
// others have stalled: the longest stalled of them makes way.
func TestOnlySmallBodiesLeft(t *testing.T) {
	f := newFixture(20 << 10)
	_, first := f.begin(t, 10<<10)
	f.at = f.at.Add(time.Millisecond)
	_, second := f.begin(t, 10<<10)
	f.at = f.at.Add(time.Millisecond)
	f.begin(t, 10<<10)
	qt.Check(t, []int{*first, *second}, qt.DeepEquals, []int{1, 0})
}

// TestCompleteBodiesAreNotRejected guards against requests that are refused as not run
// although they are being carried out.
func TestCompleteBodiesAreNotRejected(t *testing.T) {
	f := newFixture(400 << 10)
	running, interrupted := f.begin(t, 250<<10)
	qt.Assert(t, running.Complete(), qt.IsNil)
	f.at = f.at.Add(time.Hour)
	late := f.Begin(func() {})
	qt.Check(t, late.Grow(100<<10), qt.ErrorIs, ErrRejected)
	qt.Check(t, *interrupted, qt.Equals, 0)
	qt.Check(t, running.Grow(100<<10), qt.ErrorIs, ErrRejected, qt.Commentf("no body is left that could make way"))
	qt.Check(t, f.Used(), qt.Equals, int64(0))
}

// TestLargeBodiesAreDecodedOneAtATime guards against many bodies that are decoded together,
// each of which takes many times its length.
func TestLargeBodiesAreDecodedOneAtATime(t *testing.T) {
	f := newFixture(8 << 20)
	y, _ := f.begin(t, 100)
	end, err := y.BeginDecode(t.Context(), SmallBytes+1)
	qt.Assert(t, err, qt.IsNil)
	endSmall, err := y.BeginDecode(t.Context(), SmallBytes)
	qt.Assert(t, err, qt.IsNil)
	endSmall()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = y.BeginDecode(ctx, SmallBytes+1)
	qt.Check(t, err, qt.ErrorIs, context.Canceled)
	end()
	end, err = y.BeginDecode(t.Context(), SmallBytes+1)
	qt.Assert(t, err, qt.IsNil)
	end()
}

// TestRead reads bodies of all sorts and checks what is charged for them.
func TestRead(t *testing.T) {
	const limit = 300 << 10
	text := func(n int) string { return strings.Repeat("0123456789abcdef", n/16+1)[:n] }
	for _, c := range []struct {
		name     string
		size     int
		declared int64
		err      error
	}{
		{"empty", 0, 0, nil},
		{"empty, not declared", 0, -1, nil},
		{"declared", 12 << 10, 12 << 10, nil},
		{"not declared", 12 << 10, -1, nil},
		{"large", 256 << 10, 256 << 10, nil},
		{"large, not declared", 256 << 10, -1, nil},
		{"as large as allowed", limit, -1, nil},
		{"declared over the limit", 10, limit + 1, &TooLargeError{limit}},
		{"over the limit", limit + 1, -1, &TooLargeError{limit}},
		{"ends early", 1000, 2000, io.ErrUnexpectedEOF},
	} {
		for how, wrap := range map[string]func(io.Reader) io.Reader{
			"whole":         func(r io.Reader) io.Reader { return r },
			"byte by byte":  iotest.OneByteReader,
			"end with data": iotest.DataErrReader,
		} {
			t.Run(c.name+", "+how, func(t *testing.T) {
				f := newFixture(4 << 20)
				y := f.Begin(func() {})
				got, err := Read(wrap(strings.NewReader(text(c.size))), y, c.declared, limit)
				var tooLarge *TooLargeError
				if errors.As(c.err, &tooLarge) {
					qt.Assert(t, errors.As(err, &tooLarge), qt.IsTrue, qt.Commentf("%v", err))
					return
				}
				qt.Assert(t, err, qt.Equals, c.err)
				if err == nil {
					qt.Check(t, string(got), qt.Equals, text(c.size))
				}
				qt.Check(t, f.Used() <= int64(2*c.size+firstSegment), qt.IsTrue, qt.Commentf("%d bytes charged for %d", f.Used(), c.size))
			})
		}
	}
}

// TestDeclaredLengthAllocatesNothing guards against memory that is taken on the strength of a
// declared length.
func TestDeclaredLengthAllocatesNothing(t *testing.T) {
	f := newFixture(4 << 20)
	y := f.Begin(func() {})
	_, err := Read(bytes.NewReader([]byte("x")), y, 2<<20, 4<<20)
	qt.Check(t, err, qt.Equals, io.ErrUnexpectedEOF)
	qt.Check(t, f.Used(), qt.Equals, int64(firstSegment))
}

// TestReadOfRejectedBody checks that a read that was interrupted halfway because its body was
// rejected reports that, and not the error of the connection.
func TestReadOfRejectedBody(t *testing.T) {
	f := newFixture(100 << 10)
	r, w := io.Pipe()
	y := f.Begin(func() { w.CloseWithError(io.ErrClosedPipe) })
	go func() {
		// The read ends with the pipe, so the write may fail.
		_, _ = w.Write(make([]byte, 40<<10))
		other := f.Begin(func() {})
		_ = other.Grow(39 << 10)
	}()
	_, err := Read(r, y, 60<<10, 100<<10)
	qt.Check(t, err, qt.ErrorIs, ErrRejected)
}
