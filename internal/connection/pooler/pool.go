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

// retryAfter is the retry delay of a caller whose request was refused since no upstream
// was available.
const retryAfter = timekeeper.Second

type (
	// Pool holds the owned upstreams of one service at one site and the queue for
	// their slots.
	Pool struct {
		clock     timekeeper.Clock
		dial      dialer
		announced *announcements

		lock      sync.Mutex
		settings  *resolver.Service
		upstreams []*upstream
		// waiting is the queue of waiters.
		waiting *list.List
		// heldByOrigin is the time that requests held slots since the last TakeLoad, by
		// the site of origin. peak is the highest number of busy slots since then.
		heldByOrigin map[registrar.Site]timekeeper.Millis
		peak         int
		// notify is called when the number of free slots may have changed.
		notify func()
		// meanHold is the moving average of the time that a request holds a slot,
		// in milliseconds.
		meanHold float64
		// holdDeviation is the moving average of the absolute deviation from meanHold, in
		// milliseconds.
		holdDeviation float64
		// ejections counts ejections of upstreams for their failures.
		ejections uint64
	}

	// Load is a snapshot of the load of a pool.
	Load struct {
		Slots   int
		Busy    int
		Waiting int
		// Peak is the highest Busy since the last TakeLoad.
		Peak int
		// Ejections counts ejections of upstreams for their failures.
		Ejections uint64
	}

	// waiter is a queued request. Its channel receives the upstream whose slot it
	// was granted, or nil if the pool has none left to wait for.
	waiter struct {
		granted chan *upstream
	}
)

func newPool(o *Owner, s *resolver.Service, notify func()) *Pool {
	return &Pool{
		clock:        o.Clock,
		dial:         o.dialer(),
		announced:    &o.announced,
		settings:     s,
		waiting:      list.New(),
		heldByOrigin: map[registrar.Site]timekeeper.Millis{},
		notify:       notify,
	}
}

