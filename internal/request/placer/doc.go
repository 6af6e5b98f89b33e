// Package placer decides where a request goes: which few upstreams a key has,
// which of them takes the request now, and when none should.
//
// It answers the load of keyed requests on upstreams that remember the keys they
// ran lately and are several times slower on any other. There, sending a request
// to an upstream that does not know its key, since the one that does is busy,
// costs a multiple of the work and pushes other keys out of memory: overload then
// feeds itself and stays when its cause is over. So a key has a short list, waits
// in the line of the first upstream up to a bound, and is refused beyond the list.
//
// Everything here is pure: no clock, no network, no state.
package placer
