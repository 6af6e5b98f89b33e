// Package looker answers look-ups: which entries a caller in a client block
// should use for a service, and for how long.
package looker
