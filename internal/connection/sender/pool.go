package sender

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Counter is told of bytes that were sent to an upstream and received from it, those
	// of heads included.
	Counter func(sent, received int64)

	// Pool holds the connections to one upstream. Address and Dial must be set
	// before use.
	Pool struct {
		Address string
		// Dial opens a connection within the time that the context allows.
		Dial  func(ctx context.Context, address string) (net.Conn, error)
		Clock timekeeper.Clock
		// Count is told of the bytes of all connections. Nil means that nobody wants to
		// know.
		Count Counter

		lock   sync.Mutex
		idle   []*conn
		closed bool
		dials  atomic.Uint64
	}
)

// Dials returns how many connections were opened.
func (p *Pool) Dials() uint64 {
	return p.dials.Load()
}

// Close closes the idle connections, and each other one once it is idle.
func (p *Pool) Close() {
	p.lock.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.lock.Unlock()
	closeAll(idle)
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := p.Clock.Now()
	p.lock.Lock()
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.fresh(now) {
			kept = append(kept, c)
		} else {
			stale = append(stale, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.lock.Unlock()
	closeAll(stale)
}

// get returns a kept connection that is still sound, or a new one. With young
// set, only a connection that was idle for less than that is taken.
func (p *Pool) get(ctx context.Context, young timekeeper.Millis) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		now := p.Clock.Now()
		tooOld := young > 0 && now-c.idleSince >= young
		if !tooOld && c.fresh(now) && c.quiet() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.dials.Add(1)
	c, err := p.Dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	return newConn(c, p.Count), nil
}

// Check opens a connection, to tell a lost connection from an upstream that has ended, and
// keeps it for the next request. The error is that of the dial.
func (p *Pool) Check(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// pop takes the connection that was used last, so that the others grow old and
// are closed.
func (p *Pool) pop() *conn {
	p.lock.Lock()
	defer p.lock.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = p.Clock.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func closeAll(l []*conn) {
	for _, c := range l {
		_ = c.Close()
	}
}
