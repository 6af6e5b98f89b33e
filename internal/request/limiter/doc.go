// Package limiter enforces the request limit of each organisation over all daemons together,
// without consensus between them.
//
// One daemon of each region, its limit allocator, has a token bucket for each organisation.
// The bucket's share of the limit is the number of the region's daemons that are known to be
// alive, relative to all known members, so daemons that are cut off keep their share. A daemon
// acquires tokens from its allocator: one with each request of an organisation that it rarely
// sees, several in advance for one that it sees often. A region that runs short borrows tokens
// from the others, so the limit follows callers who move. A new allocator begins with a share
// of the limit's tolerance. A daemon whose allocator does not respond acquires tokens from
// those of other regions, and one that reaches no allocator uses its own share, once the
// others have noticed its absence.
//
// Unused tokens expire. Tokens handed out within their lifetime count as if they were still in
// the bucket, so that in no window more requests are sent than the rate, the burst and a share
// of the tolerance allow.
//
// Core makes the decisions, without clock, network or blocking; Limiter adds those.
package limiter
