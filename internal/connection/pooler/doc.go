// Package pooler manages the upstreams that this daemon owns: their slots, the
// requests queued for a slot, their connections and their probes.
//
// Since an upstream has one owner, the counts here are exact: an upstream never
// has more requests from the fleet than it has slots. Requests queue at the owner
// and not at their entry, so the first free slot goes to the head of the queue.
package pooler
