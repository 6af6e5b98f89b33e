package pooler

import (
	"container/list"
	"context"
	"sync"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// retryAfter is when a caller that was refused for want of an upstream should come
// back.
const retryAfter = timekeeper.Second

type (
	// Pool is the owned upstreams of one service at one site.
	Pool struct {
		clock timekeeper.Clock
		dial  dialer

		lock      sync.Mutex
		settings  *resolver.Service
		upstreams []*upstream
		waiting   *list.List
		work      map[registrar.Site]timekeeper.Millis
		peak      int
		notify    func()
		// pace is how long a slot is held on average, in milliseconds.
		pace float64
		// deviation is how far single requests are from pace on average.
		deviation float64
		// ejections counts upstreams taken out for their failures.
		ejections uint64
	}

	// Load is the state of a pool at one moment.
	Load struct {
		Slots   int
		Busy    int
		Waiting int
		// Peak is the highest Busy since the load was last taken.
		Peak int
		// Ejections counts upstreams taken out for their failures.
		Ejections uint64
	}

	// waiter is a request in line. Its channel receives the upstream whose
	// slot it was given.
	waiter struct {
		granted chan *upstream
	}
)

func newPool(c timekeeper.Clock, s *resolver.Service, dial dialer, notify func()) *Pool {
	return &Pool{
		clock:    c,
		dial:     dial,
		settings: s,
		waiting:  list.New(),
		work:     map[registrar.Site]timekeeper.Millis{},
		notify:   notify,
	}
}

// acquire gets a slot, waiting in line for it if need be. The result tells why
// there is none. A detour comes from another site, and is let in only below the
// limit of this one: no site is overloaded by the decision to send it there.
func (p *Pool) acquire(ctx context.Context, deadline timekeeper.Millis, detour bool) (*upstream, exchanger.Result) {
	p.lock.Lock()
	if detour && p.overLimit() {
		defer p.lock.Unlock()
		return nil, p.full(exchanger.ReasonAtLimit)
	}
	if p.waiting.Len() == 0 {
		if u := p.pick(); u != nil {
			p.hold(u)
			p.lock.Unlock()
			return u, exchanger.Result{}
		}
	}
	if r, refused := p.refusal(deadline); refused {
		p.lock.Unlock()
		return nil, r
	}
	w := &waiter{granted: make(chan *upstream, 1)}
	e := p.waiting.PushBack(w)
	p.lock.Unlock()
	p.notify()
	return p.wait(ctx, e, w, deadline)
}

// refusal tells why a request may not wait. The caller holds the lock.
func (p *Pool) refusal(deadline timekeeper.Millis) (exchanger.Result, bool) {
	if len(p.upstreams) == 0 {
		return exchanger.Refused(exchanger.ReasonNotOwner, retryAfter), true
	}
	if !p.anyOwned() {
		return exchanger.Refused(exchanger.ReasonNoUpstream, retryAfter), true
	}
	if r, dark := p.unreached(); dark {
		return r, true
	}
	if p.waiting.Len() >= p.settings.QueueLength {
		return p.full(exchanger.ReasonQueueFull), true
	}
	if p.tooLate(deadline) {
		return p.full(exchanger.ReasonNoTime), true
	}
	return exchanger.Result{}, false
}

func (p *Pool) anyOwned() bool {
	for _, u := range p.upstreams {
		if !u.removed && !u.leaving && !u.listed {
			return true
		}
	}
	return false
}

func (p *Pool) wait(ctx context.Context, e *list.Element, w *waiter, deadline timekeeper.Millis) (*upstream, exchanger.Result) {
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (deadline - p.clock.Now()).Duration())
		defer cancel()
	}
	select {
	case u := <-w.granted:
		return p.granted(u, deadline)
	case <-ctx.Done():
	}
	p.lock.Lock()
	select {
	case u := <-w.granted:
		// The slot came at the last moment. It goes to the next in line.
		p.lock.Unlock()
		if u != nil {
			p.release(u)
		}
	default:
		p.waiting.Remove(e)
		p.lock.Unlock()
	}
	p.notify()
	reason := exchanger.ReasonCancelled
	if deadline > 0 && p.clock.Now() >= deadline {
		reason = exchanger.ReasonDeadline
	}
	return nil, exchanger.Refused(reason, retryAfter)
}

