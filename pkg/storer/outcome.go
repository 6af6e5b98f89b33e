package storer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

type (
	// TimeoutError reports a call that was given up before its answer was whole.
	TimeoutError struct {
		// Outcome is ErrUnreachable, or ErrUnknown for a write that may have arrived.
		Outcome error
		// Read is how many bytes of the answer had come.
		Read int
	}

	// DialError reports a call that reached nobody.
	DialError struct {
		Cause error
	}
)

// Error says what is known of the call.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("given up after %d bytes of the answer: %v", e.Read, e.Outcome)
}

// Unwrap returns the outcome.
func (e *TimeoutError) Unwrap() error {
	return e.Outcome
}

// Error says why nobody was reached.
func (e *DialError) Error() string {
	return fmt.Sprintf("not connected: %v: %v", e.Cause, ErrUnreachable)
}

// Unwrap returns the outcome.
func (e *DialError) Unwrap() error {
	return ErrUnreachable
}

// Outcome names how a call ended, for counters: ok, or the kind of its error.
func Outcome(err error) string {
	var timeout *TimeoutError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &timeout):
		return "timeout"
	case errors.Is(err, ErrNotFound):
		return "not found"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrCompacted):
		return "history gone"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	}
	return "unreachable"
}

// isDial tells whether a connection was not made. A call that was written before may have
// arrived all the same: a redirect and a repeat dial again.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failure is the error of a call that may have arrived: one that was given up, after some
// bytes of its answer, or one that was broken off.
func (c *Client) failure(q *http.Request, err error, read int) error {
	outcome := ErrUnreachable
	if q.Method != http.MethodGet {
		outcome = ErrUnknown
	}
	if !errors.Is(context.Cause(q.Context()), context.DeadlineExceeded) {
		return eris.Wrapf(outcome, "%s %s: %v", q.Method, q.URL.Path, err)
	}
	if c.TimedOut != nil {
		c.TimedOut()
	}
	return eris.Wrapf(&TimeoutError{Outcome: outcome, Read: read}, "%s %s", q.Method, q.URL.Path)
}
