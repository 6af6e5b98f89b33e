package limiter_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// result holds the cost of a load and its violations.
type result struct {
	requested, refusedWithinLimit int
	// maxExcess is the maximum by which any organisation exceeded its limit and tolerance.
	maxExcess float64
	// messages and bytes are per daemon and second.
	messages, bytes float64
}

func (f *fleet) result(length timekeeper.Millis) (g result) {
	g.maxExcess = math.Inf(-1)
	for o := range f.organisations {
		g.requested += len(f.counts[o].requested)
		g.refusedWithinLimit += len(f.counts[o].refusedWithinLimit)
		g.maxExcess = max(g.maxExcess, f.maxExcess(o))
	}
	per := float64(len(f.daemons)) * float64(length) / float64(second)
	g.messages, g.bytes = float64(f.messages)/per, float64(f.bytes)/per
	return g
}

// simulateLoad simulates 30 s of load. A large, a medium and a small organisation in turn send
// 8.5 times their demand for 6 s, and another one sends half of its demand in addition, in one
// region. With faults, daemons are also isolated or killed.
func simulateLoad(f *fleet, demands []float64, faults bool) result {
	const start, end = 8 * second, 38 * second
	f.run(start)
	for o, d := range demands {
		f.generate(o, d, end, nil)
	}
	for i, o := range []int{0, 10, 40} {
		at := timekeeper.Millis(4+7*i) * second
		f.after(at, func() { f.generate(o, 7.5*demands[o], f.now+6*second, nil) })
	}
	f.after(2*second, func() { f.generate(1, demands[1]/2, f.now+6*second, func(d int) bool { return f.region(d) == 0 }) })
	if faults {
		f.after(10*second, func() { f.applyFault(0.3, f.isolate, 5*second) })
		f.after(20*second, func() { f.applyFault(0.5, f.kill, 2*second) })
		f.after(26*second, func() { f.kill(0) })
		f.after(27*second, func() { f.restore(0) })
	}
	f.run(end + second)
	return f.result(end - start)
}

// applyFault applies a fault to a share of the daemons, the leaders of two regions among them,
// and restores them later.
func (f *fleet) applyFault(share float64, do func(int), later timekeeper.Millis) {
	for d := range f.daemons {
		if d < 2 || f.random.Float64() < share {
			do(d)
			f.after(later, func() { f.restore(d) })
		}
	}
}

// strategies are all strategies to compare.
var strategies = map[string]func(*fleet) strategy{
	"allocator": func(f *fleet) strategy { return newAllocatorStrategy(f) },
	"equal":     func(f *fleet) strategy { return newEqualShares(f) },
	"demand":    func(f *fleet) strategy { return newDemandShares(f) },
}

// BenchmarkStrategies reports the cost and the violations of each strategy at three sizes,
// with the same seeds.
func BenchmarkStrategies(b *testing.B) {
	for _, n := range []int{10, 64, 300} {
		for _, faults := range []bool{false, true} {
			for _, name := range []string{"equal", "demand", "allocator"} {
				b.Run(fmt.Sprint(name, "/VMs=", n, "/faults=", faults), func(b *testing.B) {
					for b.Loop() {
						report(b, name, n, faults)
					}
				})
			}
		}
	}
}

func report(b *testing.B, name string, n int, faults bool) {
	const seeds = 3
	g := result{maxExcess: math.Inf(-1)}
	for seed := range uint64(seeds) {
		all, demands := organisations(74, 31*float64(n))
		f := newFleet(n, seed, all...)
		f.strategy = strategies[name](f)
		one := simulateLoad(f, demands, faults)
		g.requested, g.refusedWithinLimit = g.requested+one.requested, g.refusedWithinLimit+one.refusedWithinLimit
		g.maxExcess = max(g.maxExcess, one.maxExcess)
		g.messages, g.bytes = g.messages+one.messages/seeds, g.bytes+one.bytes/seeds
	}
	b.ReportMetric(100*float64(g.refusedWithinLimit)/float64(g.requested), "%below")
	b.ReportMetric(g.maxExcess, "above")
	b.ReportMetric(g.messages, "messages/VM/s")
	b.ReportMetric(g.bytes, "bytes/VM/s")
}

