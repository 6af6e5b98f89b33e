// Package sender sends requests to upstreams over kept HTTP/1.1 connections, one
// request at a time on each.
//
// It replaces the transport of net/http where a request must never be sent again
// behind the caller's back, where an answer must be matched to its request by the
// id that the upstream echoes, and where two goroutines for each connection cost
// too much of a small VM's processor.
package sender
