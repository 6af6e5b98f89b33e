package placer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// TestCandidatesAreSpreadEvenly checks that no upstream is preferred by many more keys than others.
func TestCandidatesAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	const upstreams, keys = 300, 60_000
	all := cataloger.NewPool(catalog(upstreams))
	preferred := map[*cataloger.Upstream]int{}
	for k := range keys {
		preferred[placer.Candidates(nil, hasher.OfString(fmt.Sprint(k)), all, anySite)[0]]++
	}
	is.Equal(len(preferred), upstreams)
	for _, n := range preferred {
		is.True(n < keys/upstreams*3/2)
	}
}

// checksPerSearch returns how many upstreams are checked to find candidates among n, of which one in
// five is usable.
func checksPerSearch(n int) float64 {
	const keys = 200
	all := cataloger.NewPool(catalog(n))
	checks := 0
	for k := range keys {
		placer.CandidatesWhere(nil, hasher.OfString(fmt.Sprint(k)), all, anySite, func(u *cataloger.Upstream) bool {
			checks++
			return u.Hash()%5 == 0
		})
	}
	return float64(checks) / keys
}

// TestSearchDoesNotGrowWithUpstreams guards against requests whose work is proportional to the
// upstreams of their service.
func TestSearchDoesNotGrowWithUpstreams(t *testing.T) {
	is := is.New(t)
	n, twice := checksPerSearch(5000), checksPerSearch(10_000)
	t.Logf("%.0f and %.0f upstreams checked", n, twice)
	is.True(twice < 1.2*n)
}

// TestFewUsableUpstreamsAreFound looks for candidates where one in twenty upstreams is usable.
func TestFewUsableUpstreamsAreFound(t *testing.T) {
	is := is.New(t)
	all := cataloger.NewPool(catalog(5000))
	for k := range 500 {
		list := placer.CandidatesWhere(nil, hasher.OfString(fmt.Sprint(k)), all, anySite, func(u *cataloger.Upstream) bool { return u.Hash()%20 == 0 })
		is.Equal(len(list), placer.MaxCandidates)
	}
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{24, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := cataloger.NewPool(catalog(n))
			var space [placer.MaxCandidates]*cataloger.Upstream
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				placer.Candidates(space[:0], hasher.Hash(i)*0x9e3779b97f4a7c15, all, anySite)
			}
		})
	}
}
