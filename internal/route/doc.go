// Package route forwards callers' requests to backend servers and relays the
// complete responses. It keeps no state that must survive a restart: slots are
// granted by the data centre's group, and requests that are not idempotent are
// recorded in the group's ledger before any of their bytes are sent.
//
// For a request that is not idempotent, a not-run verdict covers every earlier
// call with the same request id. For an idempotent request it covers this call
// only.
//
// A backend server must declare the length of a response or send it chunked. It
// must end a request when its connection closes or the time in the
// Kq-Deadline-Ms header has passed. If a response echoes the request's
// Kq-Request-Id, the connection is reused for further requests. Otherwise the
// connection serves one request only, so that a late response cannot be taken
// for that of another request.
package route
