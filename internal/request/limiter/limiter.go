package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// startEvery is how often it is looked at while this daemon has just started and hears nobody:
// requests wait for that.
const startEvery = 50 * time.Millisecond

// censusEvery is how often the view of the fleet is looked at: half a heartbeat.
const censusEvery = 250 * time.Millisecond

// Limiter is the limits at one daemon. Build it with New.
type Limiter struct {
	options Options

	lock sync.Mutex
	core Core
}

// Options are what a Limiter needs. All but Clock must be set.
type Options struct {
	Tolerance func() Tolerance
	// Census returns what is known of the fleet.
	Census func() Census
	// Organisation returns the one whose name has a hash, nil for none.
	Organisation func(hasher.Hash) *authenticator.Organisation
	Send         func(Envelope)
	Clock        timekeeper.Clock
}

// New returns the limits at one daemon.
func New(o Options) *Limiter {
	return &Limiter{options: o, core: Core{Organisation: o.Organisation}}
}

// Run keeps the view of the fleet up to date until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.Observe()
	for l.starting() && ctx.Err() == nil {
		time.Sleep(startEvery)
		l.Observe()
	}
	timekeeper.Every(ctx, censusEvery, l.Observe)
}

// starting tells whether others may yet be heard.
func (l *Limiter) starting() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.core.census.Starting
}

// awaitStart waits while others may yet be heard, which is a bounded time.
func (l *Limiter) awaitStart(ctx context.Context) {
	for l.starting() && ctx.Err() == nil {
		time.Sleep(startEvery)
	}
}

// Observe looks at the fleet once.
func (l *Limiter) Observe() {
	census, tolerance := l.options.Census(), l.options.Tolerance()
	l.lock.Lock()
	defer l.lock.Unlock()
	l.core.Tolerance = tolerance
	l.core.Observe(l.options.Clock.Now(), census)
}

// Take asks for a token for one request of an organisation, and waits for it for a bounded
// time.
func (l *Limiter) Take(ctx context.Context, o *authenticator.Organisation) Verdict {
	if o.Limit.Unlimited() {
		return Verdict{Outcome: Admitted}
	}
	l.awaitStart(ctx)
	var t Ticket
	decided := make(chan struct{})
	t.Decided = func() { close(decided) }
	l.do(func(now timekeeper.Millis) []Envelope { return l.core.Take(now, o, &t) })
	if v, done := l.verdict(&t); done {
		return v
	}
	wait := time.NewTicker(Patience.Duration())
	defer wait.Stop()
	for {
		select {
		case <-decided:
		case <-wait.C:
			l.do(func(now timekeeper.Millis) []Envelope { return l.core.Late(now, o, &t) })
		case <-ctx.Done():
			l.giveUp(&t)
		}
		if v, done := l.verdict(&t); done {
			return v
		}
	}
}

func (l *Limiter) giveUp(t *Ticket) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.core.GiveUp(t)
}

// Return gives back the token of a request that did not run.
func (l *Limiter) Return(o *authenticator.Organisation) {
	l.do(func(now timekeeper.Millis) []Envelope { return l.core.Return(now, o) })
}

// Receive takes a message of another daemon.
func (l *Limiter) Receive(from string, m Message) {
	l.do(func(now timekeeper.Millis) []Envelope { return l.core.Receive(now, from, m) })
}

// Forget drops what is known of organisations that had no requests for long.
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

// do runs one step of the core and sends what it wants to be sent.
func (l *Limiter) do(step func(now timekeeper.Millis) []Envelope) {
	out, due := l.locked(step)
	for _, e := range out {
		l.options.Send(e)
	}
	if due > 0 {
		time.AfterFunc(due.Duration(), l.tick)
	}
}

func (l *Limiter) locked(step func(now timekeeper.Millis) []Envelope) ([]Envelope, timekeeper.Millis) {
	l.lock.Lock()
	defer l.lock.Unlock()
	out := step(l.options.Clock.Now())
	return out, l.core.Due(out)
}

func (l *Limiter) tick() {
	l.do(l.core.Tick)
}
