// Package assigner assigns each key a home: the upstream that runs its requests and so has the
// key in its cache.
//
// Hashing alone puts up to twice the mean number of keys on an upstream. When a key that is
// not cached costs three times the work, the upstreams with the most keys then determine how
// long a cold start takes and which requests wait at peak load. A new key is therefore
// assigned to the least loaded of the few upstreams that its hash prefers, and keys move, a
// few at a time, from an upstream that has far more load than others. The daemons of a region
// announce homes to each other. While they briefly disagree, a key runs at two upstreams,
// which costs time but is harmless.
//
// When a region has fewer upstreams than its callers need, some of their keys have their home
// in other regions, starting with the routes that lose least by the longer round trip.
package assigner
