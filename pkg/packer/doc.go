// Package packer turns values into the bodies of objects and back. Bodies are
// JSON, compressed by gzip once they are long: plans, rosters and summaries say the
// same names over and over, and all daemons receive them.
package packer
