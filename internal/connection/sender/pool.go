package sender

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// errNoneOpen is the error of a request that may not dial if no connection is open.
var errNoneOpen = eris.New("no open connection")

type (
	// Counter is called with the number of bytes sent to an upstream and received from it,
	// including heads.
	Counter func(sent, received int64)

	// Pool holds the idle connections to one upstream. Address and Dial must be
	// set before use.
	Pool struct {
		Address string
		// Dial opens a connection, bounded by the deadline of the context.
		Dial  func(ctx context.Context, address string) (net.Conn, error)
		Clock timekeeper.Clock
		// Count, if not nil, counts the bytes of all connections.
		Count Counter
		// KeepAlive is how long an idle connection is kept if the other end announces no
		// keep-alive timeout. 0 means defaultIdle.
		KeepAlive timekeeper.Millis

		lock   sync.Mutex
		idle   []*conn
		closed bool
		dials  atomic.Uint64
	}
)

// Dials returns the number of dials so far, including failed ones.
func (p *Pool) Dials() uint64 {
	return p.dials.Load()
}

// Close closes the idle connections, and each connection in use when it is returned.
func (p *Pool) Close() {
	p.lock.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.lock.Unlock()
	closeAll(idle)
}

// Sweep closes the idle connections whose keep-alive time is over.
func (p *Pool) Sweep() {
	now := p.Clock.Now()
	p.lock.Lock()
	var stale []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.withinKeepAlive(now) {
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

// get returns an idle connection that is still usable, or a new one if q allows that. If
// q.MaxIdle is set, a connection that was idle for that long is not reused. Connections of
// q.Trail are left in the pool.
func (p *Pool) get(ctx context.Context, q *Request) (*conn, error) {
	for {
		c := p.pop(q)
		if c == nil && q.NoDial {
			return nil, errNoneOpen
		}
		if c == nil {
			return p.dial(ctx)
		}
		now := p.Clock.Now()
		tooOld := q.MaxIdle > 0 && now-c.idleSince >= q.MaxIdle
		if !tooOld && c.withinKeepAlive(now) && c.stillIdle() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
}

// HasOpen reports whether a connection that is not in t is open and idle, for less than maxIdle if
// that is set. The next request may find it taken or closed all the same.
func (p *Pool) HasOpen(maxIdle timekeeper.Millis, t *Trail) bool {
	now := p.Clock.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	i := p.lastIdle(t)
	if i < 0 {
		return false
	}
	c := p.idle[i]
	return c.withinKeepAlive(now) && (maxIdle == 0 || now-c.idleSince < maxIdle)
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.dials.Add(1)
	c, err := p.Dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	k := newConn(c, p.Count)
	if p.KeepAlive > 0 {
		k.keepAlive = p.KeepAlive
	}
	return k, nil
}

// Check opens a connection and keeps it for the next request. It distinguishes a lost
// connection from an upstream that has terminated. The error is that of the dial.
func (p *Pool) Check(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// pop takes the most recently used idle connection that may carry q, so that the others exceed
// their keep-alive time and are closed. It returns nil if there is none.
func (p *Pool) pop(q *Request) *conn {
	if q.Fresh {
		return nil
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	i := p.lastIdle(q.Trail)
	if i < 0 {
		return nil
	}
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return c
}

// lastIdle returns the index of the most recently used idle connection that is not in t, or -1 if
// there is none. The caller holds the lock.
func (p *Pool) lastIdle(t *Trail) int {
	for i, c := range slices.Backward(p.idle) {
		if !t.contains(c) {
			return i
		}
	}
	return -1
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
