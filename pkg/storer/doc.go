// Package storer is a client for the platform's object API: named objects
// with revisions, conditional writes, lists and long-poll watches.
//
// A write has one of three results. It took effect (nil), it did not take effect
// (ErrConflict, ErrNotFound, ErrUnreachable, ErrRefused), or its result is unknown
// (ErrUnknown) because the response was lost after the request may have arrived.
// Callers resolve an unknown write by reading the object back. Its body must
// therefore contain something that identifies the write.
package storer
