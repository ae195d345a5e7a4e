// Package bodylimit bounds the memory that the bodies of requests take while they are
// received. A Budget is charged as the buffers of bodies grow, not by the lengths that
// clients declare. When it is full, it rejects bodies in progress, so that clients that send
// large bodies and never end them can't exhaust the memory of the process, and can't keep out
// small requests. The package has no network of its own.
package bodylimit

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a body is small. An ordinary body of a caller has
	// up to 12 KB.
	SmallBytes = 16 << 10
	// reservedShare is the part of a budget, one in this many bytes, that only small bodies
	// can use.
	reservedShare = 4
	// stallTime is how long a body may make no progress until it is rejected before larger
	// ones that do.
	stallTime = time.Second
)

// ErrRejected is the error of a body that was rejected because the budget is full.
var ErrRejected = errors.New("bodylimit: no memory for the body")

// Budget bounds the bytes of the bodies of one account, such as those of callers. It is safe
// for concurrent use.
type Budget struct {
	name  string
	total int64
	now   func() time.Time
	// decoding has one slot for the large body that is being decoded.
	decoding chan struct{}

	// mu protects the fields below, and those of the bodies.
	mu       sync.Mutex
	bodies   map[*Body]struct{}
	onReject func(Rejection)
	// small and large are the bytes of the small bodies and of the others.
	small, large int64
	rejected     uint64
}

// Rejection describes a rejected body.
type Rejection struct {
	// Account is the name of the budget.
	Account string
	// Bytes is the memory that the body held.
	Bytes int64
	// Stalled is for how long it had made no progress.
	Stalled time.Duration
}

// New returns a Budget of total bytes for an account.
func New(name string, total int64) *Budget {
	return &Budget{name: name, total: total, now: time.Now, decoding: make(chan struct{}, 1), bodies: map[*Body]struct{}{}, onReject: func(Rejection) {}}
}

// OnReject sets the function that is called for each rejected body. It must not use the
// Budget. OnReject must be called before the first Begin.
func (b *Budget) OnReject(f func(Rejection)) { b.onReject = f }

// Name returns the name of the account.
func (b *Budget) Name() string { return b.name }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.total }

// Used returns the bytes of all bodies.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// Rejected returns how many bodies were rejected.
func (b *Budget) Rejected() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rejected
}

// largeLimit bounds the bytes of the bodies that aren't small.
func (b *Budget) largeLimit() int64 { return b.total - b.total/reservedShare }

// Body is a body in progress. Its methods are safe for concurrent use.
type Body struct {
	budget *Budget
	// interrupt ends a read of the body that is blocked. It is nil for a complete body,
	// which is no longer rejected.
	interrupt func()
	bytes     int64
	progress  time.Time
	rejected  bool
}

// Begin adds a body. interrupt is called, once at most and not after Complete or End, when the
// body is rejected. It must not block or use the Budget.
func (b *Budget) Begin(interrupt func()) *Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := &Body{budget: b, interrupt: interrupt, progress: b.now()}
	b.bodies[body] = struct{}{}
	return body
}

// Grow charges n more bytes to the body, before they are allocated. While they don't fit, it
// rejects bodies: the one that has gone longest without progress, if that is longer than
// stallTime, and otherwise the largest. It returns ErrRejected if the body itself is rejected.
func (y *Body) Grow(n int64) error {
	b := y.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if y.rejected {
		return ErrRejected
	}
	b.charge(y, n)
	for !b.fits(y) {
		victim := b.victim(y.bytes > SmallBytes)
		if victim == nil {
			victim = y
		}
		b.reject(victim)
		if victim == y {
			return ErrRejected
		}
	}
	return nil
}

// Progress records that bytes of the body have arrived. It returns ErrRejected if the body
// was rejected.
func (y *Body) Progress() error {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	if y.rejected {
		return ErrRejected
	}
	y.progress = y.budget.now()
	return nil
}

// Complete keeps the body from being rejected, since its request is about to be carried out.
// Its bytes stay charged. It returns ErrRejected if the body was rejected before.
func (y *Body) Complete() error {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	if y.rejected {
		return ErrRejected
	}
	y.interrupt = nil
	return nil
}

// End releases the bytes of the body. Further calls have no effect.
func (y *Body) End() {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	y.budget.remove(y)
}

// BeginDecode waits until no other large body of the account is being decoded, since that takes
// several times the memory of the body. The body is no longer being decoded once the returned
// function is called. Bodies whose size, as they are or decoded, is small don't wait. An error
// is that of ctx.
func (y *Body) BeginDecode(ctx context.Context, size int) (end func(), err error) {
	if size <= SmallBytes {
		return func() {}, nil
	}
	select {
	case y.budget.decoding <- struct{}{}:
		return func() { <-y.budget.decoding }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// charge adds n bytes to a body. The caller holds mu.
func (b *Budget) charge(y *Body, n int64) {
	*b.class(y) -= y.bytes
	y.bytes += n
	*b.class(y) += y.bytes
}

// class returns the sum that the body counts towards.
func (b *Budget) class(y *Body) *int64 {
	if y.bytes > SmallBytes {
		return &b.large
	}
	return &b.small
}

// fits reports whether the bodies are within the limits that concern y. The caller holds mu.
func (b *Budget) fits(y *Body) bool {
	if y.bytes > SmallBytes && b.large > b.largeLimit() {
		return false
	}
	return b.small+b.large <= b.total
}

// victim returns the body to reject, nil if there is none. Small bodies are rejected only for
// other small ones, and only if no large one is left. The caller holds mu.
func (b *Budget) victim(forLarge bool) *Body {
	if y := b.worst(true); y != nil || forLarge {
		return y
	}
	return b.worst(false)
}

// worst returns the large or small body that is rejected first. The caller holds mu.
func (b *Budget) worst(large bool) *Body {
	var oldest, largest *Body
	for y := range b.bodies {
		if y.interrupt == nil || (y.bytes > SmallBytes) != large {
			continue
		}
		if oldest == nil || y.progress.Before(oldest.progress) {
			oldest = y
		}
		if largest == nil || y.bytes > largest.bytes {
			largest = y
		}
	}
	if oldest != nil && (!large || b.now().Sub(oldest.progress) > stallTime) {
		return oldest
	}
	return largest
}

// reject rejects a body and releases its bytes: its reader drops them. The caller holds mu.
func (b *Budget) reject(y *Body) {
	y.rejected = true
	b.rejected++
	b.onReject(Rejection{Account: b.name, Bytes: y.bytes, Stalled: b.now().Sub(y.progress)})
	if y.interrupt != nil {
		y.interrupt()
	}
	b.remove(y)
}

// remove releases the bytes of a body. The caller holds mu.
func (b *Budget) remove(y *Body) {
	if _, ok := b.bodies[y]; !ok {
		return
	}
	*b.class(y) -= y.bytes
	delete(b.bodies, y)
}
