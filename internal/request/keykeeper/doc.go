// Package keykeeper ensures that requests with an Idempotency-Key run at most once.
//
// Each key has one home: the only daemon that may run its request. It remembers the outcome
// for the retention period, unless it terminates before. A key made by the finder library
// names its home, the incarnation of the entry that the caller was told to use first. Any
// other daemon that receives the key forwards the request to its home; if the home is gone,
// the outcome is unknown and the request is never run a second time.
//
// A key begins at its home before the request may be sent to an upstream. It ends as answered,
// with the response kept if there is room, or as unknown. If the request did not run, the key
// is removed, so that the request may be retried.
package keykeeper
