package limiter

import (
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The kinds of message.
const (
	// Draw asks the counter of the region for tokens.
	Draw Kind = iota + 1
	// Grant answers a Draw.
	Grant
	// Borrow asks the counter of another region for tokens.
	Borrow
	// Loan answers a Borrow.
	Loan
)

type (
	// Kind says what a message is.
	Kind uint8

	// Message is what daemons tell each other of one organisation. One that is lost costs
	// tokens and never makes any.
	Message struct {
		Kind         Kind
		Organisation hasher.Hash
		// Number is the asker's, and comes back with the answer: an answer to another
		// question than the last one is dropped.
		Number uint32
		// Tokens are asked for or given, Need those of them that requests wait for.
		Tokens uint32
		Need   uint32
		// After is when a token is there for the first request that is refused, and Gap how
		// much later for each further one of the same daemon.
		After timekeeper.Millis
		Gap   timekeeper.Millis
	}

	// Envelope is a message to an address.
	Envelope struct {
		To string
		Message
	}
)
