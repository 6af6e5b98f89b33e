// Package hasher holds the hashes by which many processes reach the same
// choice without asking each other: rendezvous hashing over a set of names.
//
// The value of every function here is part of the protocol between daemons.
// Changing one moves ownership and client blocks, so the package's tests pin
// the results.
package hasher
