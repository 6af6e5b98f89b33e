package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

func catalog(n int) []*cataloger.Upstream {
	var c cataloger.Catalog
	for i := range n {
		site := registrar.Site(fmt.Sprintf("region%d/domain%d", i%3, i%6))
		c.Put(cataloger.Upstream{ID: cataloger.UpstreamID(fmt.Sprint("u", i)), Service: "s", Site: site, Slots: 6})
	}
	return slices.Collect(c.Current().ByService("s").All())
}

func anySite(registrar.Site) bool { return true }

func TestRemovingUpstreamMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	all := catalog(24)
	gone := all[7]
	var rest []*cataloger.Upstream
	for _, u := range all {
		if u != gone {
			rest = append(rest, u)
		}
	}
	for k := range 500 {
		key := hasher.OfString(fmt.Sprint("key", k))
		before := placer.Candidates(nil, key, cataloger.NewPool(all), anySite)
		after := placer.Candidates(nil, key, cataloger.NewPool(rest), anySite)
		is.Equal(len(before), placer.MaxCandidates)
		if before[0] == gone {
			is.Equal(after[0], before[1]) // the next in the order takes over
			continue
		}
		is.Equal(after[0], before[0])
	}
}

func TestCandidatesAreInAllowedRegions(t *testing.T) {
	is := is.New(t)
	for k := range 100 {
		list := placer.Candidates(nil, hasher.OfString(fmt.Sprint(k)), cataloger.NewPool(catalog(24)), func(s registrar.Site) bool { return s.Region() == "region1" })
		is.Equal(len(list), placer.MaxCandidates)
		for _, u := range list {
			is.Equal(u.Site.Region(), "region1")
		}
	}
}

func TestChoose(t *testing.T) {
	free := placer.State{Slots: 6}
	tests := []struct {
		name    string
		states  []placer.State
		urgent  bool
		want    int
		verdict placer.Verdict
	}{
		{"first", []placer.State{free, free}, false, 0, placer.Accepts},
		{"queue at the first", []placer.State{{Slots: 6, Reported: 11}, free}, false, 0, placer.Accepts},
		{"queue too long", []placer.State{{Slots: 6, Reported: 13}, free}, false, 1, placer.QueueFull},
		{"longer queue for the urgent", []placer.State{{Slots: 6, Reported: 13}, free}, true, 0, placer.Accepts},
		{"own requests only", []placer.State{{Slots: 6, Own: 6, Reported: 6}, free}, false, 0, placer.Accepts},
		{"own requests fill the queue", []placer.State{{Slots: 6, Own: 13, Reported: 13}, free}, false, 1, placer.QueueFull},
		{"down", []placer.State{{Slots: 6, Down: true}, free}, false, 1, placer.Down},
		{"paused", []placer.State{{Slots: 6, Paused: true}, free}, false, 1, placer.Paused},
		{"all paused", []placer.State{{Slots: 6, Paused: true}, {Slots: 6, Paused: true, Failing: true}}, false, -1, placer.Paused},
		{"failing", []placer.State{{Slots: 6, Failing: true, FailShare: 0.5}, free}, false, 1, placer.Failing},
		{"failing little more than the other", []placer.State{{Slots: 6, Failing: true, FailShare: 0.5}, {Slots: 6, FailShare: 0.3}}, false, 0, placer.Failing},
		{"failing, and the third much less", []placer.State{{Slots: 6, Failing: true, FailShare: 0.5}, {Slots: 6, FailShare: 0.3}, free}, false, 2, placer.Failing},
		{"all failing", []placer.State{{Slots: 6, Failing: true}, {Slots: 6, Failing: true}}, false, 0, placer.Failing},
		{"failing and the other full", []placer.State{{Slots: 6, Failing: true}, {Slots: 6, Reported: 16}}, false, 0, placer.Failing},
		{"failing and attempted", []placer.State{{Slots: 6, Failing: true, Attempted: true}, {Slots: 6, Down: true}}, false, -1, placer.Attempted},
		{"all full", []placer.State{{Slots: 6, Reported: 16}, {Slots: 6, Own: 16, Reported: 16}}, true, -1, placer.QueueFull},
		{"none", nil, true, -1, placer.Gone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, verdict := placer.Placer{}.Choose(tt.states, tt.urgent)
			is.Equal(got, tt.want)
			is.Equal(verdict, tt.verdict)
		})
	}
}

