package planner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const service = "s"

// fixture drives a Mover with settings, load and time that the test controls.
type fixture struct {
	tree  resolver.Tree
	mover planner.Mover
	last  planner.Plan
	load  planner.Load
	now   timekeeper.Millis
}

// newFixture returns three regions of two sites each; a site has servers × 4 slots.
func newFixture(servers int) *fixture {
	var edits []resolver.Edit
	for i, r := range []string{"p", "q", "r"} {
		for j, d := range []string{"a", "b"} {
			var list []string
			for n := range servers {
				list = append(list, fmt.Sprintf("10.0.%d.%d:80", 2*i+j, n))
			}
			edits = append(edits, resolver.Edit{Path: r + "/" + d + ":" + service, Key: resolver.KeyUpstreams, Value: resolver.Value(strings.Join(list, ","))})
		}
	}
	tree, problems := resolver.Tree{}.Apply(edits)
	if len(problems) > 0 {
		panic(problems)
	}
	f := &fixture{tree: tree, now: 1000}
	f.load.Work = map[resolver.ServiceName]planner.Demand{service: {}}
	return f
}

func (f *fixture) set(edits ...resolver.Edit) {
	next, problems := f.tree.Apply(edits)
	if len(problems) > 0 {
		panic(problems)
	}
	f.tree = next
}

func (f *fixture) input(inForce bool) planner.Input {
	return planner.Input{
		Settings: f.tree.Resolve(),
		Last:     f.last,
		InForce:  inForce,
		Load:     f.load,
		Now:      f.now,
		Wall:     f.now,
	}
}

// step runs one step and returns the plan before it.
func (f *fixture) step(inForce bool) planner.Plan {
	before := f.last
	next, _ := f.mover.Step(f.input(inForce))
	f.last = next
	f.now += 500
	return before
}

func (f *fixture) share(p planner.Plan, origin, site registrar.Site) float64 {
	d, _ := p.Route(service, origin)
	return d.Of(string(site)).Fraction()
}

func (f *fixture) regionShare(p planner.Plan, origin registrar.Site, region string) float64 {
	var t float64
	for _, s := range f.tree.Resolve().Sites {
		if s.Region() == region {
			t += f.share(p, origin, s)
		}
	}
	return t
}

func TestDrainEmptiesASite(t *testing.T) {
	is := is.New(t)
	f := newFixture(5)
	f.step(true)
	is.Equal(f.share(f.last, "p/a", "p/b"), 0.5)
	f.set(resolver.Edit{Path: "p/b", Key: resolver.KeyDrain, Value: "true"})
	start := f.now
	for f.share(f.last, "p/a", "p/b") > 0 {
		f.step(true)
		is.True(f.now-start < 20*timekeeper.Second) // the drain completes
	}
	is.Equal(f.share(f.last, "p/a", "p/a"), 1.0)
}

// TestNothingMovesWithoutMeasurements starts a drain while a region has no recent
// measurement, and then while the last plan is not in force on all daemons.
func TestNothingMovesWithoutMeasurements(t *testing.T) {
	is := is.New(t)
	f := newFixture(5)
	f.step(true)
	f.set(resolver.Edit{Path: "p/b", Key: resolver.KeyDrain, Value: "true"})
	f.load.Stale = []string{"q"}
	number := f.last.Number
	for range 20 {
		f.step(true)
	}
	is.Equal(f.last.Number, number)
	is.True(strings.Contains(f.last.Holds[0].Reason, "no fresh measurement from q"))
	f.load.Stale = nil
	for range 20 {
		f.step(false) // the last plan is not in force on all daemons
	}
	is.Equal(f.last.Number, number)
}

func TestDrainStopsBeforeOverload(t *testing.T) {
	is := is.New(t)
	f := newFixture(5) // 20 slots per site, at most 17 in use
	for _, s := range f.tree.Resolve().Sites {
		f.load.Work[service][s] = 16
	}
	f.step(true)
	f.set(resolver.Edit{Path: "p/b", Key: resolver.KeyDrain, Value: "true"})
	for range 40 {
		f.step(true)
	}
	is.True(f.share(f.last, "p/a", "p/b") > 0.4)
	is.True(len(f.last.Holds) > 0)
	is.True(strings.Contains(f.last.Holds[0].Reason, "of the 17 slots it may fill"))
	is.True(len(planner.Check(f.tree.Resolve(), f.load, f.now)) > 0)
}

func TestSpilloverUsesOtherRegions(t *testing.T) {
	is := is.New(t)
	f := newFixture(5)
	for _, s := range f.tree.Resolve().Sites {
		f.load.Work[service][s] = 10
	}
	f.step(true)
	f.set(resolver.Edit{Path: "p/b", Key: resolver.KeyDrain, Value: "true"})
	for range 60 {
		f.step(true)
	}
	is.Equal(f.share(f.last, "p/a", "p/b"), 0.0)
	is.Equal(len(f.last.Holds), 0)
	is.True(f.regionShare(f.last, "p/a", "q") > 0.05)
	is.Equal(len(planner.Check(f.tree.Resolve(), f.load, f.now)), 0)
}

