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
	// defaultMaxHeadBytes bounds the head of a request where the server sets no bound:
	// that of the standard library's server.
	defaultMaxHeadBytes = http.DefaultMaxHeaderBytes

	// maxAhead is how many requests of a connection are handled at once. Callers send
	// up to eight ahead; twice that keeps them from waiting, and one caller from
	// taking much more than its part.
	maxAhead = 16

	// maxAheadInAll is how many requests of all connections are handled beside an
	// earlier one of their connection. Each takes 2.3 KB here (16 on each of 100
	// connections whose handler waits) and the 6 KB of buffers of its sending: 17 MB, a
	// tenth of the smallest VM's memory.
	maxAheadInAll = 2048

	// firstAcceptPause is the pause after a connection could not be accepted, for want
	// of descriptors for instance; it doubles up to lastAcceptPause.
	firstAcceptPause = 5 * time.Millisecond
	lastAcceptPause  = time.Second

	// shutdownTick is how often a server that stops looks for idle connections.
	shutdownTick = 20 * time.Millisecond
)

// The kinds of refusal before a handler sees a request.
const (
	// KindSlowHead is a head that did not come in time.
	KindSlowHead Kind = "slow head"
	// KindMalformed is a head that is none.
	KindMalformed Kind = "malformed head"
)

// ErrServerClosed is what Serve returns after Shutdown.
var ErrServerClosed = http.ErrServerClosed

type (
	// Kind names why a connection was refused before a handler saw a request.
	Kind string

	// Server serves connections of callers. Handler must be set before use; all else
	// may be left out.
	Server struct {
		Handler http.Handler
		// MayOverlap tells of a request without a body whether it may be handled
		// beside others of its connection. Nil allows none.
		MayOverlap func(*http.Request) bool
		// Leaving tells that connections are to end: each one is closed with the next
		// answer behind which no request was begun. Nil means never.
		Leaving func() bool
		// HeadTimeout is how long a head may take from its first byte, and IdleTimeout
		// how long a connection may wait for one. They are asked anew each time; nil
		// or 0 is no limit.
		HeadTimeout func() timekeeper.Millis
		IdleTimeout func() timekeeper.Millis
		// MaxHeadBytes bounds the head of a request.
		MaxHeadBytes int64
		// Refused is told of heads that no handler saw. Nil means nobody wants to
		// know.
		Refused func(Kind)
		// Failed is told of a handler that panicked, which ends its connection. Nil
		// lets the panic end the process.
		Failed func(reason any)
		Clock  timekeeper.Clock

		lock        sync.Mutex
		listeners   map[net.Listener]bool
		connections map[*conn]bool
		down        atomic.Bool
		// ahead counts requests that were begun beside earlier ones.
		ahead atomic.Int64
		// held counts the bytes of answers that wait for their turn.
		held atomic.Int64
	}
)

// Serve accepts connections until the listener fails or Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	if !s.track(l) {
		_ = l.Close()
		return ErrServerClosed
	}
	pause := firstAcceptPause
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			pause = firstAcceptPause
			s.begin(c)
		case s.down.Load():
			return ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(pause)
			pause = min(2*pause, lastAcceptPause)
		}
	}
}

// Shutdown closes the listeners and the idle connections, and waits for the others
// until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.down.Store(true)
	s.lock.Lock()
	for l := range s.listeners {
		_ = l.Close()
	}
	s.lock.Unlock()
	tick := time.NewTicker(shutdownTick)
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
	s.down.Store(true)
	s.lock.Lock()
	defer s.lock.Unlock()
	for l := range s.listeners {
		_ = l.Close()
	}
	for c := range s.connections {
		_ = c.Conn.Close()
	}
}

func (s *Server) track(l net.Listener) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down.Load() {
		return false
	}
	if s.listeners == nil {
		s.listeners = map[net.Listener]bool{}
		s.connections = map[*conn]bool{}
	}
	s.listeners[l] = true
	return true
}

func (s *Server) begin(n net.Conn) {
	c := newConn(s, n)
	s.lock.Lock()
	s.connections[c] = true
	s.lock.Unlock()
	go c.run()
}

func (s *Server) forget(c *conn) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.connections, c)
}

// closeIdle closes the connections on which nothing is under way, and returns how many
// connections there are.
func (s *Server) closeIdle() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.connections {
		c.closeIfIdle()
	}
	return len(s.connections)
}

// leaving tells that connections are to end.
func (s *Server) leaving() bool {
	return s.down.Load() || s.Leaving != nil && s.Leaving()
}

func (s *Server) overlaps(r *http.Request) bool {
	return s.MayOverlap != nil && r.ProtoAtLeast(1, 1) && !r.Close && s.MayOverlap(r)
}

func (s *Server) refused(k Kind) {
	if s.Refused != nil {
		s.Refused(k)
	}
}

func (s *Server) headTimeout() timekeeper.Millis {
	return limit(s.HeadTimeout)
}

func (s *Server) idleTimeout() timekeeper.Millis {
	return limit(s.IdleTimeout)
}

func limit(f func() timekeeper.Millis) timekeeper.Millis {
	if f == nil {
		return 0
	}
	return f()
}