func (p *Pool) granted(u *upstream, deadline timekeeper.Millis) (*upstream, exchanger.Result) {
	if u == nil {
		p.lock.Lock()
		defer p.lock.Unlock()
		if r, dark := p.unreached(); dark {
			return nil, r
		}
		return nil, exchanger.Refused(exchanger.ReasonNotOwner, 0)
	}
	if p.outOfTime(deadline) {
		p.release(u)
		p.lock.Lock()
		defer p.lock.Unlock()
		return nil, p.full(exchanger.ReasonNoTime)
	}
	return u, exchanger.Result{}
}

// pick returns the upstream with the most free slots, nil when none is free.
// The caller holds the lock.
func (p *Pool) pick() *upstream {
	now := p.clock.Now()
	var best *upstream
	most := 0
	for _, u := range p.upstreams {
		if free := u.limit(p.settings.Slots, now) - u.busy; free > most {
			best, most = u, free
		}
	}
	return best
}

// hold takes a slot of u. The caller holds the lock.
func (p *Pool) hold(u *upstream) {
	u.busy++
	p.peak = max(p.peak, p.busy())
}

func (p *Pool) busy() int {
	n := 0
	for _, u := range p.upstreams {
		n += u.busy
	}
	return n
}

// release gives the slot of u back and hands free slots to those in line.
func (p *Pool) release(u *upstream) {
	p.lock.Lock()
	u.busy--
	if u.busy < 0 {
		// A slot was given back twice: the counts can no longer be trusted.
		panic("pooler: slot of " + u.address + " released twice")
	}
	p.prune()
	p.serve()
	p.lock.Unlock()
	p.notify()
}

// serve hands free slots to the line. The caller holds the lock.
func (p *Pool) serve() {
	for p.waiting.Len() > 0 {
		u := p.pick()
		if u == nil {
			break
		}
		p.hold(u)
		p.waiting.Remove(p.waiting.Front()).(*waiter).granted <- u
	}
	if _, dark := p.dark(p.clock.Now()); p.anyOwned() && !dark {
		return
	}
	for p.waiting.Len() > 0 {
		p.waiting.Remove(p.waiting.Front()).(*waiter).granted <- nil
	}
}

// prune forgets upstreams that are owned no more and have no request left.
func (p *Pool) prune() {
	kept := p.upstreams[:0]
	for _, u := range p.upstreams {
		if u.removed && u.busy == 0 {
			u.closeIdle()
			continue
		}
		kept = append(kept, u)
	}
	clear(p.upstreams[len(kept):])
	p.upstreams = kept
}

func (p *Pool) account(origin registrar.Site, held timekeeper.Millis) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.work[origin] += held
	p.notePace(held)
}

// Free returns how many requests more could start now, below 0 by the number
// that wait, and the slots of the pool.
func (p *Pool) Free() (free, slots int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	free, slots = p.room(p.clock.Now())
	return free - p.waiting.Len(), slots
}

// room adds up the slots that upstreams let be used now, and those of them that
// are free. The caller holds the lock.
func (p *Pool) room(now timekeeper.Millis) (free, slots int) {
	for _, u := range p.upstreams {
		n := u.limit(p.settings.Slots, now)
		slots += n
		free += max(n-u.busy, 0)
	}
	return free, slots
}

// Load returns the load now.
func (p *Pool) Load() Load {
	_, slots := p.Free()
	p.lock.Lock()
	defer p.lock.Unlock()
	return Load{Slots: slots, Busy: p.busy(), Waiting: p.waiting.Len(), Peak: p.peak, Ejections: p.ejections}
}

// TakeLoad returns the load and, by origin, how long slots were held since the last
// call.
func (p *Pool) TakeLoad() (Load, map[registrar.Site]timekeeper.Millis) {
	l := p.Load()
	p.lock.Lock()
	defer p.lock.Unlock()
	p.peak = l.Busy
	w := p.work
	p.work = map[registrar.Site]timekeeper.Millis{}
	return l, w
}
