// Package pacer spaces out what exports send over links with limits, so that short
// answers find room between them.
package pacer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// leastRate keeps an export going whatever its share of a link comes to, in
	// bytes a second.
	leastRate = 32 << 10

	// burst is how much may go at once, in bytes: what yamux sends before the
	// other end has to answer would fill a slow link anyhow.
	burst = 64 << 10
)

// Pacer holds the pace towards each of several places. The zero value is ready.
type Pacer struct {
	Clock timekeeper.Clock
	// Sleep waits; nil means by the time of the system.
	Sleep func(ctx context.Context, d time.Duration) error

	lock     sync.Mutex
	limiters map[string]*rate.Limiter
}

// Wait returns when n bytes more may go to a place, at bytesPerSecond for all that
// goes there. It ends with ctx.
func (p *Pacer) Wait(ctx context.Context, place string, bytesPerSecond int64, n int) error {
	for n > 0 {
		part := min(n, burst)
		if err := p.sleep(ctx, p.reserve(place, bytesPerSecond, part)); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

func (p *Pacer) reserve(place string, bytesPerSecond int64, n int) time.Duration {
	now := p.Clock.Now().Time()
	limit := rate.Limit(max(bytesPerSecond, leastRate))
	p.lock.Lock()
	defer p.lock.Unlock()
	l := p.limiters[place]
	if l == nil {
		if p.limiters == nil {
			p.limiters = map[string]*rate.Limiter{}
		}
		l = rate.NewLimiter(limit, burst)
		p.limiters[place] = l
	}
	if l.Limit() != limit {
		l.SetLimitAt(now, limit)
	}
	return l.ReserveN(now, n).DelayFrom(now)
}

func (p *Pacer) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	if p.Sleep != nil {
		return p.Sleep(ctx, d)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
