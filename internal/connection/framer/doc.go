// Package framer is the format of the links between daemons: frames of a kind,
// a length and a protobuf message, or raw bytes for bodies, on yamux streams.
package framer

//go:generate protoc --go_out=. --go_opt=paths=source_relative link.proto
