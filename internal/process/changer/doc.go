// Package changer accepts changes of settings: it checks them against the newest
// tree, records them in the log, and tells a racing operator who was faster.
//
// A change is accepted when it is recorded, and not before. Its id lets an
// operator whose answer was lost ask again, through any daemon, without making
// the change twice.
package changer
