// Package measurer records the metrics of a daemon with tally and exposes them in the
// Prometheus text format.
package measurer