// TestRemovedShiftRestoresPlan removes a shift and expects the plan that preceded it.
func TestRemovedShiftRestoresPlan(t *testing.T) {
	is := is.New(t)
	f := newFixture(5)
	f.step(true)
	before := f.last.Routes
	shift := []resolver.Edit{
		{Path: "p:s", Key: resolver.KeyShiftTo, Value: "q"},
		{Path: "p:s", Key: resolver.KeyShiftShare, Value: "30%"},
		{Path: "p:s", Key: resolver.KeyShiftCap, Value: "120%/min"},
	}
	undo := f.tree.Inverse(shift)
	f.set(shift...)
	for range 60 {
		f.step(true)
	}
	is.True(f.regionShare(f.last, "p/a", "q") > 0.299)
	f.set(undo...)
	for range 60 {
		f.step(true)
	}
	is.Equal(f.last.Routes, before)
	is.Equal(len(f.last.Shifts), 0)
}

// TestMixOfPlansStaysWithinLimits generates loads, shifts, drains, pauses and delayed
// acknowledgements of plans. After each step, with daemons on any mix of the last plan
// and the next, no site that gains traffic may exceed its limit, and no shift may move
// more per minute than its cap.
func TestMixOfPlansStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 6).Draw(t, "servers"))
		sites := f.tree.Resolve().Sites
		for _, s := range sites {
			f.load.Work[service][s] = float64(rapid.IntRange(0, 24).Draw(t, "work"))
		}
		f.step(true)
		limit := rapid.IntRange(1, 600).Draw(t, "cap")
		f.set(
			resolver.Edit{Path: "p:s", Key: resolver.KeyShiftTo, Value: "q"},
			resolver.Edit{Path: "p:s", Key: resolver.KeyShiftShare, Value: resolver.Value(fmt.Sprintf("%d%%", rapid.IntRange(1, 100).Draw(t, "share")))},
			resolver.Edit{Path: "p:s", Key: resolver.KeyShiftCap, Value: resolver.Value(fmt.Sprintf("%d%%/min", limit))},
		)
		var moved []progressAt
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 30).Draw(t, "operator") == 0 {
				path := string(rapid.SampledFrom(sites).Draw(t, "site"))
				on := rapid.Bool().Draw(t, "drain")
				e := resolver.Edit{Path: path, Key: resolver.KeyDrain, Unset: !on}
				if on {
					e.Value = "true"
				}
				f.set(e)
			}
			if rapid.IntRange(0, 20).Draw(t, "pause") == 0 {
				f.now += timekeeper.Millis(rapid.IntRange(0, 90000).Draw(t, "length"))
			}
			before := f.step(rapid.IntRange(0, 3).Draw(t, "in force") > 0)
			checkLimits(t, f, before)
			p := f.last.Shift(service, "p", "q")
			moved = checkCap(t, append(moved, progressAt{f.now, p.Moved}), float64(limit)/100)
		}
	})
}

type progressAt struct {
	at    timekeeper.Millis
	moved float64
}

// checkCap compares the last progress with every earlier one of the last minute, and
// returns those of the last minute.
func checkCap(t *rapid.T, moved []progressAt, limit float64) []progressAt {
	last := moved[len(moved)-1]
	for len(moved) > 1 && last.at-moved[0].at > timekeeper.Minute {
		moved = moved[1:]
	}
	if d := last.moved - moved[0].moved; d > limit*1.0001 {
		t.Fatalf("%.3f moved in %s, cap %.3f", d, last.at-moved[0].at, limit)
	}
	return moved
}

func checkLimits(t *rapid.T, f *fixture, before planner.Plan) {
	r := f.tree.Resolve()
	for _, site := range r.Sites {
		var was, mixed float64
		rises := false
		for origin, work := range f.load.Work[service] {
			a, b := f.share(before, origin, site), f.share(f.last, origin, site)
			was += work * a
			mixed += work * max(a, b)
			rises = rises || b > a
		}
		s := r.At(site, service)
		limit := float64(s.Capacity()) * s.Limit
		if rises && mixed > limit*1.0001+0.001 {
			t.Fatalf("%s: %.2f slots in use, %.2f before, limit %.2f", site, mixed, was, limit)
		}
	}
}

func BenchmarkStep(b *testing.B) {
	for _, sites := range []int{6, 25, 75} {
		b.Run(fmt.Sprint(sites), func(b *testing.B) {
			var edits []resolver.Edit
			for i := range sites {
				edits = append(edits, resolver.Edit{
					Path: fmt.Sprintf("r%d/d%d:s", i%7, i), Key: resolver.KeyUpstreams,
					Value: resolver.Value(fmt.Sprintf("10.1.%d.1:80,10.1.%d.2:80", i, i)),
				})
			}
			tree, problems := resolver.Tree{}.Apply(edits)
			if len(problems) > 0 {
				b.Fatal(problems)
			}
			var m planner.Mover
			in := planner.Input{Settings: tree.Resolve(), InForce: true}
			in.Last, _ = m.Step(in)
			body, err := in.Last.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				in.Now += 500
				m.Step(in)
			}
			b.ReportMetric(float64(len(body)), "plan-bytes")
		})
	}
}
