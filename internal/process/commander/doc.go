// Package commander is the operators' command line. Commands are short enough
// for a phone's keyboard, and each ends with a plain outcome and an exit code.
package commander
