// Package timekeeper provides clocks with millisecond resolution: a monotonic one
// for decisions and a wall clock mainly for display.
//
// Components that depend on time take a Clock by value, so that a test can replace
// the time source.
package timekeeper
