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

// The load: 300 requests a second for 450 keys, 640 ms of work for an upstream that
// does not know the key and 192 ms for one that does, on 24 upstreams with 6 slots
// that remember 37 keys each. Then 8 upstreams are lost and all memory with them:
// what is left carries the load at 58 of 96 slots once keys are known, and at twice
// its slots while they are not.
const (
	loadKeys   = 450
	perSecond  = 300
	coldWork   = 640
	warmWork   = 192
	loadSlots  = 6
	memorySize = 37
	objective  = 500
	lostAt     = 10_000
	judgedFrom = 25_000
	loadEnd    = 30_000
)

type (
	// job is one request in the model.
	job struct {
		key     hasher.Hash
		arrived timekeeper.Millis
		ends    timekeeper.Millis
	}

	// machine is an upstream in the model.
	machine struct {
		running []*job
		line    []*job
		known   []hasher.Hash
	}

	// policy picks an upstream for a key, nil for a refusal.
	policy func(key hasher.Hash, all []*cataloger.Upstream, states func([]*cataloger.Upstream) []placer.State) *cataloger.Upstream
)

// step lets time pass at a machine and returns what ended.
func (m *machine) step(now timekeeper.Millis) (ended []*job) {
	kept := m.running[:0]
	for _, j := range m.running {
		if j.ends <= now {
			ended = append(ended, j)
		} else {
			kept = append(kept, j)
		}
	}
	m.running = kept
	for len(m.running) < loadSlots && len(m.line) > 0 {
		j := m.line[0]
		m.line = m.line[1:]
		j.ends = now + m.work(j.key)
		m.running = append(m.running, j)
	}
	return ended
}

// work returns how long a key takes and remembers it.
func (m *machine) work(key hasher.Hash) timekeeper.Millis {
	for i, k := range m.known {
		if k == key {
			m.known = append(append(m.known[:i], m.known[i+1:]...), key)
			return warmWork
		}
	}
	m.known = append(m.known, key)
	if len(m.known) > memorySize {
		m.known = m.known[1:]
	}
	return coldWork
}

// play returns the share of the requests of the last seconds that were answered in
// time.
func play(w *world, p policy) float64 {
	r := rand.New(rand.NewPCG(5, 6))
	machines := map[*cataloger.Upstream]*machine{}
	for _, u := range w.all {
		machines[u] = &machine{}
	}
	all := w.all
	states := func(l []*cataloger.Upstream) (s []placer.State) {
		for _, u := range l {
			m := machines[u]
			s = append(s, placer.State{Slots: loadSlots, Reported: float64(len(m.running) + len(m.line))})
		}
		return s
	}
	asked, inTime := 0, 0
	for w.now = 0; w.now < loadEnd; w.now++ {
		if w.now == lostAt {
			all = all[:16]
			for _, u := range all {
				*machines[u] = machine{}
			}
		}
		for _, u := range all {
			for _, j := range machines[u].step(w.now) {
				if j.arrived >= judgedFrom && j.arrived < loadEnd-objective && w.now-j.arrived <= objective {
					inTime++
				}
			}
		}
		if r.IntN(1000) >= perSecond {
			continue
		}
		if w.now >= judgedFrom && w.now < loadEnd-objective {
			asked++
		}
		k := key(r.IntN(loadKeys))
		if u := p(k, all, states); u != nil {
			m := machines[u]
			m.line = append(m.line, &job{key: k, arrived: w.now})
		}
	}
	return float64(inTime) / float64(asked)
}

// visits sends a key to the next upstream of its list while the first is full.
func visits(k hasher.Hash, all []*cataloger.Upstream, states func([]*cataloger.Upstream) []placer.State) *cataloger.Upstream {
	list := placer.List(nil, k, all, anywhere)
	i, _ := placer.Placer{}.Choose(states(list), true)
	if i >= 0 {
		return list[i]
	}
	return nil
}

// homes keeps a key at its home, or moves it.
func homes(a *assigner.Assigner) policy {
	return func(k hasher.Hash, all []*cataloger.Upstream, states func([]*cataloger.Upstream) []placer.State) *cataloger.Upstream {
		list := []*cataloger.Upstream{a.Home(k, toAnywhere, all).Upstream}
		for _, u := range placer.List(nil, k, all, anywhere) {
			if u != list[0] {
				list = append(list, u)
			}
		}
		i, _, move := placer.Placer{}.ChooseHomed(states(list), true)
		if i < 0 || move && a.Move(k, list[i]).Upstream == nil {
			return nil
		}
		return list[i]
	}
}

// Service returns to what it was after a loss, while keys that visit upstreams keep
// all of them overloaded.
func TestServiceReturnsAfterALoss(t *testing.T) {
	is := is.New(t)
	w := newWorld(24)
	byVisits := play(w, visits)
	w = newWorld(24)
	byHomes := play(w, homes(w.assigner("east")))
	t.Logf("in time 15 s after the loss: with visits %.2f, with homes %.2f", byVisits, byHomes)
	is.True(byHomes > 0.95)
	is.True(byVisits < byHomes-0.2)
}
