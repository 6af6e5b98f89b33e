// Package storer is a client for the platform's object API: named objects
// with revisions, conditional writes, lists and long-poll watches.
//
// A write has one of three results. It took effect (nil), it did not take effect
// (ErrConflict, ErrNotFound, ErrUnreachable, ErrRefused), or its result is unknown
// (ErrUnknown) because the response was lost after the request may have arrived.
// Callers resolve an unknown write by reading the object back. Its body must
// therefore contain something that identifies the write.
//
// The store may return from an older copy. It then lacks what was written since, gives the
// numbers of revisions out again, and reports a higher era in the header field Era of its
// responses. Writes and watches state the era of their revision in the same field. The store
// refuses those of another era, writes with status 412 and watches with status 410. Where
// the store reports no era, revisions count as of era 0.
package storer
