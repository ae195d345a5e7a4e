// Package route takes callers' requests and gets each one's whole answer from
// a backend server. It holds no state that must survive: slots are lent by the
// data centre's group, and requests that are not idempotent are recorded there
// before a byte of them is sent.
//
// A verdict of not-run speaks of the whole history of a request id that is not
// idempotent, and of this one call for other requests.
//
// What is asked of backend servers: an answer declares its length or comes in
// chunks; a request ends when its connection closes or the time in the header
// Kq-Deadline-Ms is over; and an answer that repeats the request's
// Kq-Request-Id lets the connection carry the next request. A server that
// doesn't repeat it gets a connection per request, so that a late answer goes
// nowhere.
package route
