// Package detector tells a connection that was lost from one that the other end closed. The kernel
// reports the error of a connection to one call only: if a write gets it, reads return io.EOF.
package detector
