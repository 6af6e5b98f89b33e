// Package quarantiner tells requests apart by what upstreams get of them, across all
// sendings, callers' repeats and daemons, so that a request under which upstreams end can
// be recognised when it comes again.
package quarantiner
