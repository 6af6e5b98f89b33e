// Package leaser implements leases stored as objects in the platform's store.
//
// A lease is a single object that its holder renews by conditional update. Wall
// clocks are never compared. A candidate takes over only after it has observed
// the same revision for longer than the term on its own monotonic clock, and a
// holder counts its term from before it sent the renewal. The holder's term
// therefore expires first, independent of clock offsets and lost responses.
//
// The result of Held is valid only at the moment of the call: a holder that is
// paused between Held and a write may write late. Every object written under a
// lease must therefore be sealed: before it acts, the new holder rewrites the
// object with its own fence. This changes the revision, so that a late
// conditional write by the old holder fails.
package leaser
