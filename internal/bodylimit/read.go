package bodylimit

import (
	"errors"
	"fmt"
	"io"
)

const (
	// firstSegment and maxSegment bound the parts in which a body is buffered. Each part is
	// as large as those before together, so that at most half of the memory held is unused.
	firstSegment = 4 << 10
	maxSegment   = 64 << 10
)

// TooLargeError is the error of a body over its limit.
type TooLargeError struct{ Limit int64 }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("the body is over %d bytes", e.Limit) }

// unknownLength as the declared length of a body stands for none.
const unknownLength = -1

// Read reads a body of at most limit bytes from r and charges it to y as it arrives. declared
// is the length that the client has declared, -1 if none. A body that is declared to be over
// the limit is refused before any byte is read. The body is buffered in parts, which are
// joined once it is complete, so that its buffer is never copied while it grows.
func Read(r io.Reader, y *Body, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, &TooLargeError{limit}
	}
	s := segments{body: y, declared: declared, limit: limit}
	if err := s.readFrom(r); err != nil {
		return nil, err
	}
	if err := y.Complete(); err != nil {
		return nil, err
	}
	return s.join(), nil
}

// segments are the parts of a body in progress.
type segments struct {
	body            *Body
	declared, limit int64
	full            [][]byte
	// last is the part that is being filled.
	last []byte
	size int64
}

// readFrom reads until the declared length or the end of the body.
func (s *segments) readFrom(r io.Reader) error {
	for s.size != s.declared {
		if err := s.extend(); err != nil {
			return err
		}
		n, err := r.Read(s.last[len(s.last):cap(s.last)])
		s.last = s.last[:len(s.last)+n]
		s.size += int64(n)
		if s.size > s.limit {
			return &TooLargeError{s.limit}
		}
		if n > 0 || err != nil {
			if rejected := s.body.Progress(); rejected != nil {
				return rejected
			}
		}
		if errors.Is(err, io.EOF) {
			return s.end()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// end returns an error if the body has ended before its declared length.
func (s *segments) end() error {
	if s.declared != unknownLength && s.size != s.declared {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// extend begins a part if the last one is full.
func (s *segments) extend() error {
	if len(s.last) < cap(s.last) {
		return nil
	}
	size := min(max(firstSegment, s.size), maxSegment)
	if s.declared != unknownLength {
		size = min(size, s.declared-s.size)
	}
	if err := s.body.Grow(size); err != nil {
		return err
	}
	if s.last != nil {
		s.full = append(s.full, s.last)
	}
	s.last = make([]byte, 0, size)
	return nil
}

// join returns the whole body.
func (s *segments) join() []byte {
	if len(s.full) == 0 {
		return s.last
	}
	body := make([]byte, 0, s.size)
	for i, part := range s.full {
		body = append(body, part...)
		s.full[i] = nil
	}
	return append(body, s.last...)
}
