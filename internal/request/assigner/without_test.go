package assigner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// TestSwitchedOff plays the load that each mechanism answers and counts how often it acts:
// with all mechanisms it does, and without it never.
func TestSwitchedOff(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		acts      func(without switcher.Set) int
	}{
		{switcher.Moves, movesFromCrowded},
		{switcher.FormerHomes, formerHomes},
		{switcher.TightRoutes, loosestAway},
		{switcher.HomeRegions, keptNear},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.True(tt.acts(0) > 0)
			is.Equal(tt.acts(switcher.Of(tt.mechanism)), 0)
		})
	}
}

func (w *world) without(region string, s switcher.Set) *assigner.Assigner {
	a := w.assigner(region)
	a.Without = s
	return a
}

// movesFromCrowded returns how many keys leave a home that has all the load, by
// themselves and when asked to.
func movesFromCrowded(s switcher.Set) (moved int) {
	w := newWorld(4)
	a := w.without("east", s)
	hot := a.Home(key(0), toAnywhere, w.all).Upstream
	var kept []int
	for i := range 200 {
		if a.Home(key(i), toAnywhere, w.all).Upstream == hot {
			kept = append(kept, i)
		}
	}
	for n := range 500 {
		w.now += 10
		a.Home(key(kept[n%len(kept)]), toAnywhere, w.all)
	}
	for _, i := range kept {
		if a.Home(key(i), toAnywhere, w.all).Upstream != hot {
			moved++
		}
	}
	w.now += 10_000
	for _, u := range w.all {
		if u != a.Home(key(0), toAnywhere, w.all).Upstream && a.Move(key(0), u).Upstream != nil {
			moved++
		}
	}
	return moved
}

// formerHomes returns how many upstreams are known to have run a key beside its home.
func formerHomes(s switcher.Set) int {
	w := newWorld(8)
	a := w.without("east", s)
	home := a.Home(key(1), toAnywhere, w.all).Upstream
	for _, u := range w.all {
		if u != home {
			a.Visit(key(1), u)
		}
	}
	return len(a.Former(nil, key(1), w.all, anywhere))
}

// loosestAway returns 1 if no key of the loosest route stays in a small region that can
// carry the tightest one only.
func loosestAway(s switcher.Set) int {
	w := newWorld(2, 7, 7)
	a := w.without("east", s)
	tight := assigner.Request{Service: "s", Route: "tight", Objective: 250, Allowed: anywhere}
	loose := assigner.Request{Service: "s", Route: "loose", Objective: 400, Allowed: anywhere}
	stays := func(u *cataloger.Upstream) bool { return u.Site.Region() == "east" }
	for i := range 4000 {
		w.now += 5
		r := tight
		if i%2 == 0 {
			r = loose
		}
		if stays(a.Home(key(i), r, w.all).Upstream) && i >= 1000 && i%2 == 0 {
			return 0
		}
	}
	return 1
}

// keptNear returns 1 if all keys live in the region of their callers.
func keptNear(s switcher.Set) int {
	w := newWorld(8, 8, 8)
	a := w.without("east", s)
	for i := range 100 {
		if a.Home(key(i), toAnywhere, w.all).Upstream.Site.Region() != "east" {
			return 0
		}
	}
	return 1
}
