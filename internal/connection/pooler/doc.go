// Package pooler holds the upstreams that this daemon owns: their slots, the
// requests that wait for one, their connections and their probes.
//
// Since an upstream has one owner, the counts here are exact: an upstream never
// has more requests from the fleet than it has slots. A request waits here and
// not at its entry, so the first slot that comes free serves the first request
// in line.
package pooler
