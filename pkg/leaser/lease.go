package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// DefaultTerm is how long a lease is valid after its last renewal was sent.
	DefaultTerm = 3 * timekeeper.Second

	// renewalsPerTerm is the number of renewals within one term.
	renewalsPerTerm = 3

	// fencesPerEra is the number of fences in an era of the store. A later era begins above all
	// fences of earlier ones, which a candidate need not have seen.
	fencesPerEra = 1 << 32

	// takeoverPercent is how long a lease must stay unchanged before a candidate
	// takes over, in percent of the term. The excess over 100 allows for clocks
	// that run at different rates.
	takeoverPercent = 125
)

type (
	// Fence is a fencing token. It increases each time the lease is acquired, so
	// of two writers the one with the larger fence is the current holder.
	Fence uint64

	// Record is the stored form of a lease.
	Record struct {
		// Holder identifies the process, including its incarnation.
		Holder string
		// Address is the network address of the holder.
		Address string
		// Before is the previous holder.
		Before string
		// Fence is the fencing token of this holder.
		Fence Fence
		// Renewal numbers the writes under one fence, so that a holder
		// recognises its own write after a lost response.
		Renewal uint64
		// Released reports whether the holder has released the lease.
		Released bool
		// TermMillis is the term that the holder relies on.
		TermMillis timekeeper.Millis
		// Era is the era of the store in which the record was written.
		Era storer.Era `json:",omitempty"`
	}

	// Lease is a candidate's view of a lease. Set the exported fields before
	// use. Step must be called from a single goroutine; Held and Current are
	// safe for concurrent use.
	Lease struct {
		Store   *storer.Client
		Name    string
		Holder  string
		Address string
		// Term is how long the lease is valid after a renewal; 0 means DefaultTerm.
		Term  timekeeper.Millis
		Clock timekeeper.Clock

		lock     sync.Mutex
		record   Record
		revision storer.Revision
		// unchangedSince is when the current revision was first observed, and sentAt when
		// the write that acquired or last renewed the lease was sent.
		unchangedSince timekeeper.Millis
		sentAt         timekeeper.Millis
		held           bool
		reachable      bool
		// era is the era of the store in which the lease was last read or written, and
		// eraSince when that era was first observed.
		era      storer.Era
		eraSince timekeeper.Millis
		// own is the record last written, and highest the highest fence seen.
		own     Record
		highest Fence
		// fenceRegressions counts records with a lower fence than one seen before,
		// or with the same fence and another holder.
		fenceRegressions atomic.Uint64
	}
)

// Held returns the fence and reports whether this process holds the lease
// according to its own clock.
func (l *Lease) Held() (Fence, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !l.held || l.Clock.Now() >= l.sentAt+l.term() {
		return 0, false
	}
	return l.own.Fence, true
}

// Current returns the record as last read and reports whether its holder may
// still hold the lease. The record of an expired lease names the last holder.
func (l *Lease) Current() (Record, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.absent() || l.record.Released {
		return l.record, false
	}
	return l.record, l.Clock.Now() < l.unchangedSince+l.takeoverDelay()
}

// Reachable reports whether the last step reached the platform.
func (l *Lease) Reachable() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.reachable
}

// Step renews the lease if it is held, acquires it if it is available, and
// otherwise only reads it. It returns how long to wait until the next step.
func (l *Lease) Step(ctx context.Context) timekeeper.Millis {
	if _, ok := l.Held(); ok {
		l.renew(ctx)
		return l.term() / renewalsPerTerm
	}
	l.clearHeld()
	if err := l.refresh(ctx); err != nil {
		return l.term() / renewalsPerTerm
	}
	if l.available() {
		l.acquire(ctx)
	}
	return l.term() / renewalsPerTerm
}

// FenceRegressions returns how often the lease was read with a lower fence than before,
// or with the same fence and another holder. Either means that a process wrote the
// object without holding the lease.
func (l *Lease) FenceRegressions() uint64 {
	return l.fenceRegressions.Load()
}

// Revision returns the last known revision of the lease object. A holder passes
// it on to its followers, which then need not read the object.
func (l *Lease) Revision() storer.Revision {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.revision
}

// Observe records that the holder has written the given revision. The takeover
// delay of a follower then counts from the last such message instead of from its
// own first read after the messages stop.
func (l *Lease) Observe(r storer.Revision) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if r > l.revision {
		l.revision = r
		l.unchangedSince = l.Clock.Now()
	}
}

// Refresh reads the lease without acquiring it.
func (l *Lease) Refresh(ctx context.Context) error {
	return l.refresh(ctx)
}

// Release releases the lease if it is held, so that the next candidate need not
// wait for it to expire.
func (l *Lease) Release(ctx context.Context) error {
	if _, ok := l.Held(); !ok {
		return nil
	}
	l.lock.Lock()
	next := l.own
	at := l.revision
	l.held = false
	l.lock.Unlock()
	next.Renewal++
	next.Released = true
	next.Era = at.Era()
	_, err := l.Store.Update(ctx, l.Name, encode(next), at)
	return err
}

func (l *Lease) renew(ctx context.Context) {
	l.lock.Lock()
	// Each attempt has a number of its own, also if the result of the one before is unknown.
	l.own.Renewal++
	next := l.own
	at := l.revision
	l.lock.Unlock()
	next.Era = at.Era()
	l.write(ctx, next, at)
}

