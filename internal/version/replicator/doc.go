// Package replicator keeps a daemon's copy of the objects that steer the fleet:
// changes of settings, the plan, the rosters. The lead of a region fills its
// copy from one watch and passes it on; members fill theirs from the lead. A
// revision once seen is never replaced by an older one.
package replicator
