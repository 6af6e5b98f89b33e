// Package leaser implements leases stored as objects in the platform's store.
//
// A lease is a single object that its holder renews by conditional update. Wall
// clocks are never compared. A candidate takes over only after it has observed
// the same revision for longer than the term on its own monotonic clock, and a
// holder counts its term from before it sent the renewal. The holder's term
// therefore expires first, independent of clock offsets and lost responses.
//
// When the store returns from an older copy, the record may be one of an earlier holder. It names
// the era in which it was written: a holder whose term has not passed writes its own record again,
// and a candidate takes over a record of an earlier era, or an absent one, only after it has seen
// the present era for as long as it would have to see an unchanged revision. Fences of an era are
// above those of earlier ones, so none is given twice, whatever the candidate has seen.
//
// The result of Held is valid only at the moment of the call: a holder that is
// paused between Held and a write may write late. Every object written under a
// lease must therefore be sealed: before it acts, the new holder rewrites the
// object with its own fence. This changes the revision, so that a late
// conditional write by the old holder fails.
package leaser
