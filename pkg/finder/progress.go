package finder

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// progress notes how far the transport gets with a request, over all connections that it
// uses for it. The zero value is ready.
type progress struct {
	wrote atomic.Bool
}

// watch returns a context in which a request reports its progress.
func (p *progress) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { p.wrote.Store(true) },
	})
}

// outcome returns what became of a request without an answer. The error does not tell: it
// may be of a connection that came after one on which the request was written.
func (p *progress) outcome() Outcome {
	if p.wrote.Load() {
		return Unknown
	}
	return NotRun
}
