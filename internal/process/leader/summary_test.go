package leader_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/sharer"
)

const (
	services = 5
	origins  = 20
)

func serviceAt(i int) resolver.ServiceName {
	return resolver.ServiceName(fmt.Sprintf("service-%d", i))
}

func siteAt(i int) registrar.Site {
	return registrar.Site(fmt.Sprintf("region-%d/domain-%d", i%7, i/7))
}

// summaryOf returns the summary of a region with the given number of sites.
func summaryOf(sites int) leader.Summary {
	r := rand.New(rand.NewPCG(7, 7))
	s := leader.Summary{Region: "region-0", Fence: 12, Sequence: 5000, AtMillis: 1790000000000}
	s.Numbers = []leader.NumberCount{{Settings: 800, Plan: 9000, Members: 71}}
	for i := range services {
		for j := range sites {
			s.Sites = append(s.Sites, leader.SiteLoad{Site: siteAt(j * 7), Service: serviceAt(i),
				Slots: 144, Busy: r.Uint32N(144), Waiting: r.Uint32N(3), Peak: r.Uint32N(144)})
		}
		for j := range origins {
			s.Work = append(s.Work, leader.OriginWork{Service: serviceAt(i), Origin: siteAt(j),
				Slots: float64(r.IntN(1000)) / 10})
		}
	}
	return s
}

func TestSummaryEncodeDecodeRoundTrip(t *testing.T) {
	is := is.New(t)
	s := summaryOf(3)
	b, err := s.Encode()
	is.NoErr(err)
	got, err := leader.DecodeSummary(b)
	is.NoErr(err)
	is.Equal(got, s)
}

// BenchmarkObjects reports the size of the objects sent to all members, before and
// after packing, for growing numbers of sites, members and origins.
func BenchmarkObjects(b *testing.B) {
	for _, n := range []int{3, 6, 11} {
		b.Run(fmt.Sprint("summary/sites=", n), func(b *testing.B) {
			reportSizes(b, summaryOf(n), summaryOf(n).Encode)
		})
	}
	for _, n := range []int{10, 25, 71} {
		b.Run(fmt.Sprint("roster/members=", n), func(b *testing.B) {
			reportSizes(b, rosterOf(n), rosterOf(n).Encode)
		})
	}
	for _, n := range []int{6, 25, 75} {
		b.Run(fmt.Sprint("plan/origins=", n), func(b *testing.B) {
			reportSizes(b, planOf(n), planOf(n).Encode)
		})
	}
}

func reportSizes(b *testing.B, v any, encode func() ([]byte, error)) {
	plain, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	var packed []byte
	for b.Loop() {
		if packed, err = encode(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(plain)), "plain-bytes")
	b.ReportMetric(float64(len(packed)), "packed-bytes")
}

func rosterOf(members int) registrar.Roster {
	r := rand.New(rand.NewPCG(7, 7))
	x := registrar.Roster{Region: "region-0", Fence: 12, Version: 300}
	for i := range members {
		a := fmt.Sprintf("10.%d.%d.%d", r.IntN(256), r.IntN(256), r.IntN(256))
		x.Members = append(x.Members, registrar.Member{
			Incarnation: registrar.Incarnation(fmt.Sprintf("%016x", r.Uint64())),
			Name:        fmt.Sprintf("entry-%d", i),
			Site:        siteAt(i % 11 * 7),
			Callers:     a + ":7000", Links: a + ":7001", Operators: a + ":7002",
			SinceMillis: 1790000000000,
		})
	}
	return x
}

// planOf returns a plan in which the requests of each origin go to six sites.
func planOf(origins int) planner.Plan {
	r := rand.New(rand.NewPCG(7, 7))
	p := planner.Plan{Number: 9000, Fence: 12, Settings: 800}
	for i := range services {
		for j := range origins {
			var d sharer.Split
			for k := range 6 {
				d = append(d, sharer.Part{Site: string(siteAt(j + k)), Share: sharer.FromFraction(r.Float64() / 6)})
			}
			p.Routes = append(p.Routes, planner.Route{Service: serviceAt(i), Origin: siteAt(j), Division: d})
		}
	}
	return p
}
