// Package tracker holds what one daemon has observed of each upstream: its
// connection pool, its requests in flight, the load that the upstream last
// reported, recent outcomes, back-off, and the rate limit while it is cold.
package tracker
