// Package runner puts the parts of a daemon together, starts them, and stops
// them in the order that cuts no request.
package runner
