// Package forwarder takes a caller's request at its entry, finds the owner of a suitable
// upstream, hands the request to it and the response back, and reports in every response what
// became of the request.
//
// A request is retried only after "not run", or when it is idempotent and no part of a
// response was forwarded, within the deadline and the service's retry budget. A response that
// breaks off is visibly incomplete to the caller.
package forwarder
