// Package relayer hands changes that are too long for a datagram on from the lead of a
// region to its members, over HTTP. The lead announces such changes by its heartbeater, each
// member fetches them from it, and the store is read once a region: 64 VMs that read a
// configuration of 1 MB by themselves took 64 MB out of the store, and held the requests of
// callers up for 0.84 s on links of 10 Mbit/s.
//
// A member owes the lead no trust: whatever goes wrong ends soon, and the member reads the
// store instead.
package relayer
