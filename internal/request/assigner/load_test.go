package assigner_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The simulated load: 300 requests a second for 450 keys on 24 upstreams with 6 slots that
// cache 37 keys each. A request takes 640 ms on an upstream that does not know its key and 192
// ms on one that does. Then 8 upstreams are lost and the caches of the others cleared: the
// remaining ones need 58 of their 96 slots once keys are cached, and twice their slots until
// then.
const (
	loadKeys       = 450
	loadPerSecond  = 300
	coldWork       = 640
	warmWork       = 192
	loadSlots      = 6
	upstreamMemory = 37
	objective      = 500
	lostAt         = 10_000
	measuredFrom   = 25_000
	loadEnd        = 30_000
)

type (
	// job is one request in the simulation.
	job struct {
		key     hasher.Hash
		arrived timekeeper.Millis
		endsAt  timekeeper.Millis
	}

	// simUpstream is an upstream in the simulation.
	simUpstream struct {
		running []*job
		queue   []*job
		cached  []hasher.Hash
	}

	// policy selects an upstream for a key, nil to refuse the request.
	policy func(key hasher.Hash, all []*cataloger.Upstream, states func([]*cataloger.Upstream) []placer.State) *cataloger.Upstream
)

// step advances the upstream to a time and returns the jobs that finished.
func (m *simUpstream) step(now timekeeper.Millis) (finished []*job) {
	kept := m.running[:0]
	for _, j := range m.running {
		if j.endsAt <= now {
			finished = append(finished, j)
		} else {
			kept = append(kept, j)
		}
	}
	m.running = kept
	for len(m.running) < loadSlots && len(m.queue) > 0 {
		j := m.queue[0]
		m.queue = m.queue[1:]
		j.endsAt = now + m.serviceTime(j.key)
		m.running = append(m.running, j)
	}
	return finished
}

// serviceTime returns how long a key takes and caches it.
func (m *simUpstream) serviceTime(key hasher.Hash) timekeeper.Millis {
	for i, k := range m.cached {
		if k == key {
			m.cached = append(append(m.cached[:i], m.cached[i+1:]...), key)
			return warmWork
		}
	}
	m.cached = append(m.cached, key)
	if len(m.cached) > upstreamMemory {
		m.cached = m.cached[1:]
	}
	return coldWork
}

// simulate returns the share of the requests in the last seconds that got a response in time.
func simulate(f *fixture, p policy) float64 {
	r := rand.New(rand.NewPCG(5, 6))
	upstreams := map[*cataloger.Upstream]*simUpstream{}
	for _, u := range f.all {
		upstreams[u] = &simUpstream{}
	}
	all := f.all
	states := func(l []*cataloger.Upstream) (s []placer.State) {
		for _, u := range l {
			m := upstreams[u]
			s = append(s, placer.State{Slots: loadSlots, Reported: float64(len(m.running) + len(m.queue))})
		}
		return s
	}
	sent, inTime := 0, 0
	for f.now = 0; f.now < loadEnd; f.now++ {
		if f.now == lostAt {
			all = all[:16]
			for _, u := range all {
				*upstreams[u] = simUpstream{}
			}
		}
		for _, u := range all {
			for _, j := range upstreams[u].step(f.now) {
				if j.arrived >= measuredFrom && j.arrived < loadEnd-objective && f.now-j.arrived <= objective {
					inTime++
				}
			}
		}
		if r.IntN(1000) >= loadPerSecond {
			continue
		}
		if f.now >= measuredFrom && f.now < loadEnd-objective {
			sent++
		}
		k := key(r.IntN(loadKeys))
		if u := p(k, all, states); u != nil {
			m := upstreams[u]
			m.queue = append(m.queue, &job{key: k, arrived: f.now})
		}
	}
	return float64(inTime) / float64(sent)
}

// visitPolicy sends a key to the next of its candidates while the first is full. The key has
// no home that could move there.
func visitPolicy(k hasher.Hash, all []*cataloger.Upstream, states func([]*cataloger.Upstream) []placer.State) *cataloger.Upstream {
	list := placer.Candidates(nil, k, cataloger.NewPool(all), anySite)
	i, _ := placer.Placer{}.Choose(states(list), true)
	if i >= 0 {
		return list[i]
	}
	return nil
}

// homePolicy keeps a key at its home or moves it.
func homePolicy(a *assigner.Assigner) policy {
	return func(k hasher.Hash, all []*cataloger.Upstream, states func([]*cataloger.Upstream) []placer.State) *cataloger.Upstream {
		list := []*cataloger.Upstream{a.Home(k, anyRequest, cataloger.NewPool(all)).Upstream}
		for _, u := range placer.Candidates(nil, k, cataloger.NewPool(all), anySite) {
			if u != list[0] {
				list = append(list, u)
			}
		}
		i, _, move := placer.Placer{}.ChooseWithHome(states(list), true)
		if i < 0 || move && a.Move(k, list[i]).Upstream == nil {
			return nil
		}
		return list[i]
	}
}

// TestServiceRecoversAfterLossOfUpstreams checks that service recovers after a loss of
// upstreams with homes, while keys that run at other upstreams without moving keep all of them
// overloaded.
func TestServiceRecoversAfterLossOfUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFixture(24)
	byVisits := simulate(f, visitPolicy)
	f = newFixture(24)
	byHomes := simulate(f, homePolicy(f.assigner("east")))
	t.Logf("in time 15 s after the loss: with visits %.2f, with homes %.2f", byVisits, byHomes)
	is.True(byHomes > 0.95)
	is.True(byVisits < byHomes-0.2)
}
