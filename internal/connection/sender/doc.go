// Package sender sends requests to upstreams over persistent HTTP/1.1 connections,
// one request at a time on each.
//
// It is used instead of the transport of net/http for three reasons: a request must
// never be resent without the caller's knowledge, a response must be matched to its
// request by the id that the upstream echoes, and two goroutines per connection take
// too much CPU time on a small VM.
package sender
