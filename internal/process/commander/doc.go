// Package commander implements the operators' command line. Commands are short enough to
// type on a phone, and each reports its outcome as text and exit code.
package commander
