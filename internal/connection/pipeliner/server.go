package pipeliner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// defaultMaxHeadBytes bounds the head of a request if MaxHeadBytes is not set: the
	// bound of the standard library.
	defaultMaxHeadBytes = http.DefaultMaxHeaderBytes

	// maxPipelined is how many requests of a connection are handled concurrently. Callers
	// pipeline up to eight requests. A limit of twice that does not delay them, and still
	// prevents one caller from taking much more than its share.
	maxPipelined = 16

	// maxPipelinedTotal is how many requests of all connections are handled while an
	// earlier request of their connection is still being handled. Each takes 2.3 KB here
	// and 6 KB of buffers to be forwarded: 17 MB in total, a tenth of the smallest VM's
	// memory.
	maxPipelinedTotal = 2048

	// minAcceptDelay is the delay after a failed accept, such as when the process is out
	// of file descriptors. It doubles with each further failure, up to maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second

	// shutdownPollInterval is how often Shutdown closes connections that became idle.
	shutdownPollInterval = 20 * time.Millisecond
)

// The kinds of refusal.
const (
	// KindSlowHead is a head that did not arrive in time.
	KindSlowHead Kind = "slow head"
	// KindMalformed is a head that is malformed, too large or not supported.
	KindMalformed Kind = "malformed head"
)

// ErrServerClosed is returned by Serve after Shutdown or Close.
var ErrServerClosed = http.ErrServerClosed

type (
	// Kind is the reason why a request was refused without a call of the handler.
	Kind string

	// Server serves connections of callers. Handler must be set before use. All other
	// fields are optional.
	Server struct {
		Handler http.Handler
		// MayOverlap reports whether a request without a body may be handled concurrently
		// with others of its connection. Nil allows none.
		MayOverlap func(*http.Request) bool
		// Draining reports whether connections are to be closed. Each is closed after its
		// next response that has no started request after it. Nil means never.
		Draining func() bool
		// HeadTimeout returns how long a head may take from its first byte, and
		// IdleTimeout how long a connection may wait for one. They are called again each
		// time. Nil or a result of 0 means no limit.
		HeadTimeout func() timekeeper.Millis
		IdleTimeout func() timekeeper.Millis
		// MaxHeadBytes bounds the head of a request, in bytes. 0 means
		// defaultMaxHeadBytes. Values below readBuffer are raised to it.
		MaxHeadBytes int64
		// Refused, if not nil, is called for each request that is refused without a call
		// of the handler.
		Refused func(Kind)
		// Panicked is called when a handler panicked, which closes its connection. If it is
		// nil, the panic terminates the process.
		Panicked func(reason any)
		Clock    timekeeper.Clock

		lock        sync.Mutex
		listeners   map[net.Listener]bool
		connections map[*conn]bool
		stopping    atomic.Bool
		// pipelined counts requests that were started while earlier ones of their
		// connection were being handled.
		pipelined atomic.Int64
		// buffered counts the buffered bytes of responses that wait for earlier ones.
		buffered atomic.Int64
	}
)

// Serve accepts connections until the listener fails or Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return ErrServerClosed
	}
	pause := minAcceptDelay
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			pause = minAcceptDelay
			s.startConn(c)
		case s.stopping.Load():
			return ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptDelay)
		}
	}
}

// Shutdown closes the listeners and the idle connections, and waits for the others
// until ctx is done. It returns the error of ctx if some are left.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.lock.Lock()
	for l := range s.listeners {
		_ = l.Close()
	}
	s.lock.Unlock()
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() {
	s.stopping.Store(true)
	s.lock.Lock()
	defer s.lock.Unlock()
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.connections {
		_ = c.Conn.Close()
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.stopping.Load() {
		return false
	}
	if s.listeners == nil {
		s.listeners = map[net.Listener]bool{}
		s.connections = map[*conn]bool{}
	}
	s.listeners[l] = true
	return true
}

func (s *Server) startConn(n net.Conn) {
	c := newConn(s, n)
	s.lock.Lock()
	s.connections[c] = true
	s.lock.Unlock()
	go c.run()
}

func (s *Server) removeConn(c *conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.connections, c)
}

// closeIdle closes the idle connections, and returns how many connections are not yet
// closed.
func (s *Server) closeIdle() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.connections {
		c.closeIfIdle()
	}
	return len(s.connections)
}

// isDraining reports whether connections are to be closed.
func (s *Server) isDraining() bool {
	return s.stopping.Load() || s.Draining != nil && s.Draining()
}

func (s *Server) mayOverlap(r *http.Request) bool {
	return s.MayOverlap != nil && r.ProtoAtLeast(1, 1) && !r.Close && s.MayOverlap(r)
}

func (s *Server) reportRefusal(k Kind) {
	if s.Refused != nil {
		s.Refused(k)
	}
}

func (s *Server) headTimeout() timekeeper.Millis {
	return timeoutOf(s.HeadTimeout)
}

func (s *Server) idleTimeout() timekeeper.Millis {
	return timeoutOf(s.IdleTimeout)
}

func timeoutOf(f func() timekeeper.Millis) timekeeper.Millis {
	if f == nil {
		return 0
	}
	return f()
}
