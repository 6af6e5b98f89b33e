package finder

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// progress notes how far the transport gets with a request, over all connections that it
// uses for it. The zero value is ready.
type progress struct {
	// reported is that the transport is one that reports its progress.
	reported, wrote atomic.Bool
}

// reports tells whether a transport is known to report its progress, also when it fails
// before it has begun.
func reports(t http.RoundTripper) bool {
	_, ok := t.(*http.Transport)
	return t == nil || ok
}

// watch returns a context in which a request reports its progress.
func (p *progress) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:      func(string) { p.reported.Store(true) },
		WroteHeaders: func() { p.wrote.Store(true) },
	})
}

// outcome returns what became of a request without an answer. The error does not tell: it
// may be of a connection that came after one on which the request was written, and a
// transport that reports nothing may have sent anything.
func (p *progress) outcome() Outcome {
	if p.reported.Load() && !p.wrote.Load() {
		return NotRun
	}
	return Unknown
}
