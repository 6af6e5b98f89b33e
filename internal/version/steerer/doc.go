// Package steerer answers lookups and routes requests from one immutable snapshot of
// settings, plan, rosters and client blocks. A new snapshot is built when one of them
// changes and replaces the old one as a whole, so readers take no lock.
package steerer
