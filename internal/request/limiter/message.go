package limiter

import (
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The kinds of messages.
const (
	// Acquire asks the allocator of a region for tokens.
	Acquire Kind = iota + 1
	// Grant is the response to Acquire.
	Grant
	// Borrow asks the allocator of another region for tokens.
	Borrow
	// Loan is the response to Borrow.
	Loan
)

type (
	// Kind is the kind of a message.
	Kind uint8

	// Message is exchanged between daemons about one organisation. A lost message may lose
	// tokens but never creates any.
	Message struct {
		Kind         Kind
		Organisation hasher.Hash
		// Number is chosen by the sender of a request and returned in the response. A response
		// to any request but the last one is dropped.
		Number uint32
		// Tokens is the number of tokens requested or given, Need the part of the requested
		// ones that requests are waiting for.
		Tokens uint32
		Need   uint32
		// After is the delay until there is a token for the first refused request, and Gap the
		// additional delay for each further one of the same daemon.
		After timekeeper.Millis
		Gap   timekeeper.Millis
	}

	// Envelope is a message with the address of its receiver.
	Envelope struct {
		To string
		Message
	}
)
