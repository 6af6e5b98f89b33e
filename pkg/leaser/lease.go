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
	// DefaultTerm is how long a lease holds after its last renewal was sent.
	DefaultTerm = 3 * timekeeper.Second

	// renewals is how many times a holder renews within one term.
	renewals = 3

	// patiencePercent is how long a candidate watches an unchanged lease, in
	// per cent of the term. Above 100 it covers clocks of unequal rate.
	patiencePercent = 125
)

type (
	// Fence numbers the holdings of one lease. It grows with each holding, so
	// of two writers the one with the larger fence is the rightful one.
	Fence uint64

	// Record is the lease object as it is stored.
	Record struct {
		// Holder identifies the process, its incarnation included.
		Holder string
		// Address is where the holder is reached, for those who look it up.
		Address string
		// Before is who held it before.
		Before string
		// Fence is the number of the holding.
		Fence Fence
		// Renewal distinguishes the writes of one holding, so that a holder
		// recognises its own after a lost answer.
		Renewal uint64
		// Released is set by a holder that gave the lease back.
		Released bool
		// TermMillis is the term the holder counts on.
		TermMillis timekeeper.Millis
	}

	// Lease is one candidate's view of one lease. Set the exported fields
	// before use. Step must be called by one goroutine; Held and Current are
	// safe from any.
	Lease struct {
		Store   *storer.Client
		Name    string
		Holder  string
		Address string
		// Term is the length of a holding; 0 means DefaultTerm.
		Term  timekeeper.Millis
		Clock timekeeper.Clock

		lock      sync.Mutex
		record    Record
		revision  storer.Revision
		seenSince timekeeper.Millis
		sentAt    timekeeper.Millis
		held      bool
		reachable bool
		// broken counts records whose fence was lower than one seen before.
		broken atomic.Uint64
	}
)

// Held returns the fence while this process holds the lease by its own clock.
func (l *Lease) Held() (Fence, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if !l.held || l.Clock.Now() >= l.sentAt+l.term() {
		return 0, false
	}
	return l.record.Fence, true
}

// Current returns the record as last seen and whether its holder may still
// hold it. The record of a lapsed lease names who had it last.
func (l *Lease) Current() (Record, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.revision == 0 || l.record.Released {
		return l.record, false
	}
	return l.record, l.Clock.Now() < l.seenSince+l.patience()
}

// Reachable tells whether the last step reached the platform.
func (l *Lease) Reachable() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.reachable
}

// Step renews the lease when held, takes it when it is free, and otherwise
// looks at it. It returns how long to wait until the next step.
func (l *Lease) Step(ctx context.Context) timekeeper.Millis {
	if _, ok := l.Held(); ok {
		l.renew(ctx)
		return l.term() / renewals
	}
	l.drop()
	if err := l.look(ctx); err != nil {
		return l.term() / renewals
	}
	if l.free() {
		l.take(ctx)
	}
	return l.term() / renewals
}

// Broken counts how often the fence of the lease went down, which must never be:
// somebody wrote the object who did not hold it.
func (l *Lease) Broken() uint64 {
	return l.broken.Load()
}

// Revision returns the revision of the lease object as last seen. A holder tells
// it to those who follow it, so that they need not look.
func (l *Lease) Revision() storer.Revision {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.revision
}

// Observe notes that the holder is known to have written the given revision. Those
// who hear from the holder count their patience from then on, and need not begin
// when it falls silent.
func (l *Lease) Observe(r storer.Revision) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if r > l.revision {
		l.revision = r
		l.seenSince = l.Clock.Now()
	}
}

// Look reads the lease without taking it.
func (l *Lease) Look(ctx context.Context) error {
	return l.look(ctx)
}

// Release gives a held lease back so that the next candidate need not wait.
func (l *Lease) Release(ctx context.Context) error {
	if _, ok := l.Held(); !ok {
		return nil
	}
	l.lock.Lock()
	next := l.record
	at := l.revision
	l.held = false
	l.lock.Unlock()
	next.Renewal++
	next.Released = true
	_, err := l.Store.Update(ctx, l.Name, encode(next), at)
	return err
}

func (l *Lease) renew(ctx context.Context) {
	l.lock.Lock()
	next := l.record
	at := l.revision
	l.lock.Unlock()
	next.Renewal++
	l.write(ctx, next, at)
}

func (l *Lease) take(ctx context.Context) {
	l.lock.Lock()
	next := Record{
		Holder:     l.Holder,
		Address:    l.Address,
		Before:     l.record.Holder,
		Fence:      l.record.Fence + 1,
		Renewal:    1,
		TermMillis: l.term(),
	}
	at := l.revision
	l.lock.Unlock()
	l.write(ctx, next, at)
}

// write stores next. The term counts from before the write was sent. A lost
// answer is settled by reading the object back.
func (l *Lease) write(ctx context.Context, next Record, at storer.Revision) {
	sent := l.Clock.Now()
	r, err := l.put(ctx, next, at)
	if err == nil {
		l.adopt(next, r, sent)
		return
	}
	if errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrUnknown) {
		l.settle(ctx, next, sent)
		return
	}
	l.setReachable(false)
}

func (l *Lease) put(ctx context.Context, next Record, at storer.Revision) (storer.Revision, error) {
	if at == 0 {
		return l.Store.Create(ctx, l.Name, encode(next))
	}
	return l.Store.Update(ctx, l.Name, encode(next), at)
}

func (l *Lease) settle(ctx context.Context, wanted Record, sent timekeeper.Millis) {
	if err := l.look(ctx); err != nil {
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.record == wanted {
		l.held = true
		l.sentAt = sent
		return
	}
	l.held = l.held && l.record.Holder == l.Holder && !l.record.Released
}

func (l *Lease) adopt(r Record, at storer.Revision, sent timekeeper.Millis) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.record = r
	l.revision = at
	l.seenSince = l.Clock.Now()
	l.sentAt = sent
	l.held = true
	l.reachable = true
}

func (l *Lease) look(ctx context.Context) error {
	o, err := l.Store.Get(ctx, l.Name)
	if errors.Is(err, storer.ErrNotFound) {
		l.setReachable(true)
		return nil
	}
	if err != nil {
		l.setReachable(false)
		return err
	}
	var r Record
	if err := json.Unmarshal(o.Body, &r); err != nil {
		return eris.Wrapf(err, "lease object %s", l.Name)
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.reachable = true
	if r.Fence < l.record.Fence || r.Fence == l.record.Fence && r.Holder != l.record.Holder {
		l.broken.Add(1)
	}
	// The revision may be known from Observe, which says nothing of what is in it.
	l.record = r
	if o.Revision != l.revision {
		l.revision = o.Revision
		l.seenSince = l.Clock.Now()
	}
	return nil
}

func (l *Lease) free() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.revision == 0 || l.record.Released {
		return true
	}
	return l.Clock.Now() >= l.seenSince+l.patience()
}

func (l *Lease) drop() {
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

func (l *Lease) patience() timekeeper.Millis {
	term := l.term()
	if l.record.TermMillis > term {
		term = l.record.TermMillis
	}
	return term * patiencePercent / 100
}

func encode(r Record) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// A Record holds only strings, numbers and booleans.
		panic(eris.Wrap(err, "encode lease record"))
	}
	return b
}

// Run steps the lease until ctx ends and reports each change of holding.
func (l *Lease) Run(ctx context.Context, changed func(Fence, bool)) {
	var was bool
	for {
		wait := l.Step(ctx)
		fence, held := l.Held()
		if held != was && changed != nil {
			changed(fence, held)
		}
		was = held
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.Duration()):
		}
	}
}