func (l *Lease) acquire(ctx context.Context) {
	l.lock.Lock()
	next := Record{
		Holder:     l.Holder,
		Address:    l.Address,
		Before:     l.record.Holder,
		Fence:      max(l.record.Fence, l.highest, Fence(l.era)*fencesPerEra) + 1,
		Renewal:    1,
		TermMillis: l.term(),
		Era:        l.era,
	}
	at := l.revision
	l.lock.Unlock()
	l.write(ctx, next, at)
}

// write stores next. The term counts from before the write was sent. If the
// response is lost, the object is read back to determine the result.
func (l *Lease) write(ctx context.Context, next Record, at storer.Revision) {
	sent := l.Clock.Now()
	r, err := l.put(ctx, next, at)
	if err == nil {
		l.recordWrite(next, r, sent)
		return
	}
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnknown) {
		l.resolveWrite(ctx, next, sent)
		return
	}
	l.setReachable(false)
}

func (l *Lease) put(ctx context.Context, next Record, at storer.Revision) (storer.Revision, error) {
	if at.Number() == 0 {
		return l.Store.CreateIn(ctx, at.Era(), l.Name, encode(next))
	}
	return l.Store.Update(ctx, l.Name, encode(next), at)
}

// resolveWrite reads the lease back after a conflict or a write with an unknown result.
// If the stored record is the one that was written, the lease is held. Otherwise it stays
// held only if this process is still its holder, or if the record is of an older copy that the
// store has returned from: no candidate takes over before the term of this holder has passed, and
// the next renewal writes its record again.
func (l *Lease) resolveWrite(ctx context.Context, wanted Record, sent timekeeper.Millis) {
	if err := l.refresh(ctx); err != nil {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.record == wanted {
		l.own = wanted
		l.held = true
		l.sentAt = sent
		return
	}
	l.held = l.held && (l.copied() || l.record.Holder == l.Holder && !l.record.Released)
}

func (l *Lease) recordWrite(r Record, at storer.Revision, sent timekeeper.Millis) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.observeEra(at.Era())
	l.record = r
	l.own = r
	l.highest = max(l.highest, r.Fence)
	l.revision = at
	l.unchangedSince = l.Clock.Now()
	l.sentAt = sent
	l.held = true
	l.reachable = true
}

func (l *Lease) refresh(ctx context.Context) error {
	o, err := l.Store.Get(ctx, l.Name)
	if errors.Is(err, storer.ErrNotFound) {
		l.recordAbsent()
		return nil
	}
	if err != nil {
		l.setReachable(false)
		return err
	}
	var r Record
	if err := json.Unmarshal(o.Body, &r); err != nil {
		return eris.Wrapf(err, "decode lease object %s", l.Name)
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.reachable = true
	sameEra := o.Revision.Era() == l.era
	if sameEra && (r.Fence < l.record.Fence || r.Fence == l.record.Fence && r.Holder != l.record.Holder) {
		l.fenceRegressions.Add(1)
	}
	l.observeEra(o.Revision.Era())
	l.highest = max(l.highest, r.Fence)
	// The revision may be known from Observe, which does not provide the record.
	l.record = r
	if o.Revision != l.revision {
		l.revision = o.Revision
		l.unchangedSince = l.Clock.Now()
	}
	return nil
}

func (l *Lease) available() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.copied() && l.Clock.Now() < l.eraSince+l.takeoverDelay() {
		// The copy may lack the record of a holder.
		return false
	}
	if l.absent() || l.record.Released {
		return true
	}
	return l.Clock.Now() >= l.unchangedSince+l.takeoverDelay()
}

// recordAbsent records that there is no lease object. An object is never deleted, so the store has
// returned from a copy without it if there was one.
func (l *Lease) recordAbsent() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.reachable = true
	e := l.Store.Era()
	l.observeEra(e)
	if l.revision.Era() != e {
		l.record = Record{}
		l.revision = storer.RevisionAt(e, 0)
	}
}

// observeEra records the era of the store. The caller must hold the lock.
func (l *Lease) observeEra(e storer.Era) {
	if e != l.era || l.eraSince == 0 {
		l.era = e
		l.eraSince = l.Clock.Now()
	}
}

// absent reports whether no lease object is known. The caller must hold the lock.
func (l *Lease) absent() bool {
	return l.revision.Number() == 0
}

// copied reports whether the record, or its absence, may be that of an older copy which the store
// has returned from. The caller must hold the lock.
func (l *Lease) copied() bool {
	return l.era > 0 && (l.absent() || l.record.Era < l.era)
}

func (l *Lease) clearHeld() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.held = false
}

func (l *Lease) setReachable(ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.reachable = ok
}

func (l *Lease) term() timekeeper.Millis {
	if l.Term > 0 {
		return l.Term
	}
	return DefaultTerm
}

func (l *Lease) takeoverDelay() timekeeper.Millis {
	term := l.term()
	if l.record.TermMillis > term {
		term = l.record.TermMillis
	}
	return term * takeoverPercent / 100
}

func encode(r Record) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// A Record holds only strings, numbers and booleans.
		panic(eris.Wrap(err, "encode lease record"))
	}
	return b
}

// Run calls Step until ctx is done, and calls changed whenever the lease is
// acquired or lost.
func (l *Lease) Run(ctx context.Context, changed func(Fence, bool)) {
	var wasHeld bool
	for {
		wait := l.Step(ctx)
		fence, held := l.Held()
		if held != wasHeld && changed != nil {
			changed(fence, held)
		}
		wasHeld = held
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.Duration()):
		}
	}
}
