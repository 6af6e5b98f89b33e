package linker

import (
	"context"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// minPingInterval is the shortest time between two pings of a link. pingTimeout is
	// how long a reply may take before no new requests are sent over the link. The
	// round-trip time between the farthest regions is 70 ms.
	minPingInterval = 250 * timekeeper.Millis(1)
	pingTimeout     = 600 * timekeeper.Millis(1)

	// activeLinkWindow is how long after a request a link is still pinged although no
	// request is pending. The pings of all such links together use at most
	// pingBytesPerSecond. pingBytes is the cost of one ping, including that of the
	// remote end pinging in the same way.
	activeLinkWindow   = 10 * timekeeper.Second
	pingBytes          = 48
	pingBytesPerSecond = 1 << 10

	// idlePingInterval is the time between two pings of an idle link. They detect
	// half-open connections.
	idlePingInterval = 5 * timekeeper.Second
)

// Responsive reports whether the remote end responds in time. A stalled process keeps its
// connections open, but a request sent to it may run much later or never.
func (p *Peer) Responsive() bool {
	s := p.current()
	return s != nil && s.responsive(p.manager.Clock.Now())
}

// responsive reports whether the remote end has replied since the pending ping was sent,
// or pingTimeout has not passed yet. Unsolicited frames do not count: they still arrive
// over a link that drops everything sent from here, and an entry that counted them would
// keep sending requests over such a link and lose them all.
func (s *Session) responsive(now timekeeper.Millis) bool {
	pingSent := timekeeper.Millis(s.pingSent.Load())
	return pingSent == 0 || s.lastReplyTime() > pingSent || now-pingSent < pingTimeout
}

// recordReply records that the remote end replied to something sent from here.
func (s *Session) recordReply(now timekeeper.Millis) {
	s.lastReply.Store(int64(now))
}

func (s *Session) lastReplyTime() timekeeper.Millis {
	return timekeeper.Millis(s.lastReply.Load())
}

// runPings monitors a session. Replies to other traffic show that the remote end is
// alive, so only a session without recent replies is pinged.
func (p *Peer) runPings(ctx context.Context, s *Session) {
	t := time.NewTicker(minPingInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.mux.CloseChan():
			return
		case <-t.C:
		}
		if !p.pingDue(s) {
			continue
		}
		s.pingSent.Store(int64(p.manager.Clock.Now()))
		p.manager.counters.Pings.Add(1)
		if _, err := s.mux.Ping(); err != nil {
			s.abort()
			return
		}
		s.recordReply(p.manager.Clock.Now())
		s.pingSent.Store(0)
	}
}

// pingDue reports whether a session had no reply for too long and needs a ping. A
// session other than the peer's current one is pinged only while requests are pending
// on it.
func (p *Peer) pingDue(s *Session) bool {
	now := p.manager.Clock.Now()
	sinceReply := now - s.lastReplyTime()
	switch {
	case s.pendingCalls.Load() > 0:
		return sinceReply >= minPingInterval
	case p.current() != s:
		return false
	case now-p.lastUseTime() < activeLinkWindow:
		return sinceReply >= p.manager.activePingInterval()
	}
	return now-s.conn.lastReadTime() >= idlePingInterval
}

// activePingInterval returns the time between two pings of a link in use without pending
// requests. It grows with the number of links, so that the total cost stays constant.
func (m *Manager) activePingInterval() timekeeper.Millis {
	m.lock.Lock()
	defer m.lock.Unlock()
	return min(max(minPingInterval, timekeeper.Millis(len(m.peers))*pingBytes*timekeeper.Second/pingBytesPerSecond), idlePingInterval)
}
