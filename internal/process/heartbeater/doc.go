// Package heartbeater implements membership of a fleet and relays changes of objects
// within a region, over datagrams.
//
// In each region the first living member in a fixed order is the leader. Members send
// heartbeats to the first few members in this order. The leader sends heartbeats to
// all members of its region, and the region's member table to the first members of
// the other regions. Heartbeats carry a digest of the members that the sender
// considers alive; the leader sends its whole table only to members whose digest
// differs. The cost of a member therefore does not grow with the fleet, and that of a
// leader grows with its region by some hundred bytes a member.
//
// There is no consensus: a region may have two leaders or none for a moment. Both are
// harmless, since a relayed change is applied by its revision and a gap is read from
// the store. Each heartbeat names the member that its sender considers the leader, and
// a receiver that knows a better one replies with it. All leaders send heartbeats to
// the seeds, through which regions discover each other.
package heartbeater

//go:generate protoc --go_out=. --go_opt=paths=source_relative beat.proto