func TestChooseWithHome(t *testing.T) {
	free, busy, full := placer.State{Slots: 6}, placer.State{Slots: 6, Reported: 4}, placer.State{Slots: 6, Reported: 16}
	tests := []struct {
		name   string
		states []placer.State
		want   int
		move   bool
	}{
		{"home", []placer.State{free, free}, 0, false},
		{"full home, idle other", []placer.State{full, free}, 1, true},
		{"full home, busy other", []placer.State{full, busy}, -1, false},
		{"full home, full other, idle third", []placer.State{full, full, free}, 2, true},
		{"home down", []placer.State{{Slots: 6, Down: true}, busy}, 1, false},
		{"home paused", []placer.State{{Slots: 6, Paused: true}, busy}, 1, false},
		{"all full", []placer.State{full, full}, -1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			i, _, move := placer.Placer{}.ChooseWithHome(tt.states, true)
			is.Equal(i, tt.want)
			is.Equal(move, tt.move)
		})
	}
}

// TestFailingUpstreamThatKnowsKey checks upstreams that fail or refuse a share of their
// requests, with and without knowledge of the request's key.
func TestFailingUpstreamThatKnowsKey(t *testing.T) {
	tests := []struct {
		knows             bool
		share, errorShare float64
		want              placer.Verdict
	}{
		{false, 0.45, 0, placer.Failing},
		{true, 0.45, 0, placer.Accepts},
		{true, 0.45, 0.1, placer.Accepts},
		{true, 0.45, 0.4, placer.Failing},
		{true, 0.75, 0, placer.Failing},
	}
	for _, tt := range tests {
		s := placer.State{Slots: 4, Failing: true, FailShare: tt.share, ErrorShare: tt.errorShare, KnowsKey: tt.knows}
		is.New(t).Equal(placer.Placer{}.Check(s, true), tt.want)
	}
}

// TestKeysStayHomeWhenAllUpstreamsRefuseHalf has all upstreams refuse nearly half of their
// requests. A request that leaves its home is served late elsewhere, which is worth a fifth,
// so most should stay.
func TestKeysStayHomeWhenAllUpstreamsRefuseHalf(t *testing.T) {
	is := is.New(t)
	left, stayed := serviceValue(false), serviceValue(true)
	t.Logf("value of 2,000 requests: %.0f if keys leave, %.0f if they stay", left, stayed)
	is.True(stayed > left)
}

// serviceValue returns the total value of 2,000 requests with at most two attempts each. The
// homes know the keys if knows is set.
func serviceValue(knows bool) (sum float64) {
	const late, refusing, weight, limit = 0.2, 0.45, 0.15, 0.35
	random := rand.New(rand.NewPCG(1, 2))
	shares := make([]float64, 20)
	for range 2000 {
		at := random.Perm(len(shares))[:3]
		for range 2 {
			var states []placer.State
			for i, u := range at {
				states = append(states, placer.State{Slots: 9, Failing: shares[u] > limit, FailShare: shares[u], KnowsKey: knows && i == 0})
			}
			i, _, _ := placer.Placer{}.ChooseWithHome(states, true)
			refused := 0.0
			if random.Float64() < refusing {
				refused = 1
			}
			shares[at[i]] += (refused - shares[at[i]]) * weight
			switch {
			case refused == 0 && i == 0:
				sum++
			case refused == 0:
				sum += late
			default:
				continue
			}
			break
		}
	}
	return sum
}