// TestWithinLimits simulates loads with hot organisations and faults at three sizes. No
// organisation may exceed its limit and tolerance, and without faults at most 0.1% of the
// requests within the limits may be refused.
func TestWithinLimits(t *testing.T) {
	for _, n := range []int{2, 10, 64} {
		for _, faults := range []bool{false, true} {
			t.Run(fmt.Sprint(n, " VMs, faults ", faults), func(t *testing.T) {
				is := is.New(t)
				all, demands := organisations(74, 31*float64(n))
				f := newFleet(n, 7, all...)
				f.strategy = newAllocatorStrategy(f)
				g := simulateLoad(f, demands, faults)
				is.True(g.maxExcess <= 0)
				if !faults {
					is.True(float64(g.refusedWithinLimit) <= 0.001*float64(g.requested))
				}
			})
		}
	}
}

// TestWithinLimitsUnderFaults simulates the load with faults for more seeds.
func TestWithinLimitsUnderFaults(t *testing.T) {
	for n, seeds := range map[int]uint64{10: 8, 64: 3} {
		for seed := range seeds {
			all, demands := organisations(74, 31*float64(n))
			f := newFleet(n, 100+seed, all...)
			f.strategy = newAllocatorStrategy(f)
			if g := simulateLoad(f, demands, true); g.maxExcess > 0 {
				t.Errorf("%d VMs, seed %d: an organisation was %.0f requests above what its limit tolerates", n, seed, g.maxExcess)
			}
		}
	}
}

// TestSmallLimits checks organisations with one request a second, with and without a burst.
func TestSmallLimits(t *testing.T) {
	is := is.New(t)
	all := normalized(
		&authenticator.Organisation{Name: "one", Limit: authenticator.Limit{PerSecond: 1}},
		&authenticator.Organisation{Name: "burst", Limit: authenticator.Limit{PerSecond: 1, Burst: 3}},
		&authenticator.Organisation{Name: "free"},
	)
	f := newFleet(64, 3, all...)
	f.strategy = newAllocatorStrategy(f)
	f.run(8 * second)
	for o := range all {
		f.generate(o, 20, 28*second, nil)
	}
	f.run(29 * second)
	is.True(f.maxExcess(0) <= 0 && f.maxExcess(1) <= 0)
	is.True(len(f.counts[0].admitted) >= 15) // of 20 in 20 s
	is.Equal(len(f.counts[2].admitted), len(f.counts[2].requested))
}

// TestTokensFollowCallersToAnotherRegion has all callers of an organisation move to one
// region. After a second nearly all of them must be served there, although the region's own
// share is a third.
func TestTokensFollowCallersToAnotherRegion(t *testing.T) {
	is := is.New(t)
	all := normalized(&authenticator.Organisation{Name: "o", Limit: authenticator.Limit{PerSecond: 160, Burst: 160}})
	f := newFleet(64, 5, all...)
	f.strategy = newAllocatorStrategy(f)
	f.run(8 * second)
	in := func(r int) func(int) bool { return func(d int) bool { return f.region(d) == r } }
	f.generate(0, 100, 13*second, in(1))
	f.run(13 * second)
	moved := f.now
	f.generate(0, 100, 20*second, in(2))
	f.run(21 * second)
	late := 0
	for _, at := range f.counts[0].refusedWithinLimit {
		if at > moved+second {
			late++
		}
	}
	is.True(len(f.counts[0].refusedWithinLimit) <= 10)
	is.Equal(late, 0)
}

// TestRefusedRequestsGetDistinctRetryTimes has many requests refused at once: each must get
// another retry time.
func TestRefusedRequestsGetDistinctRetryTimes(t *testing.T) {
	is := is.New(t)
	all := normalized(&authenticator.Organisation{Name: "o", Limit: authenticator.Limit{PerSecond: 20, Burst: 2}})
	core := limiter.Core{Tolerance: limiter.Tolerance{Window: 5 * second}}
	core.Observe(0, limiter.FleetView{Known: 1, Reachable: 1, IsAllocator: true})
	seen := map[timekeeper.Millis]bool{}
	admitted := 0
	for range 20 {
		var ticket limiter.Ticket
		core.Take(10*second, all[0], &ticket)
		if ticket.Verdict.Outcome == limiter.Admitted {
			admitted++
			continue
		}
		is.Equal(ticket.Verdict.Outcome, limiter.OverLimit)
		is.True(!seen[ticket.Verdict.After])
		seen[ticket.Verdict.After] = true
	}
	is.Equal(admitted, 2)
	is.True(seen[50] && seen[900]) // a token each 50 ms
}
