// Package linker connects the daemons: yamux sessions over TCP, one control
// stream each, and one more stream for each request that is handed on.
//
// The daemon that wants something dials: a member dials its lead, an entry
// dials the owners that it hands requests to. A link that is lost while a
// request is on it leaves the outcome of that request unknown, and this package
// says so; it never guesses.
package linker
