package steerer_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// table returns a table of n blocks of mixed prefix lengths, assigned to the sites in
// turn.
func table(tb testing.TB, n int, sites []registrar.Site) *locator.Table {
	tb.Helper()
	var b locator.Builder
	for i := range n {
		p := netip.PrefixFrom(blockAddress(i), 18+i%7)
		if err := b.Add(p.Masked(), sites[i%len(sites)]); err != nil {
			tb.Fatal(err)
		}
	}
	return b.Table()
}

// blockAddress returns an address in the i-th block.
func blockAddress(i int) netip.Addr {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], uint32(i)*10007<<8)
	return netip.AddrFrom4(a)
}

// snapshot returns a snapshot with the given number of regions, failure domains per
// region and daemons per failure domain.
func snapshot(tb testing.TB, regions, domains, daemons, blocks int) *steerer.Snapshot {
	tb.Helper()
	var edits []resolver.Edit
	var rosters []registrar.Roster
	var sites []registrar.Site
	for r := range regions {
		roster := registrar.Roster{Region: fmt.Sprint("r", r)}
		for d := range domains {
			site := registrar.Site(fmt.Sprintf("r%d/d%d", r, d))
			sites = append(sites, site)
			edits = append(edits, resolver.Edit{
				Path: string(site) + ":keg-ledger", Key: resolver.KeyUpstreams,
				Value: resolver.Value(fmt.Sprintf("10.%d.%d.1:80", r, d)),
			})
			for n := range daemons {
				roster.Members = append(roster.Members, registrar.Member{
					Incarnation: registrar.Incarnation(fmt.Sprintf("i%d-%d-%d", r, d, n)), Site: site,
					Callers: fmt.Sprintf("10.%d.%d.%d:7100", 100+r, d, n),
				})
			}
		}
		rosters = append(rosters, roster)
	}
	tree, problems := resolver.Tree{}.Apply(edits)
	if len(problems) > 0 {
		tb.Fatal(problems)
	}
	s, err := steerer.Build(steerer.Inputs{
		Settings: tree.Resolve(), View: registrar.NewView(rosters), Table: table(tb, blocks, sites), Home: sites[0],
	})
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func TestLookupResponses(t *testing.T) {
	is := is.New(t)
	s := snapshot(t, 3, 2, 2, 1000)
	firsts := map[string]bool{}
	for i := range 1000 {
		b := s.BlockOf(blockAddress(i))
		var response steerer.Response
		is.NoErr(json.Unmarshal(s.Response("keg-ledger", b), &response))
		is.Equal(response.Site, s.Site("keg-ledger", b))
		is.Equal(response.Site.Region(), b.Origin.Region()) // requests stay in the region of the caller
		is.Equal(len(response.Entries), 3)
		firsts[response.Entries[0].Address] = true
	}
	is.Equal(len(firsts), 12) // every entry comes first for some block
	is.Equal(s.Response("other", locator.Block{}), nil)
}

// TestEveryOriginHasARoute covers origins in failure domains and regions that have no
// upstreams.
func TestEveryOriginHasARoute(t *testing.T) {
	is := is.New(t)
	s := snapshot(t, 2, 2, 1, 10)
	for origin, region := range map[registrar.Site]string{"r1/other": "r1", "r0/d1": "r0", "elsewhere/x": "r"} {
		b := locator.Block{Origin: origin, Hash: 7}
		is.True(strings.HasPrefix(string(s.Site("keg-ledger", b)), region))
		is.True(s.Response("keg-ledger", b) != nil)
	}
}

func TestLookupsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	s := snapshot(t, 3, 2, 2, 1000)
	a := netip.MustParseAddr("10.1.2.3")
	is.Equal(testing.AllocsPerRun(1000, func() { s.Response("keg-ledger", s.BlockOf(a)) }), 0.0)
}

// BenchmarkLookup measures lookups for growing tables of client blocks, with 3 regions
// of 2 sites and with 7 regions of 11 sites.
func BenchmarkLookup(b *testing.B) {
	for _, blocks := range []int{1000, 10000, 100000, 390000} {
		for _, shape := range [][3]int{{3, 2, 2}, {7, 11, 7}} {
			b.Run(fmt.Sprintf("%dblocks/%dsites", blocks, shape[0]*shape[1]), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := snapshot(b, shape[0], shape[1], shape[2], blocks)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportAllocs()
				i := uint32(0)
				for b.Loop() {
					i++
					var a [4]byte
					binary.BigEndian.PutUint32(a[:], i*2654435761)
					s.Response("keg-ledger", s.BlockOf(netip.AddrFrom4(a)))
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
			})
		}
	}
}

// BenchmarkBuild measures building a snapshot, which happens on each change of
// settings, plan or roster.
func BenchmarkBuild(b *testing.B) {
	for _, shape := range [][3]int{{3, 2, 2}, {7, 3, 7}, {7, 11, 7}} {
		b.Run(fmt.Sprintf("%dsites", shape[0]*shape[1]), func(b *testing.B) {
			s := snapshot(b, shape[0], shape[1], shape[2], 100)
			for b.Loop() {
				if _, err := steerer.Build(s.Inputs); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
