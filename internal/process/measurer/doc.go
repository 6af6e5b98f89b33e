// Package measurer counts and times what a daemon does, through tally, and
// shows it as Prometheus text.
package measurer
