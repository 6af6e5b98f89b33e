package linker

import "context"

// addInbound lets the peer use a link that the member dialled, until that link closes.
// This covers paths on which only one side can connect. Without it, an entry that cannot
// dial the only owner of a service fails all requests for that service, although the link
// that the owner dialled is up.
func (p *Peer) addInbound(ctx context.Context, s *Session) {
	go p.runInbound(ctx, s)
}

// runInbound monitors an inbound link until it closes. The link is used only after a
// ping got its reply, because Hello also arrives over a path that drops the other direction.
func (p *Peer) runInbound(ctx context.Context, s *Session) {
	if _, err := s.mux.Ping(); err != nil {
		return
	}
	p.inbound.Store(s)
	p.connectedOnce.Do(func() { close(p.connected) })
	p.runPings(ctx, s)
	p.inbound.CompareAndSwap(s, nil)
}

// current returns the session to use, nil for none. It prefers the session dialled here
// unless only the inbound one is responsive.
func (p *Peer) current() *Session {
	dialled, inbound := p.dialled.Load(), p.inbound.Load()
	now := p.manager.Clock.Now()
	if dialled == nil || inbound != nil && !dialled.responsive(now) && inbound.responsive(now) {
		return inbound
	}
	return dialled
}
