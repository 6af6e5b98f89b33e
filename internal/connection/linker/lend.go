package linker

import "context"

// lend lets the peer use a link that the member dialled for as long as that
// stands. It guards against a path that is open in one direction only: an entry
// whose dials to the sole owner of a service were refused answered none of 5,700
// requests in a minute, though the owner's own link to it stood all the time.
func (p *Peer) lend(ctx context.Context, s *Session) {
	go p.runLent(ctx, s)
}

// runLent watches a lent link until it ends. The link counts once a ping was
// answered: its greeting may have come over a path that lets nothing back.
func (p *Peer) runLent(ctx context.Context, s *Session) {
	if _, err := s.mux.Ping(); err != nil {
		return
	}
	p.lent.Store(s)
	p.once.Do(func() { close(p.up) })
	p.runPings(ctx, s)
	p.lent.CompareAndSwap(s, nil)
}

// current returns the link to use, nil for none: the one dialled here, unless its
// other end does not answer and that of the lent one does.
func (p *Peer) current() *Session {
	own, lent := p.session.Load(), p.lent.Load()
	now := p.manager.Clock.Now()
	if own == nil || lent != nil && !own.prompt(now) && lent.prompt(now) {
		return lent
	}
	return own
}
