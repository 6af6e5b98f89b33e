// Package pacer limits the rate at which exports, the long responses of services of class
// export, are sent over links of limited bandwidth, so that short responses are not
// delayed behind them.
package pacer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// minBytesPerSecond is the lowest rate of a destination, so that an export makes
	// progress even if its share of a link is tiny.
	minBytesPerSecond = 32 << 10

	// burstBytes is how much may be sent at once. A smaller burst would not help, since
	// the data that yamux sends without waiting for the receiver fills a slow link anyway.
	burstBytes = 64 << 10
)

// Pacer limits the send rate to each of several destinations. The zero value is ready to
// use.
type Pacer struct {
	Clock timekeeper.Clock
	// Sleep blocks for d or until ctx is done. Nil means the system timer.
	Sleep func(ctx context.Context, d time.Duration) error

	lock     sync.Mutex
	limiters map[string]*rate.Limiter
}

// Wait blocks until n more bytes may be sent to a destination. bytesPerSecond is the total
// rate of that destination. Wait returns the error of ctx when ctx is done.
func (p *Pacer) Wait(ctx context.Context, destination string, bytesPerSecond int64, n int) error {
	for n > 0 {
		chunk := min(n, burstBytes)
		if err := p.sleep(ctx, p.reserve(destination, bytesPerSecond, chunk)); err != nil {
			return err
		}
		n -= chunk
	}
	return nil
}

func (p *Pacer) reserve(destination string, bytesPerSecond int64, n int) time.Duration {
	now := p.Clock.Now().Time()
	limit := rate.Limit(max(bytesPerSecond, minBytesPerSecond))
	p.lock.Lock()
	defer p.lock.Unlock()
	l := p.limiters[destination]
	if l == nil {
		if p.limiters == nil {
			p.limiters = map[string]*rate.Limiter{}
		}
		l = rate.NewLimiter(limit, burstBytes)
		p.limiters[destination] = l
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
