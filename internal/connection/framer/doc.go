// Package framer defines the frames that daemons exchange over yamux streams. A frame
// has a kind, a length and a body, which is a protobuf message or, for chunks of request
// and response bodies, raw bytes.
package framer

//go:generate protoc --go_out=. --go_opt=paths=source_relative link.proto
