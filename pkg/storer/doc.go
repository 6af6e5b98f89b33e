// Package storer is the client of the platform's object API: named objects
// with revisions, conditional writes, lists and long-poll watches.
//
// A write has three results, never two. It took effect (nil), it certainly did
// not (ErrConflict, ErrNotFound, ErrUnreachable, ErrRefused), or nobody knows
// (ErrUnknown): the answer was lost after the request may have arrived. Callers
// settle an unknown write by reading the object back, and must therefore put
// something into it by which they recognise their own.
package storer
