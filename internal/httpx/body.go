package httpx

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"kumquatwing/internal/bodylimit"
	"kumquatwing/internal/verdict"
)

const (
	// defaultBudgetBytes is the budget for the bodies of requests in processes that don't
	// know their memory.
	defaultBudgetBytes = 64 << 20
	// retryNoMemory is the Retry-After of requests that are refused because there is no
	// memory for their bodies. Stalled bodies make way for others within about that time.
	retryNoMemory = time.Second
)

// budgetKey is the context key of the budget for the bodies of requests.
type budgetKey struct{}

// defaultBudget is the budget of requests whose context has none.
var defaultBudget = bodylimit.New("requests", defaultBudgetBytes)

// DefaultBudget returns the budget for requests whose context has none.
func DefaultBudget() *bodylimit.Budget { return defaultBudget }

// UseBudget wraps a handler so that the bodies of its requests are charged to a budget; nil
// stands for DefaultBudget.
func UseBudget(b *bodylimit.Budget, next http.Handler) http.Handler {
	if b == nil {
		b = defaultBudget
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), budgetKey{}, b)))
	})
}

// BudgetOf returns the budget for the body of a request.
func BudgetOf(r *http.Request) *bodylimit.Budget {
	if b, ok := r.Context().Value(budgetKey{}).(*bodylimit.Budget); ok {
		return b
	}
	return defaultBudget
}

// Conn returns the connection of a request, nil if it is not known. See WithConn.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// receiver is a connection that is told whether a request's body is being received.
type receiver interface{ SetReceiving(bool) }

// ReadBody reads a request's whole body of at most limit bytes. It is charged to the budget of
// the request as it arrives, until the returned Body is ended, which is not nil if there is no
// error. A body that is rejected for want of memory is refused with verdict NotRun and a time
// to retry. The server's connection must be known by WithConn, so that a body that has stalled
// can be rejected. The connection is closed after the response to a refused body. w may be nil.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *bodylimit.Body, *verdict.Refusal) {
	conn := Conn(r.Context())
	if c, ok := conn.(receiver); ok {
		c.SetReceiving(true)
		defer c.SetReceiving(false)
	}
	body := BudgetOf(r).Begin(func() { interruptRead(conn) })
	data, err := bodylimit.Read(r.Body, body, r.ContentLength, limit)
	if err == nil {
		return data, body, nil
	}
	body.End()
	interruptRead(conn)
	if w != nil {
		closeAfterResponse(w, err)
	}
	return nil, nil, bodyRefusal(err)
}

// closeAfterResponse makes the server close the connection after the response to a request whose
// body could not be read, without waiting for the rest of the body, which may be of any length
// and may never arrive.
func closeAfterResponse(w http.ResponseWriter, err error) {
	var tooLarge *bodylimit.TooLargeError
	if !errors.As(err, &tooLarge) && !errors.Is(err, bodylimit.ErrRejected) {
		w.Header().Set("Connection", "close")
		return
	}
	// The client may still be sending. A reader over its limit lets the server send the
	// response and wait for a moment before it closes the connection; closing with unread
	// bytes would reset it, and the response could be lost.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader(" ")), 0).Read(make([]byte, 1))
}

// interruptRead ends a read on a connection that is blocked.
func interruptRead(c net.Conn) {
	if c != nil {
		// A connection that is closed needs no interruption.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// bodyRefusal returns the refusal of a request whose body was not read to its end.
func bodyRefusal(err error) *verdict.Refusal {
	var tooLarge *bodylimit.TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.ReasonTooLarge, "body is over %d bytes", tooLarge.Limit)
	case errors.Is(err, bodylimit.ErrRejected):
		return RefuseNoMemory()
	}
	return verdict.Refuse(verdict.ReasonBadRequest, "body can't be read: %v", err)
}

// RefuseNoMemory returns the refusal of a request for whose body there is no memory. Nothing
// of the request has run, since it is decoded only once it is complete.
func RefuseNoMemory() *verdict.Refusal {
	return verdict.Refuse(verdict.ReasonNoMemory, "no memory for the body").WithRetryAfter(retryNoMemory)
}
