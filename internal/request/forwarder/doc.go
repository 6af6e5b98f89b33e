// Package forwarder takes a caller's request at its entry, finds the owner of a
// suitable upstream, hands the request to it and the answer back, and says in
// every answer what became of the request.
//
// A request is tried again only after "not run", or when it is idempotent and
// nothing of an answer was passed on, within the deadline and the service's
// retry budget. A broken answer reaches the caller as a broken one.
package forwarder
