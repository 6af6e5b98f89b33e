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
	s := p.current()
	return s != nil && s.prompt(p.manager.Clock.Now())
}

// prompt tells whether the other end of the link has answered since the last ping,
// or has had little time for it. What the other end sends of its own accord does
// not count: a link that is silent in one direction only still carries that, and
// an entry handed 200 requests in four seconds to one which swallowed them all.
func (s *Session) prompt(now timekeeper.Millis) bool {
	asked := timekeeper.Millis(s.asked.Load())
	return asked == 0 || s.lastAnswer() > asked || now-asked < pingLimit
}

// noteAnswer notes that the other end answered something sent here.
func (s *Session) noteAnswer(now timekeeper.Millis) {
	s.answered.Store(int64(now))
}

func (s *Session) lastAnswer() timekeeper.Millis {
	return timekeeper.Millis(s.answered.Load())
}

// runPings watches a link. Answers show that the other end lives, so only a link
// without them is asked.
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
		s.asked.Store(int64(p.manager.Clock.Now()))
		p.manager.counters.Pings.Add(1)
		if _, err := s.mux.Ping(); err != nil {
			s.Close()
			return
		}
		s.noteAnswer(p.manager.Clock.Now())
		s.asked.Store(0)
	}
}

// pingDue tells whether a link has been quiet for too long. One that is not in use
// is asked only for the requests that it still has.
func (p *Peer) pingDue(s *Session) bool {
	now := p.manager.Clock.Now()
	unanswered := now - s.lastAnswer()
	switch {
	case s.waiting.Load() > 0:
		return unanswered >= pingEvery
	case p.current() != s:
		return false
	case now-p.lastUse() < pingAfterUse:
		return unanswered >= p.manager.pingGap()
	}
	return now-s.wire.lastHeard() >= idlePing
}

// pingGap is the time between two pings of a quiet link in use. It grows with the
// links, so that their cost does not.
func (m *Manager) pingGap() timekeeper.Millis {
	m.lock.Lock()
	defer m.lock.Unlock()
	return min(max(pingEvery, timekeeper.Millis(len(m.peers))*pingBytes*timekeeper.Second/pingBudget), idlePing)
}
