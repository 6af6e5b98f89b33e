// Package changer accepts changes of settings: it checks them against the newest
// tree, records them in the change log, and reports conflicts with concurrent changes.
//
// A change is accepted once it is recorded. Its id makes it idempotent: an operator
// whose response was lost may retry through any daemon without applying the change
// twice.
package changer
