package linker

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const dialTimeout = 3 * timekeeper.Second

type (
	// Manager manages the links of one daemon. The exported fields must be set
	// before use.
	Manager struct {
		Clock timekeeper.Clock
		// Self describes this daemon.
		Self func() registrar.Member
		// Dial connects to the link address of a member. Nil means TCP.
		Dial func(ctx context.Context, address string) (net.Conn, error)
		// Serve runs a request received over a link. With relay this daemon may
		// choose the owner; otherwise it must be the owner.
		Serve func(ctx context.Context, c *exchanger.Call, relay bool) exchanger.Result
		// Control is called with each frame of a control stream that the manager
		// does not handle itself. It runs on the reading goroutine of the session.
		Control func(s *Session, f framer.Frame)
		// Accepted is called with each session that another daemon dialled.
		Accepted func(s *Session)
		// Closed is called with each session that ended.
		Closed func(s *Session)

		// Pace blocks until a chunk of a response may be sent to another daemon.
		// Nil means no pacing.
		Pace func(ctx context.Context, to registrar.Member, c *exchanger.Call, bytes int) error
		// FreeSlots returns the free and total slots of a pool owned here. They are
		// sent in the End frame of each request.
		FreeSlots func(pooler.Key) (free, slots int)
		// ConfigureMux changes the configuration of yamux for a session. Nil means no change.
		ConfigureMux func(*yamux.Config)

		counters Counters
		// serving is the number of requests received whose End frame is not written yet.
		serving atomic.Int64

		lock     sync.Mutex
		peers    map[registrar.Incarnation]*Peer
		accepted map[*Session]struct{}

		// announceLimiter limits the announcements of free slots. It is created on
		// first use.
		announceLimiter *rate.Limiter
	}
)

// Counters returns the traffic counters.
func (m *Manager) Counters() *Counters {
	return &m.counters
}

// Serving returns the number of requests received over links whose result is not sent yet.
func (m *Manager) Serving() int64 {
	return m.serving.Load()
}

// Accept serves links on l until ctx is done.
func (m *Manager) Accept(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go m.runAccepted(ctx, conn)
	}
}

func (m *Manager) runAccepted(ctx context.Context, conn net.Conn) {
	s, err := m.acceptSession(conn)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	m.lock.Lock()
	if m.accepted == nil {
		m.accepted = map[*Session]struct{}{}
	}
	m.accepted[s] = struct{}{}
	p := m.peers[s.remote.Incarnation]
	m.lock.Unlock()
	if p != nil {
		p.addInbound(ctx, s)
	}
	if m.Accepted != nil {
		m.Accepted(s)
	}
	go m.runStreams(ctx, s)
	m.readControl(s, nil)
	m.lock.Lock()
	delete(m.accepted, s)
	m.lock.Unlock()
}

// readControl handles control frames until the session ends.
func (m *Manager) readControl(s *Session, p *Peer) {
	defer s.Close()
	for {
		f, err := s.reader.Read()
		if err != nil {
			break
		}
		if f.Kind == framer.KindFree && p != nil {
			p.handleFree(f)
			continue
		}
		if f.Kind == framer.KindAck {
			s.recordReply(m.Clock.Now())
		}
		if m.Control != nil {
			m.Control(s, f)
		}
	}
	if m.Closed != nil {
		m.Closed(s)
	}
}

// Peer returns the link to a member and starts one if there is none.
func (m *Manager) Peer(ctx context.Context, to registrar.Member) *Peer {
	m.lock.Lock()
	defer m.lock.Unlock()
	p := m.peers[to.Incarnation]
	if p != nil {
		return p
	}
	if m.peers == nil {
		m.peers = map[registrar.Incarnation]*Peer{}
	}
	p = newPeer(m, to)
	m.peers[to.Incarnation] = p
	ctx, p.cancel = context.WithCancel(ctx)
	for s := range m.accepted {
		if s.remote.Incarnation == to.Incarnation {
			p.addInbound(ctx, s)
		}
	}
	go p.run(ctx)
	return p
}

// ExistingPeer returns the link to a member, whether it is up or not, or nil if there is none.
func (m *Manager) ExistingPeer(i registrar.Incarnation) *Peer {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.peers[i]
}

// RetainPeers closes the links to members for which keep returns false, and returns their
// number. idle is the time since a request was last sent over the link.
func (m *Manager) RetainPeers(keep func(i registrar.Incarnation, idle time.Duration) bool) int {
	m.lock.Lock()
	defer m.lock.Unlock()
	now := m.Clock.Now()
	dropped := 0
	for i, p := range m.peers {
		if !keep(i, (now - p.lastUseTime()).Duration()) {
			p.cancel()
			p.inbound.Store(nil)
			delete(m.peers, i)
			dropped++
		}
	}
	return dropped
}

// AcceptedSessions returns the sessions that other daemons dialled.
func (m *Manager) AcceptedSessions() []*Session {
	m.lock.Lock()
	defer m.lock.Unlock()
	out := make([]*Session, 0, len(m.accepted))
	for s := range m.accepted {
		out = append(out, s)
	}
	return out
}

// sessions returns all live sessions.
func (m *Manager) sessions() []*Session {
	m.lock.Lock()
	defer m.lock.Unlock()
	var live []*Session
	for s := range m.accepted {
		live = append(live, s)
	}
	for _, p := range m.peers {
		if s := p.dialled.Load(); s != nil {
			live = append(live, s)
		}
	}
	return live
}

// CloseSessions closes all live sessions and waits until the remote ends have received what was
// sent over them, for closeTimeout at most.
func (m *Manager) CloseSessions() {
	var all sync.WaitGroup
	for _, s := range m.sessions() {
		all.Go(s.runClose)
	}
	all.Wait()
}

// Broadcast sends a control frame over all live sessions except one. It does not wait: a
// session that blocks on the write delays neither the others nor the caller.
func (m *Manager) Broadcast(k framer.Kind, msg proto.Message, except *Session) {
	for _, s := range m.sessions() {
		if s != except {
			go m.runSend(s, k, msg)
		}
	}
}

// Fetch requests the relayed objects after a revision from whichever daemon listens at
// an address. It decodes each Objects frame and passes the batch to apply, until apply
// returns false.
func (m *Manager) Fetch(ctx context.Context, address string, since storer.Revision, apply func(storer.Batch) bool,
	decode func(framer.Frame) (storer.Batch, error)) error {
	conn, err := m.DialAddress(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	s, err := m.openSession(conn)
	if err != nil {
		conn.Close()
		return err
	}
	defer s.Close()
	if err := s.Send(framer.KindFetch, &framer.Fetch{Revision: since.Number(), Era: uint64(since.Era())}); err != nil {
		return err
	}
	for {
		f, err := s.reader.Read()
		if err != nil {
			return err
		}
		if f.Kind != framer.KindObjects {
			continue
		}
		b, err := decode(f)
		if err != nil {
			return err
		}
		if !apply(b) {
			return nil
		}
	}
}

func (m *Manager) muxConn(c net.Conn, readTimeout timekeeper.Millis) *muxConn {
	return &muxConn{linkConn: newLinkConn(c, m.Clock, &m.counters, readTimeout)}
}

// DialAddress connects to a link address without starting a session.
func (m *Manager) DialAddress(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	m.counters.Dials.Add(1)
	if m.Dial != nil {
		return m.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (m *Manager) runSend(s *Session, k framer.Kind, msg proto.Message) {
	m.sendOrClose(s, k, msg)
}

func (m *Manager) sendOrClose(s *Session, k framer.Kind, msg proto.Message) {
	if err := s.Send(k, msg); err != nil {
		s.Close()
	}
}
