// Package assigner gives each key a home: the upstream that runs its requests and
// so remembers it.
//
// A hash alone puts up to twice the mean number of keys on an upstream. Where a key
// that is not remembered costs three times the work, the upstreams with most keys
// then decide how long a cold start lasts and who waits at the peak. So a new key
// goes to the least loaded of the few upstreams that its hash prefers, and a key
// moves away from an upstream that has far more than others, a few at a time. The
// daemons of a region tell each other of homes; where they differ for a moment, a
// key is run at two places, which costs time and breaks nothing.
//
// Where a region has fewer upstreams than its callers need, some of their keys live in
// others: those of the routes that lose least by the way there.
package assigner
