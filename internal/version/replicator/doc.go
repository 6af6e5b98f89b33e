// Package replicator keeps a daemon's copy of the objects that control the fleet:
// changes of settings, the plan and the rosters. The leader of a region fills its copy
// from a single watch and passes changes on; members fill theirs from the leader. An
// object is never replaced by an older revision.
package replicator
