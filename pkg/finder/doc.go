// Package finder is the client library for callers. It looks up the entries to
// use for a service, caches the result for its lifetime, and sends requests to
// these entries.
//
// The outcome of a request is answered, not run or unknown. A request is retried
// within the caller's deadline, on another entry, if it did not run or if it may
// safely run again. A request whose method is not idempotent carries an
// Idempotency-Key that names the first entry as its home: only the home may run the
// request, and it remembers the outcome. After a lost response the request can
// therefore be retried safely with the same key through any entry.
package finder
