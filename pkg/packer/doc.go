// Package packer encodes values as object bodies and decodes them. Bodies are JSON,
// compressed with gzip if they are long: plans, rosters and summaries contain many
// repeated names, and all daemons receive them.
package packer
