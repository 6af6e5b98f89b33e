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

// fixture holds a simulated clock and upstreams.
type fixture struct {
	now timekeeper.Millis
	all []*cataloger.Upstream
}

// newFixture returns a fixture with the given number of upstreams in each region.
func newFixture(counts ...int) *fixture {
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
	all := slices.Collect(c.Current().ByService("s").All())
	slices.SortFunc(all, func(x, y *cataloger.Upstream) int { return cmp.Compare(x.ID, y.ID) })
	return &fixture{all: all}
}

func (f *fixture) clock() timekeeper.Clock {
	return timekeeper.Clock{Monotonic: func() timekeeper.Millis { return f.now }}
}

func (f *fixture) assigner(region string) *assigner.Assigner {
	return &assigner.Assigner{Region: region, Regions: regions, Clock: f.clock()}
}

func anyRegion(string) bool { return true }

func anySite(registrar.Site) bool { return true }

// anyRequest is a request of the only route, allowed in all regions.
var anyRequest = assigner.Request{Service: "s", Route: "r", Objective: 500, Allowed: anyRegion}

func key(i int) hasher.Hash { return hasher.OfString(fmt.Sprint("key", i)) }

// maxToMeanRatio returns the maximum number of keys on one upstream divided by the mean.
func maxToMeanRatio(all []*cataloger.Upstream, keys int, home func(hasher.Hash) *cataloger.Upstream) float64 {
	n, maximum := map[*cataloger.Upstream]int{}, 0
	for i := range keys {
		u := home(key(i))
		n[u]++
		maximum = max(maximum, n[u])
	}
	return float64(maximum) * float64(len(all)) / float64(keys)
}

// TestNewKeysAreSpreadEvenly assigns 450 keys to 24 upstreams. By hash alone, the fullest
// upstream has more than 1.35 times the mean; with homes, less than 1.25.
func TestNewKeysAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 8, 8)
	byHash := maxToMeanRatio(f.all, 450, func(k hasher.Hash) *cataloger.Upstream {
		return placer.Candidates(nil, k, cataloger.NewPool(f.all), anySite)[0]
	})
	of := map[string]*assigner.Assigner{}
	for _, r := range regions {
		of[r] = f.assigner(r)
	}
	i := 0
	byHome := maxToMeanRatio(f.all, 450, func(k hasher.Hash) *cataloger.Upstream {
		i++
		return of[regions[i%len(regions)]].Home(k, anyRequest, cataloger.NewPool(f.all)).Upstream
	})
	t.Logf("most over mean: by hash %.2f, with homes %.2f", byHash, byHome)
	is.True(byHash > 1.35)
	is.True(byHome < 1.25)
}

// TestSmallRegionKeepsKeysInProportionToSlots checks that a region with few upstreams keeps
// the share of its keys that they can serve.
func TestSmallRegionKeepsKeysInProportionToSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 10, 12)
	local := func(region string) (n int) {
		a := f.assigner(region)
		for i := range 600 {
			if a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream.Site.Region() == region {
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
	f := newFixture(8, 8, 8)
	a := f.assigner("east")
	first := map[int]*cataloger.Upstream{}
	for i := range 50 {
		first[i] = a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream
	}
	for range 200 {
		f.now += 20
		for i := range 50 {
			is.Equal(a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream, first[i])
		}
	}
}

func TestHomeMovesWhenItsUpstreamIsGone(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	a := f.assigner("east")
	gone := a.Home(key(1), anyRequest, cataloger.NewPool(f.all)).Upstream
	var rest []*cataloger.Upstream
	for _, u := range f.all {
		if u != gone {
			rest = append(rest, u)
		}
	}
	next := a.Home(key(1), anyRequest, cataloger.NewPool(rest)).Upstream
	is.True(next != gone)
	// The key stays when the former home returns: moving back would cost a second uncached
	// run.
	is.Equal(a.Home(key(1), anyRequest, cataloger.NewPool(f.all)).Upstream, next)
}

// TestKeysMoveFromCrowdedHomeAtLimitedRate checks that keys move from an overloaded upstream,
// but only a few each second.
func TestKeysMoveFromCrowdedHomeAtLimitedRate(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	a := f.assigner("east")
	var hot *cataloger.Upstream
	var kept []int
	for i := range 200 {
		u := a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream
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
			f.now += 10
			a.Home(key(kept[turn%len(kept)]), anyRequest, cataloger.NewPool(f.all))
			turn++
		}
		for _, i := range kept {
			if a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream != hot {
				n++
			}
		}
		return n
	}
	is.True(moved(1) <= 7) // three at once and three a second
	is.True(moved(20) > 10)
	is.True(moved(1) < len(kept))
}

func TestDaemonsAgreeOnHomes(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, 8, 8)
	a, b := f.assigner("east"), f.assigner("east")
	a.Announce = func(l []assigner.Assignment) { b.Merge(l) }
	b.Announce = func(l []assigner.Assignment) { a.Merge(l) }
	for i := range 200 {
		first, second := a, b
		if i%2 == 1 {
			first, second = b, a
		}
		is.Equal(first.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream, second.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream)
	}
	// Homes assigned concurrently on both sides converge.
	c, d := f.assigner("east"), f.assigner("east")
	var ofC, ofD []assigner.Assignment
	c.Announce = func(l []assigner.Assignment) { ofC = append(ofC, l...) }
	d.Announce = func(l []assigner.Assignment) { ofD = append(ofD, l...) }
	for i := range 50 {
		c.Home(key(i), anyRequest, cataloger.NewPool(f.all))
		d.Home(key(49-i), anyRequest, cataloger.NewPool(f.all))
	}
	c.Merge(ofD)
	d.Merge(ofC)
	for i := range 50 {
		is.Equal(c.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream, d.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Upstream)
	}
}

