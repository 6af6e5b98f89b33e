// Package hasher implements rendezvous hashing over a set of names, by which
// processes make the same choice without communication.
//
// The results of all functions are part of the protocol between daemons. A changed
// result moves ownership and client blocks, so tests of package sharer
// compare them with fixed values.
package hasher
