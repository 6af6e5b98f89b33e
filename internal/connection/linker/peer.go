package linker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

type (
	// Peer is the link to one member. It is redialled until the manager drops it.
	Peer struct {
		manager *Manager
		member  registrar.Member
		cancel  context.CancelFunc
		// dialled is the session that this side dialled, inbound the latest one
		// that the member dialled. Nil means none.
		dialled       atomic.Pointer[Session]
		inbound       atomic.Pointer[Session]
		connected     chan struct{}
		connectedOnce sync.Once
		terminated    atomic.Bool
		lastUsed      atomic.Int64

		lock sync.Mutex
		free map[pooler.Key]*freeSlots
	}

	// freeSlots is the state of a pool as its owner last reported it. free is
	// reduced by the requests sent to the owner since.
	freeSlots struct {
		free  int
		slots int
	}
)

func newPeer(m *Manager, to registrar.Member) *Peer {
	p := &Peer{
		manager:   m,
		member:    to,
		connected: make(chan struct{}),
		free:      map[pooler.Key]*freeSlots{},
	}
	p.lastUsed.Store(int64(m.Clock.Now()))
	return p
}

// Member returns the daemon at the remote end.
func (p *Peer) Member() registrar.Member {
	return p.member
}

// Up reports whether a session is live, whichever side dialled it.
func (p *Peer) Up() bool {
	return p.current() != nil
}

// Terminated reports whether the last dial showed that the member terminated: nothing listens
// at its address, or another incarnation does. It is false while a session is live.
func (p *Peer) Terminated() bool {
	return p.terminated.Load() && !p.Up()
}

// Await waits until the link was up for the first time or ctx is done. It reports
// whether the link is up now.
func (p *Peer) Await(ctx context.Context) bool {
	select {
	case <-p.connected:
		return p.Up()
	case <-ctx.Done():
		return false
	}
}

// Send writes a control frame. It reports false if the link is down or the write fails.
func (p *Peer) Send(k framer.Kind, m proto.Message) bool {
	s := p.current()
	if s == nil {
		return false
	}
	if err := s.Send(k, m); err != nil {
		s.Close()
		return false
	}
	return true
}

func (p *Peer) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRedialDelay
	b.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		if p.connect(ctx) {
			b.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(b.NextBackOff()):
		}
	}
}

// connect dials the member and runs the session until it ends. It reports whether a
// session was established.
func (p *Peer) connect(ctx context.Context) bool {
	conn, err := p.manager.DialAddress(ctx, p.member.Links)
	p.terminated.Store(errors.Is(err, syscall.ECONNREFUSED))
	if err != nil {
		return false
	}
	s, err := p.manager.openSession(conn)
	if err != nil {
		conn.Close()
		return false
	}
	if s.remote.Incarnation != p.member.Incarnation {
		// Another incarnation listens at the address. It gets its own peer once the
		// roster lists it.
		s.Close()
		p.terminated.Store(true)
		return false
	}
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	p.dialled.Store(s)
	go p.runPings(ctx, s)
	go p.manager.runStreams(ctx, s)
	p.connectedOnce.Do(func() { close(p.connected) })
	p.manager.readControl(s, p)
	p.dialled.Store(nil)
	p.clearFree()
	return true
}

// FreeSlots returns the free and total slots of a pool as last known here, zeros if unknown.
// free is negative if requests wait.
func (p *Peer) FreeSlots(k pooler.Key) (free, slots int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	f := p.free[k]
	if f == nil {
		return 0, 0
	}
	return f.free, f.slots
}

// recordUse counts a request sent to the owner against its free slots until the owner
// reports them again.
func (p *Peer) recordUse(k pooler.Key) {
	p.lastUsed.Store(int64(p.manager.Clock.Now()))
	p.lock.Lock()
	defer p.lock.Unlock()
	if f := p.free[k]; f != nil {
		f.free--
	}
}

// lastUseTime returns when a request was last sent over the link, or when the peer was
// created if there was none.
func (p *Peer) lastUseTime() timekeeper.Millis {
	return timekeeper.Millis(p.lastUsed.Load())
}

func (p *Peer) handleFree(f framer.Frame) {
	var m framer.Free
	if f.Decode(&m) != nil {
		return
	}
	k := pooler.Key{Site: registrar.Site(m.Site), Service: resolver.ServiceName(m.Service)}
	p.setFree(k, int(m.Free), int(m.Slots))
}

func (p *Peer) setFree(k pooler.Key, free, slots int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.free[k] = &freeSlots{free: free, slots: slots}
}

func (p *Peer) clearFree() {
	p.lock.Lock()
	defer p.lock.Unlock()
	clear(p.free)
}
