// Package leader implements the leader of a region. The leader maintains the
// roster, holds the region's only watch on the platform and relays changes to the
// members, and writes the region's summary. If it also acquires the planner lease,
// it plans for the whole fleet.
//
// A leader keeps no durable state of its own: its successor starts from the objects
// in the platform and from the heartbeats it receives.
package leader
