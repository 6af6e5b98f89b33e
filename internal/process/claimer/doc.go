// Package claimer transfers upstreams between daemons. The rosters determine the
// owner of an upstream. A new owner sends it no requests until every other daemon of
// the region, any of which may be a former owner, has confirmed that it stopped, and
// then keeps the slots free that their last requests still occupy.
package claimer
