// Package claimer hands upstreams over between daemons. The rosters say who owns
// an upstream; the new owner sends nothing to it until every other daemon of the
// region that could have been its owner has said that it stopped, and leaves
// free the slots that their last requests still hold.
package claimer
