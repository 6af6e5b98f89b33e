package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// startPollInterval is how often the view of the fleet is updated while this daemon is
// starting. Requests wait meanwhile.
const startPollInterval = 50 * time.Millisecond

// viewInterval is how often the view of the fleet is updated afterwards: half the interval of
// heartbeats.
const viewInterval = 250 * time.Millisecond

// Limiter enforces the limits at one daemon. Use New to create one.
type Limiter struct {
	options Options

	lock sync.Mutex
	core Core
}

// Options are the dependencies of a Limiter. All but Clock must be set.
type Options struct {
	Tolerance func() Tolerance
	// FleetView returns the current view of the fleet.
	FleetView func() FleetView
	// Organisation returns the organisation whose name has a hash, or nil.
	Organisation func(hasher.Hash) *authenticator.Organisation
	Send         func(Envelope)
	Clock        timekeeper.Clock
}

// New returns the Limiter of one daemon.
func New(o Options) *Limiter {
	return &Limiter{options: o, core: Core{Organisation: o.Organisation}}
}

// Run keeps the view of the fleet up to date until ctx is done.
func (l *Limiter) Run(ctx context.Context) {
	l.Observe()
	for l.starting() && ctx.Err() == nil {
		time.Sleep(startPollInterval)
		l.Observe()
	}
	timekeeper.Every(ctx, viewInterval, l.Observe)
}

// starting reports whether the daemon has just started and does not know the fleet yet.
func (l *Limiter) starting() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.core.view.Starting
}

// waitForStart blocks while the daemon is starting, which takes a bounded time.
func (l *Limiter) waitForStart(ctx context.Context) {
	for l.starting() && ctx.Err() == nil {
		time.Sleep(startPollInterval)
	}
}

// Observe updates the view of the fleet once.
func (l *Limiter) Observe() {
	view, tolerance := l.options.FleetView(), l.options.Tolerance()
	l.lock.Lock()
	defer l.lock.Unlock()
	l.core.Tolerance = tolerance
	l.core.Observe(l.options.Clock.Now(), view)
}

// Take asks for a token for one request of an organisation and waits for a bounded time.
func (l *Limiter) Take(ctx context.Context, o *authenticator.Organisation) Verdict {
	if o.Limit.Unlimited() {
		return Verdict{Outcome: Admitted}
	}
	l.waitForStart(ctx)
	var t Ticket
	decided := make(chan struct{})
	t.Decided = func() { close(decided) }
	l.apply(func(now timekeeper.Millis) []Envelope { return l.core.Take(now, o, &t) })
	if v, done := l.verdict(&t); done {
		return v
	}
	wait := time.NewTicker(AllocatorTimeout.Duration())
	defer wait.Stop()
	for {
		select {
		case <-decided:
		case <-wait.C:
			l.apply(func(now timekeeper.Millis) []Envelope { return l.core.HandleTimeout(now, o, &t) })
		case <-ctx.Done():
			l.cancel(&t)
		}
		if v, done := l.verdict(&t); done {
			return v
		}
	}
}

func (l *Limiter) cancel(t *Ticket) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.core.Cancel(t)
}

// Return gives back the token of a request that did not run.
func (l *Limiter) Return(o *authenticator.Organisation) {
	l.apply(func(now timekeeper.Millis) []Envelope { return l.core.Return(now, o) })
}

// Receive handles a message of another daemon.
func (l *Limiter) Receive(from string, m Message) {
	l.apply(func(now timekeeper.Millis) []Envelope { return l.core.Receive(now, from, m) })
}

// Forget drops the state of organisations that have been idle for longer than idleExpiry.
func (l *Limiter) Forget() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.core.Forget(l.options.Clock.Now())
}

func (l *Limiter) verdict(t *Ticket) (Verdict, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return t.Verdict, t.Verdict.Outcome != Waiting
}

// apply runs one step of the core and sends the resulting messages.
func (l *Limiter) apply(step func(now timekeeper.Millis) []Envelope) {
	out, due := l.applyLocked(step)
	for _, e := range out {
		l.options.Send(e)
	}
	if due > 0 {
		time.AfterFunc(due.Duration(), l.tick)
	}
}

func (l *Limiter) applyLocked(step func(now timekeeper.Millis) []Envelope) ([]Envelope, timekeeper.Millis) {
	l.lock.Lock()
	defer l.lock.Unlock()
	out := step(l.options.Clock.Now())
	return out, l.core.Due(out)
}

func (l *Limiter) tick() {
	l.apply(l.core.Tick)
}
