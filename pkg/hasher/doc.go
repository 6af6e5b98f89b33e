// Package hasher implements rendezvous hashing over a set of names, by which
// processes make the same choice without communication.
//
// The results of all functions are part of the protocol between daemons. A changed
// result moves ownership and client blocks, so the results are pinned by tests.
package hasher
