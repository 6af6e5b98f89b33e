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
	// TimeoutError reports a call that timed out before its response was complete.
	TimeoutError struct {
		// Outcome is ErrUnreachable, or ErrUnknown for a write that may have arrived.
		Outcome error
		// Read is the number of bytes of the response body received.
		Read int
	}

	// DialError reports a call for which no connection was established.
	DialError struct {
		Cause error
	}
)

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("timed out after %d bytes of the response: %v", e.Read, e.Outcome)
}

// Unwrap returns the outcome.
func (e *TimeoutError) Unwrap() error {
	return e.Outcome
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("not connected: %v: %v", e.Cause, ErrUnreachable)
}

// Unwrap returns ErrUnreachable.
func (e *DialError) Unwrap() error {
	return ErrUnreachable
}

// Outcome returns the metric label for the result of a call: "ok" or the kind of
// error.
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

// isDialError reports whether err is a failure to connect. The call may have arrived
// nevertheless if it was written before: a redirect or a retry dials again.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// requestError returns the error for a call that may have arrived and that timed out
// after read bytes of its response or failed otherwise.
func (c *Client) requestError(q *http.Request, err error, read int) error {
	outcome := ErrUnreachable
	if q.Method != http.MethodGet {
		outcome = ErrUnknown
	}
	if !errors.Is(context.Cause(q.Context()), context.DeadlineExceeded) {
		return eris.Wrapf(outcome, "%s %s: %v", q.Method, q.URL.Path, err)
	}
	if c.OnTimeout != nil {
		c.OnTimeout()
	}
	return eris.Wrapf(&TimeoutError{Outcome: outcome, Read: read}, "%s %s", q.Method, q.URL.Path)
}
