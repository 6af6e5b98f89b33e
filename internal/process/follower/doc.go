// Package follower runs an entry from a file: it keeps the entry's routes, services,
// upstreams and evacuations at what the file says, and takes a change over when the
// file is written or the process is told to look.
package follower
