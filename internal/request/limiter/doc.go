// Package limiter keeps each organisation within its limit over all daemons together,
// without an agreement between them.
//
// One daemon of each region, its counter, has a token bucket for each organisation, whose
// part of the limit is that of the region's daemons which it hears among all that are
// known: what daemons that are cut off may use stays with them. A daemon draws tokens from
// its counter, one with each request of an organisation that it rarely sees, some in advance
// for one that it sees often. A region that runs short borrows tokens from the others, so
// that the limit follows callers who move. A counter that is new begins with
// a part of what the limit tolerates. A daemon whose counter is silent draws from those of other regions, and one that hears none
// uses its own part, once the others have missed it.
//
// Tokens that are not used lapse. What was handed out within their lifetime counts as if it
// were still in the bucket, so that in no span of time more is sent than the rate, the burst
// and a part of what the limit tolerates.
//
// Core decides, without clock, network or waiting; Limiter adds those.
package limiter
