package cataloger_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// filled returns a catalog of n upstreams at nine sites.
func filled(n int) *cataloger.Catalog {
	var c cataloger.Catalog
	c.Batch(func() {
		for i := range n {
			c.Put(placed(i))
		}
	})
	return &c
}

// placed returns an upstream at one of nine sites.
func placed(i int) cataloger.Upstream {
	u := upstream(i)
	u.Site = registrar.Site(fmt.Sprintf("r%d/d%d", i%3, i%9))
	return u
}

// bytesPerChange returns the bytes that are allocated for each change of one upstream among n.
func bytesPerChange(n int) float64 {
	const changes = 1000
	c := filled(n)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		u := placed(i)
		u.Slots = 7
		c.Put(u)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / changes
}

// TestChangeCostDoesNotGrowWithUpstreams guards against snapshots that are built whole for each
// change: on every VM, their cost is the product of upstreams and changes.
func TestChangeCostDoesNotGrowWithUpstreams(t *testing.T) {
	is := is.New(t)
	n, twice := bytesPerChange(5000), bytesPerChange(10_000)
	t.Logf("%.0f and %.0f bytes a change", n, twice)
	is.True(twice < 1.2*n)
}

// TestRemovedStartsOutlastARelease guards against late reports of former incarnations that are taken
// for new ones since a large release exceeded a fixed bound.
func TestRemovedStartsOutlastARelease(t *testing.T) {
	is := is.New(t)
	const upstreams, released = 10_000, 4500
	born := func(i int) cataloger.Upstream {
		u := placed(i)
		u.Born = 100
		return u
	}
	var c cataloger.Catalog
	c.Batch(func() {
		for i := range upstreams {
			c.Put(born(i))
		}
	})
	left := born(0)
	c.MarkLeaving(left.Departure())
	c.Batch(func() {
		for i := range released {
			c.Remove(born(i).ID)
			c.Put(born(upstreams + i))
		}
	})
	former := born(1)
	former.Born = 99
	is.True(!c.Put(former))
	c.Put(left)
	is.True(c.Current().Usable(left.Incarnation()) == nil)
}

// TestPoolEqualsItsUpstreams compares pools with the list of the upstreams put and removed, and
// checks that a published pool stays as it is.
func TestPoolEqualsItsUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var c cataloger.Catalog
		want := map[cataloger.UpstreamID]int{}
		earlier := c.Current().ByService("s")
		var held []*cataloger.Upstream
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 300), 1, 600).Draw(t, "upstreams") {
			u := placed(i)
			if slots := rapid.IntRange(0, 3).Draw(t, "slots"); slots == 0 {
				c.Remove(u.ID)
				delete(want, u.ID)
			} else {
				u.Slots = slots
				c.Put(u)
				want[u.ID] = slots
			}
			if len(want) == 100 {
				earlier = c.Current().ByService("s")
				held = slices.Collect(earlier.All())
			}
		}
		all := c.Current().ByService("s")
		slots, n := 0, 0
		for _, g := range all.Groups() {
			slots += g.Slots
			for i := range g.Len() {
				u := g.At(i)
				is.Equal(u.Site, g.Site)
				is.Equal(all.Find(u.Hash()), u)
				is.Equal(want[u.ID], u.Slots)
				slots -= u.Slots
				n++
			}
		}
		is.Equal(slots, 0)
		is.Equal(n, len(want))
		is.Equal(all.Len(), len(want))
		is.Equal(slices.Collect(earlier.All()), held)
	})
}

// TestFromGoesRoundTheRing starts at a hash and passes each upstream of a site once.
func TestFromGoesRoundTheRing(t *testing.T) {
	is := is.New(t)
	g := filled(900).Current().ByService("s").Groups()[0]
	is.Equal(g.Len(), 100)
	for i := range 50 {
		from := hasher.OfString(fmt.Sprint(i))
		list := slices.Collect(g.From(from))
		is.Equal(len(list), g.Len())
		is.True(slices.IsSortedFunc(list, func(x, y *cataloger.Upstream) int {
			if x.Hash()-from < y.Hash()-from {
				return -1
			}
			return 1
		}))
	}
	for u := range g.From(0) {
		is.Equal(u, g.At(0))
		break
	}
}

func TestEmptyPool(t *testing.T) {
	is := is.New(t)
	var p *cataloger.Pool
	is.Equal(p.Len(), 0)
	is.Equal(p.Find(1), nil)
	is.Equal(slices.Collect(p.All()), nil)
}

func BenchmarkPut(b *testing.B) {
	for _, n := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := filled(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				u := placed(i % n)
				u.Slots = 1 + i%7
				c.Put(u)
			}
		})
	}
}