// BenchmarkForget measures a pass over the maximum number of keys.
func BenchmarkForget(b *testing.B) {
	f := newFixture(24)
	a := f.assigner("east")
	for i := range assigner.MaxKeys {
		a.Home(key(i), anyRequest, cataloger.NewPool(f.all))
	}
	for b.Loop() {
		a.Forget()
	}
}

// BenchmarkHome measures the lookup of an existing home.
func BenchmarkHome(b *testing.B) {
	for _, n := range []int{24, 621, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(n)
			a := f.assigner("east")
			k, all := key(1), cataloger.NewPool(f.all)
			for b.Loop() {
				a.Home(k, anyRequest, all)
			}
		})
	}
}

// TestKeysReturnToFormerHomes takes the upstreams of two failure domains away in turn and
// returns them, as planned maintenance does. From the second time on, keys that must leave
// their home find upstreams that know them: only a few of 200 keys run uncached, while without
// former homes all that leave do.
func TestKeysReturnToFormerHomes(t *testing.T) {
	is := is.New(t)
	f := newFixture(16)
	a := f.assigner("east")
	a.Regions = []string{"east"}
	ran := map[hasher.Hash]map[*cataloger.Upstream]bool{}
	// runAll runs all keys on the given upstreams and returns how many ran on one for the first
	// time.
	runAll := func(all []*cataloger.Upstream) (uncached int) {
		for i := range 200 {
			f.now += 5
			u := a.Home(key(i), anyRequest, cataloger.NewPool(all)).Upstream
			if !ran[key(i)][u] {
				uncached++
			}
			if ran[key(i)] == nil {
				ran[key(i)] = map[*cataloger.Upstream]bool{}
			}
			ran[key(i)][u] = true
		}
		return uncached
	}
	first, second := f.all[:8], f.all[8:]
	is.Equal(runAll(f.all), 200)
	displaced := runAll(first) // about half of the keys had their home in second
	is.True(displaced > 60)
	runAll(f.all)
	runAll(second)
	runAll(f.all)
	is.True(runAll(first) <= displaced/4)
	runAll(f.all)
	is.True(runAll(second) <= displaced/4)
}

// TestRecordVisitKeepsLatestUpstreams records more runs at other upstreams than are kept. The
// latest ones are kept, without the home and without duplicates.
func TestRecordVisitKeepsLatestUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFixture(8)
	a := f.assigner("east")
	h := a.Home(key(1), anyRequest, cataloger.NewPool(f.all)).Upstream
	var others []*cataloger.Upstream
	for _, u := range f.all {
		if u != h {
			others = append(others, u)
		}
	}
	a.RecordVisit(key(1), h) // the home itself is not recorded
	is.Equal(len(a.Former(nil, key(1), cataloger.NewPool(f.all), anyRegion)), 0)
	for _, u := range others[:4] {
		a.RecordVisit(key(1), u)
	}
	a.RecordVisit(key(1), others[2])
	is.Equal(a.Former(nil, key(1), cataloger.NewPool(f.all), anyRegion), []*cataloger.Upstream{others[2], others[3], others[1]})
	is.Equal(a.Former(nil, key(1), cataloger.NewPool(f.all), func(string) bool { return false }), nil)
	is.Equal(a.Former(nil, key(2), cataloger.NewPool(f.all), anyRegion), nil)
}

// TestTightestRouteStaysInCallersRegion has a region with 2 of 16 upstreams and a third of the
// callers, who use three routes, the tightest one the least. All keys of the tightest route
// have their home in the region, those of the loosest in others, and no more of the work stays
// than the region can serve.
func TestTightestRouteStaysInCallersRegion(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, 7, 7)
	a := f.assigner("east")
	routes := []struct {
		request assigner.Request
		asked   int
	}{
		{assigner.Request{Service: "s", Route: "confirm", Objective: 250, Allowed: anyRegion}, 1},
		{assigner.Request{Service: "s", Route: "fetch", Objective: 300, Allowed: anyRegion}, 6},
		{assigner.Request{Service: "s", Route: "publish", Objective: 400, Allowed: anyRegion}, 3},
	}
	asked, near, work, nearWork := map[string]int{}, map[string]int{}, 0.0, 0.0
	for i := range 4000 {
		f.now += 5
		at := i % 10
		for _, r := range routes {
			if at -= r.asked; at >= 0 {
				continue
			}
			stays := a.Home(key(i), r.request, cataloger.NewPool(f.all)).Upstream.Site.Region() == "east"
			if i < 1000 {
				break // the demand of the routes is not known at first
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

// regionChecksOfNewKeys returns how often it is asked whether a new key may have its home in a region,
// among n upstreams.
func regionChecksOfNewKeys(n int) float64 {
	const keys = 2000
	f := newFixture(n/3, n/3, n/3)
	all := cataloger.NewPool(f.all)
	a := f.assigner("east")
	checks := 0
	r := anyRequest
	r.Allowed = func(string) bool {
		checks++
		return true
	}
	for i := range keys {
		a.Home(key(i), r, all)
	}
	return float64(checks) / keys
}

// TestNewHomeCostDoesNotGrowWithUpstreams guards against requests whose work is proportional to the
// upstreams of their service.
func TestNewHomeCostDoesNotGrowWithUpstreams(t *testing.T) {
	is := is.New(t)
	n, twice := regionChecksOfNewKeys(4500), regionChecksOfNewKeys(9000)
	t.Logf("%.1f and %.1f checks a new key", n, twice)
	is.True(twice < 1.2*n)
}
