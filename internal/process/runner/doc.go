// Package runner assembles and starts the components of a daemon, and stops them in
// an order that interrupts no request.
package runner
