// Package placer selects the upstream for a request: it ranks the few candidate upstreams of a
// key and decides which of them takes the request now, if any.
//
// It is built for keyed requests on upstreams that cache the keys they ran recently and are
// several times slower on any other. Sending a request to an upstream that does not know its
// key, because the one that does is busy, multiplies the work and evicts other keys from that
// upstream's cache, so an overload sustains itself after its cause is gone. A key therefore
// has a short candidate list, queues at the first upstream up to a bound, and is refused when
// no candidate takes it.
//
// All functions are pure: they use no clock, network or state.
package placer
