package assigner_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

var regions = []string{"east", "north", "west"}

// world is a clock, upstreams and an assigner.
type world struct {
	now timekeeper.Millis
	all []*cataloger.Upstream
}

// newWorld has the given number of upstreams in each region.
func newWorld(counts ...int) *world {
	var c cataloger.Catalog
	for r, n := range counts {
		for i := range n {
			c.Put(cataloger.Upstream{
				ID:      cataloger.UpstreamID(fmt.Sprint(regions[r], i)),
				Service: "s",
				Site:    registrar.Site(regions[r] + "/a"),
				Slots:   6,
			})
		}
	}
	all := c.Current().Of("s")
	slices.SortFunc(all, func(x, y *cataloger.Upstream) int { return cmp.Compare(x.ID, y.ID) })
	return &world{all: all}
}

func (w *world) clock() timekeeper.Clock {
	return timekeeper.Clock{Monotonic: func() timekeeper.Millis { return w.now }}
}

func (w *world) assigner(region string) *assigner.Assigner {
	return &assigner.Assigner{Region: region, Regions: regions, Clock: w.clock()}
}

func anywhere(string) bool { return true }

// toAnywhere is a request of the only route there is.
var toAnywhere = assigner.Request{Service: "s", Route: "r", Objective: 500, Allowed: anywhere}

func key(i int) hasher.Hash { return hasher.OfString(fmt.Sprint("key", i)) }

// spreadOf returns the most keys on one upstream over the mean.
func spreadOf(all []*cataloger.Upstream, keys int, home func(hasher.Hash) *cataloger.Upstream) float64 {
	n, most := map[*cataloger.Upstream]int{}, 0
	for i := range keys {
		u := home(key(i))
		n[u]++
		most = max(most, n[u])
	}
	return float64(most) * float64(len(all)) / float64(keys)
}

// The load: 450 keys on 24 upstreams. By hash alone the fullest upstream has 1.4
// times the mean and more; with homes less than 1.25.
func TestNewKeysAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 8, 8)
	byHash := spreadOf(w.all, 450, func(k hasher.Hash) *cataloger.Upstream {
		return placer.List(nil, k, w.all, anywhere)[0]
	})
	of := map[string]*assigner.Assigner{}
	for _, r := range regions {
		of[r] = w.assigner(r)
	}
	i := 0
	byHome := spreadOf(w.all, 450, func(k hasher.Hash) *cataloger.Upstream {
		i++
		return of[regions[i%len(regions)]].Home(k, toAnywhere, w.all).Upstream
	})
	t.Logf("most over mean: by hash %.2f, with homes %.2f", byHash, byHome)
	is.True(byHash > 1.35)
	is.True(byHome < 1.25)
}

// A region with few upstreams keeps the part of its keys that they can carry.
func TestRegionKeepsWhatItCarries(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 10, 12)
	local := func(region string) (n int) {
		a := w.assigner(region)
		for i := range 600 {
			if a.Home(key(i), toAnywhere, w.all).Upstream.Site.Region() == region {
				n++
			}
		}
		return n
	}
	is.Equal(local("north"), 600)
	is.Equal(local("west"), 600)
	small := local("east")
	is.True(small > 120 && small < 180) // a quarter: 2 of 24 of the slots for a third of the load
}

func TestHomeStays(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 8, 8)
	a := w.assigner("east")
	first := map[int]*cataloger.Upstream{}
	for i := range 50 {
		first[i] = a.Home(key(i), toAnywhere, w.all).Upstream
	}
	for range 200 {
		w.now += 20
		for i := range 50 {
			is.Equal(a.Home(key(i), toAnywhere, w.all).Upstream, first[i])
		}
	}
}

func TestHomeMovesWhenItsUpstreamIsGone(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	a := w.assigner("east")
	gone := a.Home(key(1), toAnywhere, w.all).Upstream
	var rest []*cataloger.Upstream
	for _, u := range w.all {
		if u != gone {
			rest = append(rest, u)
		}
	}
	next := a.Home(key(1), toAnywhere, rest).Upstream
	is.True(next != gone)
	// It does not move back when the other returns: that would cost a second
	// run without memory.
	is.Equal(a.Home(key(1), toAnywhere, w.all).Upstream, next)
}

// A hot upstream gives keys away, no more than a few in a second.
func TestCrowdedHomeGivesKeysAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	a := w.assigner("east")
	var hot *cataloger.Upstream
	var kept []int
	for i := range 200 {
		u := a.Home(key(i), toAnywhere, w.all).Upstream
		if hot == nil {
			hot = u
		}
		if u == hot {
			kept = append(kept, i)
		}
	}
	// All load is on the keys of one upstream.
	turn := 0
	moved := func(seconds int) (n int) {
		for range seconds * 100 {
			w.now += 10
			a.Home(key(kept[turn%len(kept)]), toAnywhere, w.all)
			turn++
		}
		for _, i := range kept {
			if a.Home(key(i), toAnywhere, w.all).Upstream != hot {
				n++
			}
		}
		return n
	}
	is.True(moved(1) <= 7) // three at once and three a second
	is.True(moved(20) > 10)
	is.True(moved(1) < len(kept))
}

