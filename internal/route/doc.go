// Package route takes callers' requests and gets each one's whole answer from
// a backend server. It holds no state that must survive: slots are lent by the
// data centre's group, and requests that are not idempotent are recorded there
// before a byte of them is sent.
//
// A verdict of not-run speaks of the whole history of a request id that is not
// idempotent, and of this one call for other requests.
package route
