// Package timekeeper is the project's clock: whole milliseconds, read from a
// monotonic source for decisions and from the wall clock for display only.
//
// Every part that depends on time takes a Clock by value, so a test replaces
// the source of time without replacing the part.
package timekeeper
