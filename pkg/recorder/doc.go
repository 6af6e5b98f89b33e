// Package recorder keeps an append-only log of numbered changes in the
// platform's object store.
//
// A change is committed by creating the object of the next number: of two
// concurrent changes only one can create it. After a lost response the author
// recognises its change by the change's ID, so a change is recorded exactly once
// or its result is reported as unknown. Snapshots limit how many changes a new
// reader must fetch.
package recorder