// acquire takes a slot, and queues for it if none is free. If the upstream is nil, the
// result says why. A detour comes from another site and is admitted only below the
// limit of this one, so that detours never overload a site.
func (p *Pool) acquire(ctx context.Context, deadline timekeeper.Millis, detour bool) (*upstream, exchanger.Result) {
	p.lock.Lock()
	if detour && p.overLimit() {
		defer p.lock.Unlock()
		return nil, p.refuseFull(exchanger.ReasonAtLimit)
	}
	if p.waiting.Len() == 0 {
		if u := p.pick(); u != nil {
			p.takeSlot(u)
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
	return p.awaitGrant(ctx, e, w, deadline)
}

// refusal reports whether a request must be refused instead of queued, and returns the
// refusal. The caller holds the lock.
func (p *Pool) refusal(deadline timekeeper.Millis) (exchanger.Result, bool) {
	if len(p.upstreams) == 0 {
		return exchanger.Refused(exchanger.ReasonNotOwner, retryAfter), true
	}
	if !p.anyUsable() {
		return exchanger.Refused(exchanger.ReasonNoUpstream, retryAfter), true
	}
	if r, down := p.refuseAllDown(); down {
		return r, true
	}
	if p.waiting.Len() >= p.settings.QueueLength {
		return p.refuseFull(exchanger.ReasonQueueFull), true
	}
	if p.wouldMissDeadline(deadline) {
		return p.refuseFull(exchanger.ReasonNoSlotInTime), true
	}
	return exchanger.Result{}, false
}

func (p *Pool) anyUsable() bool {
	for _, u := range p.upstreams {
		if !u.removed && !u.leaving() {
			return true
		}
	}
	return false
}

func (p *Pool) awaitGrant(ctx context.Context, e *list.Element, w *waiter, deadline timekeeper.Millis) (*upstream, exchanger.Result) {
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (deadline - p.clock.Now()).Duration())
		defer cancel()
	}
	select {
	case u := <-w.granted:
		return p.acceptGrant(u, deadline)
	case <-ctx.Done():
	}
	p.lock.Lock()
	select {
	case u := <-w.granted:
		// The slot was granted meanwhile. It goes to the next in the queue.
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

func (p *Pool) acceptGrant(u *upstream, deadline timekeeper.Millis) (*upstream, exchanger.Result) {
	if u == nil {
		p.lock.Lock()
		defer p.lock.Unlock()
		if r, down := p.refuseAllDown(); down {
			return nil, r
		}
		return nil, exchanger.Refused(exchanger.ReasonNotOwner, 0)
	}
	if p.lacksTime(deadline) {
		p.release(u)
		p.lock.Lock()
		defer p.lock.Unlock()
		return nil, p.refuseFull(exchanger.ReasonNoSlotInTime)
	}
	return u, exchanger.Result{}
}

// pick returns the upstream with the most free slots, or nil if none is free.
// The caller holds the lock.
func (p *Pool) pick() *upstream {
	now := p.clock.Now()
	var best *upstream
	most := 0
	for _, u := range p.upstreams {
		if free := u.slotLimit(p.settings.Slots, now) - u.busy; free > most {
			best, most = u, free
		}
	}
	return best
}

// takeSlot takes a slot of u. The caller holds the lock.
func (p *Pool) takeSlot(u *upstream) {
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

// release returns a slot of u and grants free slots to queued requests.
func (p *Pool) release(u *upstream) {
	p.lock.Lock()
	u.busy--
	if u.busy < 0 {
		// A slot was released twice: the counts can no longer be trusted.
		panic("pooler: slot of " + u.address + " released twice")
	}
	p.prune()
	p.grantSlots()
	p.lock.Unlock()
	p.notify()
}

// grantSlots grants free slots to queued requests in order. If no upstream is left to
// wait for, it sends nil to all of them. The caller holds the lock.
func (p *Pool) grantSlots() {
	for p.waiting.Len() > 0 {
		u := p.pick()
		if u == nil {
			break
		}
		p.takeSlot(u)
		p.waiting.Remove(p.waiting.Front()).(*waiter).granted <- u
	}
	if _, allDown := p.allDown(p.clock.Now()); p.anyUsable() && !allDown {
		return
	}
	for p.waiting.Len() > 0 {
		p.waiting.Remove(p.waiting.Front()).(*waiter).granted <- nil
	}
}

// prune removes upstreams that are no longer owned and have no request in flight. The
// caller holds the lock.
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

func (p *Pool) recordHold(origin registrar.Site, held timekeeper.Millis) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.heldByOrigin[origin] += held
	p.updateHoldTime(held)
}

// Free returns the number of free slots less that of queued requests, which may be
// negative, and the number of usable slots.
func (p *Pool) Free() (free, slots int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	free, slots = p.countSlots(p.clock.Now())
	return free - p.waiting.Len(), slots
}

// countSlots returns the number of slots that are usable now, and how many of them are
// free. The caller holds the lock.
func (p *Pool) countSlots(now timekeeper.Millis) (free, slots int) {
	for _, u := range p.upstreams {
		n := u.slotLimit(p.settings.Slots, now)
		slots += n
		free += max(n-u.busy, 0)
	}
	return free, slots
}

// Load returns the current load.
func (p *Pool) Load() Load {
	_, slots := p.Free()
	p.lock.Lock()
	defer p.lock.Unlock()
	return Load{Slots: slots, Busy: p.busy(), Waiting: p.waiting.Len(), Peak: p.peak, Ejections: p.ejections}
}

// TakeLoad returns the load and, by the site of origin, the total time that requests
// held slots. The peak and the times cover the period since the last call.
func (p *Pool) TakeLoad() (Load, map[registrar.Site]timekeeper.Millis) {
	l := p.Load()
	p.lock.Lock()
	defer p.lock.Unlock()
	p.peak = l.Busy
	held := p.heldByOrigin
	p.heldByOrigin = map[registrar.Site]timekeeper.Millis{}
	return l, held
}
