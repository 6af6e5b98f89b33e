package assigner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// TestMechanismsSwitchedOff applies the load that each mechanism handles and counts how often
// it acts: more than never with all mechanisms, never without it.
func TestMechanismsSwitchedOff(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		acts      func(without switcher.Set) int
	}{
		{switcher.Moves, countMoves},
		{switcher.FormerHomes, countFormerHomes},
		{switcher.TightRoutes, loosestRouteLeaves},
		{switcher.HomeRegions, allKeysLocal},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.True(tt.acts(0) > 0)
			is.Equal(tt.acts(switcher.Of(tt.mechanism)), 0)
		})
	}
}

func (f *fixture) assignerWithout(region string, s switcher.Set) *assigner.Assigner {
	a := f.assigner(region)
	a.Without = s
	return a
}

// countMoves returns how many keys leave a home that has all the load, by relief and by Move.
func countMoves(s switcher.Set) (moved int) {
	f := newFixture(4)
	a := f.assignerWithout("east", s)
	hot := a.Home(key(0), anyRequest, cataloger.NewPool(f.all)).Upstream
	var kept []int
	for i := range 200 {
		if a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream == hot {
			kept = append(kept, i)
		}
	}
	for n := range 500 {
		f.now += 10
		a.Home(key(kept[n%len(kept)]), anyRequest, cataloger.NewPool(f.all))
	}
	for _, i := range kept {
		if a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream != hot {
			moved++
		}
	}
	f.now += 10_000
	for _, u := range f.all {
		if u != a.Home(key(0), anyRequest, cataloger.NewPool(f.all)).Upstream && a.Move(key(0), u).Upstream != nil {
			moved++
		}
	}
	return moved
}

// countFormerHomes returns how many former homes of a key are known after it ran at all other
// upstreams.
func countFormerHomes(s switcher.Set) int {
	f := newFixture(8)
	a := f.assignerWithout("east", s)
	home := a.Home(key(1), anyRequest, cataloger.NewPool(f.all)).Upstream
	for _, u := range f.all {
		if u != home {
			a.RecordVisit(key(1), u)
		}
	}
	return len(a.Former(nil, key(1), cataloger.NewPool(f.all), anyRegion))
}

// loosestRouteLeaves returns 1 if no key of the loosest route stays in a small region that can
// serve only the tightest one.
func loosestRouteLeaves(s switcher.Set) int {
	f := newFixture(2, 7, 7)
	a := f.assignerWithout("east", s)
	tight := assigner.Request{Service: "s", Route: "tight", Objective: 250, Allowed: anyRegion}
	loose := assigner.Request{Service: "s", Route: "loose", Objective: 400, Allowed: anyRegion}
	stays := func(u *cataloger.Upstream) bool { return u.Site.Region() == "east" }
	for i := range 4000 {
		f.now += 5
		r := tight
		if i%2 == 0 {
			r = loose
		}
		if stays(a.Home(key(i), r, cataloger.NewPool(f.all)).Upstream) && i >= 1000 && i%2 == 0 {
			return 0
		}
	}
	return 1
}

// allKeysLocal returns 1 if all keys have their home in the region of their callers.
func allKeysLocal(s switcher.Set) int {
	f := newFixture(8, 8, 8)
	a := f.assignerWithout("east", s)
	for i := range 100 {
		if a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream.Site.Region() != "east" {
			return 0
		}
	}
	return 1
}
