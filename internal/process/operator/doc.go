// Package operator serves the operators' listener: settings, their log, changes
// and undo, status, metrics and health.
package operator
