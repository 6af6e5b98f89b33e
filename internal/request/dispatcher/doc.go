// Package dispatcher handles callers' requests on an entry that sends straight to upstreams:
// it matches the route, chooses an upstream, sends the request, retries where that is allowed,
// and returns the response.
//
// Every request ends with one of three outcomes: answered, not run, or unknown. "Not run" is
// reported only if the request was sent to no upstream, or if every upstream that received it
// stated that it did not run it.
package dispatcher
