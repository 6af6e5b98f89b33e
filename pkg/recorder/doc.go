// Package recorder keeps an append-only log of numbered changes in the
// platform's object store.
//
// Creating the object of the next number is the commit: of two racing changes
// the store lets one through. A lost answer is settled by the change's own id,
// so a change is recorded exactly once or its author is told that nobody knows
// yet. Snapshots bound what a fresh reader must fetch.
package recorder
