// Package keykeeper makes requests with an Idempotency-Key run at most once.
//
// Each key has one home, a daemon that alone may run it and remembers what became
// of it while it lives. A key made by the finder library names its home: the
// incarnation of the entry that the caller was told to use first. Whoever else
// receives the key hands the request to that daemon; if it is gone, the outcome
// is unknown and the request is never run a second time.
//
// A key begins in its home before the request may leave for an upstream. It ends
// as answered, with the answer kept while there is room, as unknown, or, when the
// request did not run, not at all, so that it may be tried again.
package keykeeper
