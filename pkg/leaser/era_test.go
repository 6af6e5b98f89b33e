package leaser_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// control calls a control path of the stand-in platform.
func control(p *platform.Server, path string) {
	p.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, nil))
}

// TestHolderMissingInTheCopyKeepsTheLease guards against two holders after the store has returned
// from a copy in which the lease is absent, released, or held by a former holder.
func TestHolderMissingInTheCopyKeepsTheLease(t *testing.T) {
	for name, prepare := range map[string]func(context.Context, *fixture){
		"absent": func(context.Context, *fixture) {},
		"released": func(ctx context.Context, b *fixture) {
			z := b.lease("z")
			z.Step(ctx)
			_ = z.Release(ctx)
		},
		"former holder": func(ctx context.Context, b *fixture) {
			b.lease("z").Step(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			b := newFixture(t)
			prepare(ctx, b)
			control(b.platform, "/Copy")
			x, y := b.lease("x"), b.lease("y")
			_ = x.Refresh(ctx)
			b.now += leaser.DefaultTerm * 2
			x.Step(ctx)
			before, ok := x.Held()
			is.True(ok)
			control(b.platform, "/Restore")

			y.Step(ctx)
			is.True(!held(y))
			for range 10 {
				x.Step(ctx)
				y.Step(ctx)
				is.True(held(x) && !held(y))
				b.now += leaser.DefaultTerm / 3
			}
			after, _ := x.Held()
			is.Equal(after, before)
			r, alive := y.Current()
			is.True(alive)
			is.Equal(r.Holder, "x")
			is.Equal(x.FenceRegressions()+y.FenceRegressions(), uint64(0))
		})
	}
}

// TestFenceIsAboveTheOneThatTheCopyLacks guards against a fence that is given a second time: the
// next holder has not seen the fence of a holder that the copy lacks.
func TestFenceIsAboveTheOneThatTheCopyLacks(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newFixture(t)
	x, y := b.lease("x"), b.lease("y")
	x.Step(ctx)
	control(b.platform, "/Copy")
	_ = y.Refresh(ctx)
	b.now += leaser.DefaultTerm * 2
	y.Step(ctx)
	lost, ok := y.Held()
	is.True(ok)
	for range 2 {
		control(b.platform, "/Restore")
		z := b.lease("z")
		z.Step(ctx)
		is.True(!held(z))
		b.now += leaser.DefaultTerm * 5 / 4
		z.Step(ctx)
		next, ok := z.Held()
		is.True(ok)
		is.True(next > lost)
		lost = next
	}
}

// TestNeverTwoHoldersWhileTheStoreReturns runs candidates with random pauses, outages and lost
// responses, and a store that returns from copies. After every step at most one of them may hold
// the lease, and fences must not decrease.
func TestNeverTwoHoldersWhileTheStoreReturns(t *testing.T) {
	address, p := newServer(t)
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		ctx := context.Background()
		var elapsed float64
		var all []*leaser.Lease
		for i := range 4 {
			rate := rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
			all = append(all, &leaser.Lease{
				Store:  &storer.Client{Address: address},
				Name:   fmt.Sprint("Lease/Returning", n),
				Holder: fmt.Sprint("h", i),
				Clock:  timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Millis(1 + elapsed*rate) }},
			})
		}
		control(p, "/Copy")
		var highest leaser.Fence
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			elapsed += rapid.Float64Range(0, 1200).Draw(t, "time")
			p.SetFaults(platform.Faults{
				Down:        rapid.IntRange(0, 9).Draw(t, "down") == 0,
				LoseAnswers: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "lost"),
			})
			switch rapid.IntRange(0, 9).Draw(t, "store") {
			case 0:
				control(p, "/Copy")
			case 1:
				control(p, "/Restore")
			}
			l := all[rapid.IntRange(0, len(all)-1).Draw(t, "candidate")]
			if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
				_ = l.Release(ctx)
			}
			l.Step(ctx)
			holders := 0
			for _, l := range all {
				fence, ok := l.Held()
				if !ok {
					continue
				}
				holders++
				if fence < highest {
					t.Fatalf("%s holds the lease with fence %d, below %d", l.Holder, fence, highest)
				}
				highest = fence
			}
			if holders > 1 {
				t.Fatalf("%d candidates hold the lease", holders)
			}
		}
	})
}
