// Package server is a stand-in upstream: slots, a cost for each new connection
// and each probe, a cold start, shedding, drains, cancellation, and a journal of
// what it ran, against which callers' accounts are checked.
package server
