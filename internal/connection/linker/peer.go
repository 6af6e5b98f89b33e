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
	firstRedial = 50 * time.Millisecond
	lastRedial  = 2 * time.Second
)

type (
	// Peer is the link to one member, dialled again while it is wanted.
	Peer struct {
		manager *Manager
		member  registrar.Member
		cancel  context.CancelFunc
		// session is the link that this side dialled, and lent the latest one
		// that the member dialled. Nil is none.
		session atomic.Pointer[Session]
		lent    atomic.Pointer[Session]
		up      chan struct{}
		once    sync.Once
		gone    atomic.Bool
		used    atomic.Int64

		lock sync.Mutex
		free map[pooler.Key]*freeSlots
	}

	// freeSlots is what an owner last told, less what was handed to it since.
	freeSlots struct {
		free  int
		slots int
	}
)

func newPeer(m *Manager, to registrar.Member) *Peer {
	p := &Peer{
		manager: m,
		member:  to,
		up:      make(chan struct{}),
		free:    map[pooler.Key]*freeSlots{},
	}
	p.used.Store(int64(m.Clock.Now()))
	return p
}

// Member is the daemon at the other end.
func (p *Peer) Member() registrar.Member {
	return p.member
}

// Up tells whether a link stands, whichever side dialled it.
func (p *Peer) Up() bool {
	return p.current() != nil
}

// Gone tells that the last dial proved the member dead: nothing listens at its
// address, or another process does. A link that stands is the better proof.
func (p *Peer) Gone() bool {
	return p.gone.Load() && !p.Up()
}

// Await waits until the link has stood once, or ctx ends.
func (p *Peer) Await(ctx context.Context) bool {
	select {
	case <-p.up:
		return p.Up()
	case <-ctx.Done():
		return false
	}
}

// Send writes a control frame. It reports false when the link is down.
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
	b.InitialInterval = firstRedial
	b.MaxInterval = lastRedial
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

// connect holds the link until it ends. It reports whether it ever stood.
func (p *Peer) connect(ctx context.Context) bool {
	conn, err := p.manager.DialAddress(ctx, p.member.Links)
	p.gone.Store(errors.Is(err, syscall.ECONNREFUSED))
	if err != nil {
		return false
	}
	s, err := open(p.manager.wire(conn, 0), p.manager.Self())
	if err != nil {
		conn.Close()
		return false
	}
	if s.remote.Incarnation != p.member.Incarnation {
		// Another life of the VM listens there. The roster will tell.
		s.Close()
		p.gone.Store(true)
		return false
	}
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	p.session.Store(s)
	go p.runPings(ctx, s)
	go p.manager.runStreams(ctx, s)
	p.once.Do(func() { close(p.up) })
	p.manager.readControl(s, p)
	p.session.Store(nil)
	p.forget()
	return true
}

// Free returns what is free at the owner as far as known here.
func (p *Peer) Free(k pooler.Key) (free, slots int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	f := p.free[k]
	if f == nil {
		return 0, 0
	}
	return f.free, f.slots
}

// take notes that a request is handed over, until the owner tells anew.
func (p *Peer) take(k pooler.Key) {
	p.used.Store(int64(p.manager.Clock.Now()))
	p.lock.Lock()
	defer p.lock.Unlock()
	if f := p.free[k]; f != nil {
		f.free--
	}
}

// lastUse is when a request was last handed over, or the link was wanted.
func (p *Peer) lastUse() timekeeper.Millis {
	return timekeeper.Millis(p.used.Load())
}

func (p *Peer) noteFree(f framer.Frame) {
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

func (p *Peer) forget() {
	p.lock.Lock()
	defer p.lock.Unlock()
	clear(p.free)
}
