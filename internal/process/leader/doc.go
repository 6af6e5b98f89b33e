// Package leader does the duties of a region's lead: it keeps the roster, holds
// the region's one watch on the platform and passes changes on to the members,
// writes the region's summary, and, if it gets that lease too, plans for the
// whole fleet.
//
// All of it can be lost at any moment. Whoever takes the lead next starts from
// the objects of the platform and from the heartbeats that reach it.
package leader
