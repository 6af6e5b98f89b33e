// Package dispatcher takes the requests of callers on an entry that sends
// straight to upstreams: it finds the route, chooses an upstream, sends, repeats
// where that is allowed, and answers.
//
// Every request ends as one of three outcomes: answered, not run, or unknown.
// "Not run" is said only if the request left for no upstream, or every upstream
// that it was sent to stated that it did not run it.
package dispatcher
