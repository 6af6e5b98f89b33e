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

// The load: 200 requests a second for 450 keys on 24 upstreams that all refuse 55% of
// what they get for ten seconds, though they have room. A refused request is sent once
// more. What is admitted is 72% of 58 slots' work of 144 while keys run where they are
// known.
const (
	shedPerSecond = 200
	shedShare     = 0.55
	shedFrom      = 8_000
	shedEnd       = 18_000
	shedTries     = 2
)

// shedWorld is upstreams that refuse, with what an entry knows of them.
type shedWorld struct {
	*world
	homes    *assigner.Assigner
	known    *tracker.Set
	machines map[*cataloger.Upstream]*machine
	random   *rand.Rand
	// strays is whether a refused request leaves its home for any other upstream.
	strays bool
}

// choose picks the upstream of one sending.
func (s *shedWorld) choose(k hasher.Hash, refused *cataloger.Upstream) *cataloger.Upstream {
	list := []*cataloger.Upstream{s.homes.Home(k, toAnywhere, s.all).Upstream}
	for _, u := range placer.List(nil, k, s.all, anywhere) {
		if u != list[0] {
			list = append(list, u)
		}
	}
	var states []placer.State
	for i, u := range list {
		m := s.machines[u]
		x := s.known.Of(u).State(u)
		x.Reported = float64(len(m.running) + len(m.line))
		if s.strays {
			x.Tried = u == refused
			x.FailShare = float64(1 - min(i, 1))
		}
		states = append(states, x)
	}
	i, _, move := placer.Placer{}.ChooseHomed(states, true)
	if i < 0 || move && s.homes.Move(k, list[i]).Upstream == nil {
		return nil
	}
	return list[i]
}

// send sends a request, once more if it is refused.
func (s *shedWorld) send(k hasher.Hash) {
	var refused *cataloger.Upstream
	for range shedTries {
		u := s.choose(k, refused)
		if u == nil {
			return
		}
		t := s.known.Of(u)
		t.Begin()
		t.End()
		shed := s.now >= shedFrom && s.now < shedEnd && s.random.Float64() < shedShare
		t.Reached(shed)
		if !shed {
			m := s.machines[u]
			m.line = append(m.line, &job{key: k, arrived: s.now})
			return
		}
		refused = u
	}
}

// playShed returns the share of the requests sent while upstreams refuse that were
// answered in time.
func playShed(strays bool) float64 {
	w := newWorld(24)
	s := &shedWorld{
		world: w, homes: w.assigner("east"), known: &tracker.Set{Clock: w.clock()},
		machines: map[*cataloger.Upstream]*machine{}, random: rand.New(rand.NewPCG(7, 8)), strays: strays,
	}
	for _, u := range w.all {
		s.machines[u] = &machine{}
	}
	asked, inTime := 0, 0
	judged := func(j *job) bool { return j.arrived >= shedFrom && j.arrived < shedEnd }
	for w.now = 0; w.now < shedEnd+objective; w.now++ {
		for _, u := range w.all {
			for _, j := range s.machines[u].step(w.now) {
				if judged(j) && w.now-j.arrived <= objective {
					inTime++
				}
			}
		}
		if s.random.IntN(1000) >= shedPerSecond {
			continue
		}
		if w.now >= shedFrom && w.now < shedEnd {
			asked++
		}
		s.send(key(s.random.IntN(loadKeys)))
	}
	return float64(inTime) / float64(asked)
}

// Requests that upstreams with room refuse are better sent to their home again than
// to one that does not know their key.
func TestRefusedRequestsStayAtHome(t *testing.T) {
	is := is.New(t)
	astray, home := playShed(true), playShed(false)
	t.Logf("in time while all refuse 55%%: elsewhere %.2f, at home %.2f", astray, home)
	is.True(home > 0.6)
	is.True(astray < home-0.1)
}
