package finder

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// requestTrace records how far the transport got with a request, over all connections
// used for it. The zero value is ready to use.
type requestTrace struct {
	// supported is set if the transport supports httptrace, and wrote once it has
	// written the request headers to a connection.
	supported, wrote atomic.Bool
}

// supportsTrace reports whether t is known to support httptrace even if it fails before
// it opens a connection.
func supportsTrace(t http.RoundTripper) bool {
	_, ok := t.(*http.Transport)
	return t == nil || ok
}

// withTrace returns a context that makes the transport report to p.
func (p *requestTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:      func(string) { p.supported.Store(true) },
		WroteHeaders: func() { p.wrote.Store(true) },
	})
}

// outcome returns the outcome of a request that got no response. The error is not
// sufficient to determine it: it may come from a later connection than the one on which
// the request was written. If the transport does not support httptrace, the request may
// have been sent.
func (p *requestTrace) outcome() Outcome {
	if p.supported.Load() && !p.wrote.Load() {
		return NotRun
	}
	return Unknown
}
