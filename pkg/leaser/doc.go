// Package leaser holds leases on objects of the platform's store.
//
// A lease is one object. Its holder renews it by conditional update. Nobody
// compares wall clocks: a candidate takes over only after it has itself seen
// the same revision for longer than the term on its own monotonic clock, and a
// holder counts its term from before it sent the renewal. The holder's term
// therefore ends first, whatever the clocks and whatever answer was lost.
//
// Holding a lease is known only at the moment of the question. A holder that is
// paused between asking Held and writing may write late. Every object written
// under a lease must therefore be sealed: the new holder rewrites it with its
// fence before it acts, which changes the revision that a late conditional
// write of the old holder still names.
package leaser