func TestDaemonsAgree(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, 8, 8)
	a, b := w.assigner("east"), w.assigner("east")
	a.Announce = func(l []assigner.Assignment) { b.Learn(l) }
	b.Announce = func(l []assigner.Assignment) { a.Learn(l) }
	for i := range 200 {
		first, second := a, b
		if i%2 == 1 {
			first, second = b, a
		}
		is.Equal(first.Home(key(i), toAnywhere, w.all).Upstream, second.Home(key(i), toAnywhere, w.all).Upstream)
	}
	// Homes chosen at the same moment on both sides converge.
	c, d := w.assigner("east"), w.assigner("east")
	var ofC, ofD []assigner.Assignment
	c.Announce = func(l []assigner.Assignment) { ofC = append(ofC, l...) }
	d.Announce = func(l []assigner.Assignment) { ofD = append(ofD, l...) }
	for i := range 50 {
		c.Home(key(i), toAnywhere, w.all)
		d.Home(key(49-i), toAnywhere, w.all)
	}
	c.Learn(ofD)
	d.Learn(ofC)
	for i := range 50 {
		is.Equal(c.Home(key(i), toAnywhere, w.all).Upstream, d.Home(key(i), toAnywhere, w.all).Upstream)
	}
}

// Looking through the most keys that are kept.
func BenchmarkForget(b *testing.B) {
	w := newWorld(24)
	a := w.assigner("east")
	for i := range assigner.MaxKeys {
		a.Home(key(i), toAnywhere, w.all)
	}
	for b.Loop() {
		a.Forget()
	}
}

// The home of a key that has one.
func BenchmarkHome(b *testing.B) {
	for _, n := range []int{24, 96, 621} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld(n)
			a := w.assigner("east")
			k := key(1)
			for b.Loop() {
				a.Home(k, toAnywhere, w.all)
			}
		})
	}
}

// The load: two failure domains in turn give up their upstreams and get them back, as
// planned work does. Keys that had to leave once find upstreams that know them from the
// second time on: of 200 keys a few run anew, where without a memory of former homes all
// that leave do.
func TestKeysGoBackToWhereTheyAreKnown(t *testing.T) {
	is := is.New(t)
	w := newWorld(16)
	a := w.assigner("east")
	a.Regions = []string{"east"}
	ran := map[hasher.Hash]map[*cataloger.Upstream]bool{}
	// ask runs all keys on what is left and returns how many ran where they never had.
	ask := func(all []*cataloger.Upstream) (anew int) {
		for i := range 200 {
			w.now += 5
			u := a.Home(key(i), toAnywhere, all).Upstream
			if !ran[key(i)][u] {
				anew++
			}
			if ran[key(i)] == nil {
				ran[key(i)] = map[*cataloger.Upstream]bool{}
			}
			ran[key(i)][u] = true
		}
		return anew
	}
	first, second := w.all[:8], w.all[8:]
	is.Equal(ask(w.all), 200)
	left := ask(first) // about half of them lived in the second
	is.True(left > 60)
	ask(w.all)
	ask(second)
	ask(w.all)
	is.True(ask(first) <= left/4)
	ask(w.all)
	is.True(ask(second) <= left/4)
}

// TestVisitsAreRemembered has keys run beside their home, more often than is kept.
func TestVisitsAreRemembered(t *testing.T) {
	is := is.New(t)
	w := newWorld(8)
	a := w.assigner("east")
	h := a.Home(key(1), toAnywhere, w.all).Upstream
	var others []*cataloger.Upstream
	for _, u := range w.all {
		if u != h {
			others = append(others, u)
		}
	}
	a.Visit(key(1), h) // its home is none
	is.Equal(len(a.Former(nil, key(1), w.all, anywhere)), 0)
	for _, u := range others[:4] {
		a.Visit(key(1), u)
	}
	a.Visit(key(1), others[2])
	is.Equal(a.Former(nil, key(1), w.all, anywhere), []*cataloger.Upstream{others[2], others[3], others[1]})
	is.Equal(a.Former(nil, key(1), w.all, func(string) bool { return false }), nil)
	is.Equal(a.Former(nil, key(2), w.all, anywhere), nil)
}

// The load: a region with 2 of 16 upstreams and a third of the callers, who ask by three
// routes, the tightest the least often. All keys of the tightest route live in the region,
// the loosest go elsewhere, and no more of the work stays than the region carries.
func TestTightRoutesStayNear(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 7, 7)
	a := w.assigner("east")
	routes := []struct {
		request assigner.Request
		asked   int
	}{
		{assigner.Request{Service: "s", Route: "confirm", Objective: 250, Allowed: anywhere}, 1},
		{assigner.Request{Service: "s", Route: "fetch", Objective: 300, Allowed: anywhere}, 6},
		{assigner.Request{Service: "s", Route: "publish", Objective: 400, Allowed: anywhere}, 3},
	}
	asked, near, work, nearWork := map[string]int{}, map[string]int{}, 0.0, 0.0
	for i := range 4000 {
		w.now += 5
		at := i % 10
		for _, r := range routes {
			if at -= r.asked; at >= 0 {
				continue
			}
			stays := a.Home(key(i), r.request, w.all).Upstream.Site.Region() == "east"
			if i < 1000 {
				break // what routes there are is not known at first
			}
			asked[r.request.Route]++
			work += float64(r.request.Objective)
			if stays {
				near[r.request.Route]++
				nearWork += float64(r.request.Objective)
			}
			break
		}
	}
	is.Equal(near["confirm"], asked["confirm"])
	is.True(near["fetch"] > asked["fetch"]/3)
	is.Equal(near["publish"], 0)
	carried := 3.0 * 2 / 16
	is.True(nearWork/work > carried-0.05 && nearWork/work < carried+0.05)
}
