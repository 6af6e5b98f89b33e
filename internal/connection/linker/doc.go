// Package linker maintains the links between daemons. A link is a yamux session over
// TCP with one control stream and one further stream for each request sent over it.
//
// The daemon that needs a link dials it: a member dials its leader, an entry dials the
// owners that it hands requests to. If a link is lost while a request is in flight, the
// outcome of that request is reported as unknown.
package linker
