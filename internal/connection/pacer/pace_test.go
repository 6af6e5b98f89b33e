package pacer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pacer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// newPacer returns a Pacer whose clock is advanced only by its Sleep, and the total time
// slept.
func newPacer() (*pacer.Pacer, *time.Duration) {
	slept := new(time.Duration)
	return &pacer.Pacer{
		Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return 1000 + timekeeper.FromDuration(*slept) }},
		Sleep: func(ctx context.Context, d time.Duration) error {
			*slept += d
			return ctx.Err()
		},
	}, slept
}

func TestWaitLimitsRate(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  int64
		bytes int
		least time.Duration
		most  time.Duration
	}{
		{"one burst is not delayed", 1 << 20, 64 << 10, 0, 0},
		{"one second of data", 1 << 20, 1 << 20, 900 * time.Millisecond, time.Second},
		{"two seconds of data", 1 << 20, 2 << 20, 1900 * time.Millisecond, 2 * time.Second},
		{"rate below the minimum", 1, 128 << 10, 1900 * time.Millisecond, 2100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, slept := newPacer()
			is.NoErr(p.Wait(context.Background(), "erie", c.rate, c.bytes))
			is.True(*slept >= c.least && *slept <= c.most)
		})
	}
}

func TestDestinationsAreLimitedSeparately(t *testing.T) {
	is := is.New(t)
	p, slept := newPacer()
	is.NoErr(p.Wait(context.Background(), "erie", 1<<20, 1<<20))
	before := *slept
	is.NoErr(p.Wait(context.Background(), "michigan", 1<<20, 64<<10))
	is.Equal(*slept, before)
}

func TestWaitReturnsWhenContextIsDone(t *testing.T) {
	is := is.New(t)
	p, _ := newPacer()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(p.Wait(ctx, "erie", 1, 1<<20), context.Canceled))
}
