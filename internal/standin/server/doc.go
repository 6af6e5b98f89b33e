// Package server is a stand-in upstream with a limited number of slots, a cost
// per connection and probe, a cold start, load shedding, draining, cancellation,
// and a journal of the requests it ran, to check the accounts of callers against.
package server
