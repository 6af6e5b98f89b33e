// Package looker serves lookups: which entries a caller in a client block should use for a
// service, and for how long.
package looker
