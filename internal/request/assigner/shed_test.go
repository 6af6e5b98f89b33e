package assigner_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// The simulated load: 200 requests a second for 450 keys on 24 upstreams, which all refuse 55%
// of their requests for ten seconds although they have room. A refused request is retried
// once. The admitted requests, 72%, need 58 of 144 slots while keys run where they are known.
const (
	shedPerSecond = 200
	shedShare     = 0.55
	shedFrom      = 8_000
	shedEnd       = 18_000
	shedAttempts  = 2
)

// shedFixture holds upstreams that refuse requests and what an entry knows about them.
type shedFixture struct {
	*fixture
	homes     *assigner.Assigner
	known     *tracker.Set
	upstreams map[*cataloger.Upstream]*simUpstream
	random    *rand.Rand
	// leavesHome makes a refused request leave its home for any other upstream.
	leavesHome bool
}

// choose selects the upstream of one attempt.
func (s *shedFixture) choose(k hasher.Hash, refused *cataloger.Upstream) *cataloger.Upstream {
	list := []*cataloger.Upstream{s.homes.Home(k, anyRequest, cataloger.NewPool(s.all)).Upstream}
	for _, u := range placer.Candidates(nil, k, cataloger.NewPool(s.all), anySite) {
		if u != list[0] {
			list = append(list, u)
		}
	}
	var states []placer.State
	for i, u := range list {
		m := s.upstreams[u]
		t := s.known.StateOf(u)
		x := t.State(u, &t.Direct)
		x.Reported = float64(len(m.running) + len(m.queue))
		if s.leavesHome {
			x.Attempted = u == refused
			x.FailShare = float64(1 - min(i, 1))
		}
		states = append(states, x)
	}
	i, _, move := placer.Placer{}.ChooseWithHome(states, true)
	if i < 0 || move && s.homes.Move(k, list[i]).Upstream == nil {
		return nil
	}
	return list[i]
}

// send sends a request and retries it once if it is refused.
func (s *shedFixture) send(k hasher.Hash) {
	var refused *cataloger.Upstream
	for range shedAttempts {
		u := s.choose(k, refused)
		if u == nil {
			return
		}
		t := s.known.StateOf(u)
		t.Begin(&t.Direct)
		t.End()
		shed := s.now >= shedFrom && s.now < shedEnd && s.random.Float64() < shedShare
		t.Direct.RecordResponse(shed)
		if !shed {
			m := s.upstreams[u]
			m.queue = append(m.queue, &job{key: k, arrived: s.now})
			return
		}
		refused = u
	}
}

// simulateShed returns the share of the requests sent while upstreams refuse that got a
// response in time.
func simulateShed(leavesHome bool) float64 {
	f := newFixture(24)
	s := &shedFixture{
		fixture: f, homes: f.assigner("east"), known: &tracker.Set{Clock: f.clock()},
		upstreams: map[*cataloger.Upstream]*simUpstream{}, random: rand.New(rand.NewPCG(7, 8)), leavesHome: leavesHome,
	}
	for _, u := range f.all {
		s.upstreams[u] = &simUpstream{}
	}
	sent, inTime := 0, 0
	counted := func(j *job) bool { return j.arrived >= shedFrom && j.arrived < shedEnd }
	for f.now = 0; f.now < shedEnd+objective; f.now++ {
		for _, u := range f.all {
			for _, j := range s.upstreams[u].step(f.now) {
				if counted(j) && f.now-j.arrived <= objective {
					inTime++
				}
			}
		}
		if s.random.IntN(1000) >= shedPerSecond {
			continue
		}
		if f.now >= shedFrom && f.now < shedEnd {
			sent++
		}
		s.send(key(s.random.IntN(loadKeys)))
	}
	return float64(inTime) / float64(sent)
}

// TestRefusedRequestsStayAtHome checks that requests refused by upstreams with room are better
// retried at their home than at an upstream that does not know their key.
func TestRefusedRequestsStayAtHome(t *testing.T) {
	is := is.New(t)
	elsewhere, home := simulateShed(true), simulateShed(false)
	t.Logf("in time while all refuse 55%%: elsewhere %.2f, at home %.2f", elsewhere, home)
	is.True(home > 0.6)
	is.True(elsewhere < home-0.1)
}
