package leaser_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// fixture is a platform server with a manually advanced clock.
type fixture struct {
	platform *platform.Server
	address  string
	now      timekeeper.Millis
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	address, p := newServer(t)
	return &fixture{platform: p, address: address, now: 1}
}

func newServer(t *testing.T) (string, *platform.Server) {
	t.Helper()
	p := &platform.Server{}
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return s.URL, p
}

func (b *fixture) lease(holder string) *leaser.Lease {
	return &leaser.Lease{
		Store:  &storer.Client{Address: b.address},
		Name:   "Lease/Test",
		Holder: holder,
		Clock:  timekeeper.Clock{Monotonic: func() timekeeper.Millis { return b.now }},
	}
}

func held(l *leaser.Lease) bool {
	_, ok := l.Held()
	return ok
}

func TestOneHolderAtATime(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newFixture(t)
	x, y := b.lease("x"), b.lease("y")
	x.Step(ctx)
	y.Step(ctx)
	is.True(held(x))
	is.True(!held(y))
	f1, _ := x.Held()

	// x is paused. The takeover delay of y ends after the term of x.
	b.now += leaser.DefaultTerm - 1
	y.Step(ctx)
	is.True(held(x) && !held(y))
	b.now += 2
	y.Step(ctx)
	is.True(!held(x) && !held(y))
	b.now += leaser.DefaultTerm / 4
	y.Step(ctx)
	f2, ok := y.Held()
	is.True(ok && !held(x))
	is.True(f2 > f1)

	// x resumes and fails to renew the lease.
	x.Step(ctx)
	is.True(!held(x) && held(y))
}

func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newFixture(t)
	x, y := b.lease("x"), b.lease("y")
	for range 20 {
		x.Step(ctx)
		y.Step(ctx)
		is.True(held(x) && !held(y))
		b.now += leaser.DefaultTerm / 3
	}
}

func TestLeaseIsHeldAfterLostResponses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newFixture(t)
	x := b.lease("x")
	b.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	x.Step(ctx)
	is.True(held(x)) // acquired although the response was lost
	b.platform.SetFaults(platform.Faults{LoseAnswers: 1})
	b.now += leaser.DefaultTerm / 2
	x.Step(ctx)
	b.now += leaser.DefaultTerm - 1
	is.True(held(x)) // the term counts from when the renewal was sent
	b.now++
	is.True(!held(x))
}

func TestLeaseExpiresDuringOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newFixture(t)
	x := b.lease("x")
	x.Step(ctx)
	b.platform.SetFaults(platform.Faults{Down: true})
	b.now += leaser.DefaultTerm / 2
	x.Step(ctx)
	is.True(held(x) && !x.Reachable())
	b.now += leaser.DefaultTerm / 2
	x.Step(ctx)
	is.True(!held(x))
	b.platform.SetFaults(platform.Faults{})
	x.Step(ctx)
	b.now += leaser.DefaultTerm * 5 / 4
	x.Step(ctx)
	is.True(held(x))
}

// TestNeverTwoHolders runs four candidates whose clocks have different rates, with
// random pauses, outages and lost responses. After every step at most one of them
// may hold the lease, and fences must not decrease.
func TestNeverTwoHolders(t *testing.T) {
	address, p := newServer(t)
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		ctx := context.Background()
		var elapsed float64
		var all []*leaser.Lease
		for i := range 4 {
			// 2 % is far more than the clock rates of VMs differ by.
			rate := rapid.Float64Range(0.98, 1.02).Draw(t, "rate")
			all = append(all, &leaser.Lease{
				Store:  &storer.Client{Address: address},
				Name:   fmt.Sprint("Lease/Random", n),
				Holder: fmt.Sprint("h", i),
				Clock:  timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Millis(1 + elapsed*rate) }},
			})
		}
		var highest leaser.Fence
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			elapsed += rapid.Float64Range(0, 1200).Draw(t, "time")
			p.SetFaults(platform.Faults{
				Down:        rapid.IntRange(0, 9).Draw(t, "down") == 0,
				LoseAnswers: rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "lost"),
			})
			// Candidates that do not step are paused or slow.
			all[rapid.IntRange(0, len(all)-1).Draw(t, "candidate")].Step(ctx)
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

func TestReleasedLeaseIsAvailableAtOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newFixture(t)
	x, y := b.lease("x"), b.lease("y")
	x.Step(ctx)
	y.Step(ctx)
	is.NoErr(x.Release(ctx))
	is.True(!held(x))
	y.Step(ctx)
	is.True(held(y))
}

// TestObservedLeaseIsAcquiredWithNewFence guards against a reused fence: a follower that
// knows the holder's writes only from Observe, and reads the lease after it has expired,
// must acquire it with a new fence.
func TestObservedLeaseIsAcquiredWithNewFence(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	b := newFixture(t)
	x, y := b.lease("x"), b.lease("y")
	x.Step(ctx)
	first, _ := x.Held()
	is.NoErr(y.Refresh(ctx))
	b.now += leaser.DefaultTerm * 2
	// z acquires the expired lease; y learns only the revision.
	z := b.lease("z")
	is.NoErr(z.Refresh(ctx))
	b.now += leaser.DefaultTerm * 2
	z.Step(ctx)
	second, ok := z.Held()
	is.True(ok)
	is.Equal(second, first+1)
	y.Observe(z.Revision())
	b.now += leaser.DefaultTerm * 2
	for range 10 {
		y.Step(ctx)
		b.now += leaser.DefaultTerm / 4
	}
	third, ok := y.Held()
	is.True(ok)
	is.Equal(third, second+1)
	is.Equal(y.FenceRegressions(), uint64(0))
}
