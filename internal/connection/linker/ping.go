package linker

import (
	"context"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// pingEvery is the least time between two pings of a link, and pingLimit how
	// long an answer may take before nothing new is handed over. The farthest
	// regions are 70 ms there and back.
	pingEvery = 250 * timekeeper.Millis(1)
	pingLimit = 600 * timekeeper.Millis(1)

	// pingAfterUse is how long after a request a link is watched although
	// nobody waits for an answer. The pings of all such links together cost at
	// most pingBudget bytes a second: pingBytes for each, counting that the
	// other end does the same.
	pingAfterUse = 10 * timekeeper.Second
	pingBytes    = 48
	pingBudget   = 1 << 10

	// idlePing finds half-open links that carry nothing.
	idlePing = 5 * timekeeper.Second
)

// Prompt tells whether the other end answers. One that stands still keeps its
// connection; what it is handed may run much later or never.
func (p *Peer) Prompt() bool {
	s := p.session.Load()
	if s == nil {
		return false
	}
	asked := timekeeper.Millis(p.asked.Load())
	return asked == 0 || s.wire.lastHeard() > asked || p.manager.Clock.Now()-asked < pingLimit
}

// runPings watches a link. What comes over it shows that the other end lives, so
// only a quiet link is asked.
func (p *Peer) runPings(ctx context.Context, s *Session) {
	t := time.NewTicker(pingEvery.Duration())
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
		p.asked.Store(int64(p.manager.Clock.Now()))
		p.manager.counters.Pings.Add(1)
		if _, err := s.mux.Ping(); err != nil {
			s.Close()
			return
		}
		p.asked.Store(0)
	}
}

// pingDue tells whether a link has been quiet for too long.
func (p *Peer) pingDue(s *Session) bool {
	now := p.manager.Clock.Now()
	quiet := now - s.wire.lastHeard()
	switch {
	case p.waiting.Load() > 0:
		return quiet >= pingEvery
	case now-p.lastUse() < pingAfterUse:
		return quiet >= p.manager.pingGap()
	}
	return quiet >= idlePing
}

// pingGap is the time between two pings of a quiet link in use. It grows with the
// links, so that their cost does not.
func (m *Manager) pingGap() timekeeper.Millis {
	m.lock.Lock()
	defer m.lock.Unlock()
	return min(max(pingEvery, timekeeper.Millis(len(m.peers))*pingBytes*timekeeper.Second/pingBudget), idlePing)
}
