// Package operator serves the operators' listener: settings and their change log,
// changes and undo, client blocks, quarantine, status, metrics and health.
package operator
