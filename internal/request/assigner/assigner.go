package assigner

import (
	"math"
	"sync"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// MaxKeys bounds the keys that have a home, so that all of them fit in one
	// object of the store. Beyond it, keys go by their hash alone.
	MaxKeys = 30_000

	// memory is the time over which requests count as the load of a key.
	memory = 10 * timekeeper.Second

	// forgetAfter is how long a key without requests keeps its home.
	forgetAfter = 5 * timekeeper.Minute

	// movesPerSecond is how many keys one daemon moves in a second away from
	// upstreams that have too many. A moved key costs one run without memory.
	movesPerSecond = 3.0

	// reliefEvery is how often a daemon looks for a key to move, in order to
	// spend no time on it with most requests.
	reliefEvery = 50 * timekeeper.Millis(1)

	// crowded is how many times the load of the least loaded candidate a home
	// must have for one of its keys to move there.
	crowded = 3.0
)

type (
	// Assignment is the home of one key.
	Assignment struct {
		Key hasher.Hash
		// Upstream is the hash of the incarnation.
		Upstream hasher.Hash
		// Version grows with each move of the key.
		Version uint32
	}

	// Assigner holds the homes. Region and Regions must be set before use.
	Assigner struct {
		// Region is where the callers are, Regions are all there are.
		Region  string
		Regions []string
		// Announce hands new homes to the other daemons of the region.
		Announce func([]Assignment)
		Clock    timekeeper.Clock
		// Without are the mechanisms that are off.
		Without switcher.Set

		lock    sync.Mutex
		homes   map[hasher.Hash]*home
		loads   map[hasher.Hash]float64
		demands map[resolver.ServiceName]demands
		base    timekeeper.Millis
		tokens  float64
		refill  timekeeper.Millis
		looked  timekeeper.Millis
		changed uint64
	}

	home struct {
		upstream hasher.Hash
		version  uint32
		// weight is the load of the key, in units that grow with time.
		weight float64
		used   timekeeper.Millis
		// former are upstreams that ran the key before its home, or beside it.
		former former
		// seen is the latest home that a request found here, for the account of a move.
		seen *cataloger.Upstream
	}
)

// Home returns the upstream that a key has, and gives it one if it has none that
// takes work.
func (a *Assigner) Home(key hasher.Hash, r Request, all []*cataloger.Upstream) Placement {
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.begin(now)
	a.demands[r.Service] = a.demands[r.Service].note(r, a.unit(now))
	h := a.homes[key]
	var u *cataloger.Upstream
	if h != nil {
		u = find(all, h.upstream, r.Allowed)
	}
	p := Placement{Upstream: u, Reason: AtHome}
	if u == nil {
		p = a.settle(key, h, r, all, now)
	} else if v := a.relief(key, u, r, all, now); v != nil {
		p = a.moveFor(Relieved, key, h, v)
	}
	if h = a.homes[key]; h != nil {
		a.use(h, p.Upstream, now)
	}
	return p
}

// Barred tells whether a key lives at an upstream in a region that is not allowed.
func (a *Assigner) Barred(key hasher.Hash, all []*cataloger.Upstream, allowed func(region string) bool) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	h := a.homes[key]
	if h == nil {
		return false
	}
	u := find(all, h.upstream, anyRegion)
	return u != nil && !allowed(u.Site.Region())
}

// use counts a request of a key that has a home, at u if any takes it.
func (a *Assigner) use(h *home, u *cataloger.Upstream, now timekeeper.Millis) {
	w := a.unit(now)
	h.weight += w
	h.used = now
	a.loads[h.upstream] += w
	if u != nil {
		h.seen = u
	}
}

// Move makes a key that waits at a full home live at another upstream. The zero
// Placement tells that the key stays.
func (a *Assigner) Move(key hasher.Hash, to *cataloger.Upstream) Placement {
	if a.Without.Has(switcher.Moves) {
		return Placement{}
	}
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.begin(now)
	h := a.homes[key]
	if h == nil || h.upstream == to.Hash() || !a.take(now) {
		return Placement{}
	}
	return a.moveFor(Overflowed, key, h, to)
}

// Learn takes homes over that another daemon announced.
func (a *Assigner) Learn(list []Assignment) {
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.begin(now)
	for _, s := range list {
		a.learn(s, now)
	}
}

// All returns all homes, and a number that grows with each change.
func (a *Assigner) All() ([]Assignment, uint64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	all := make([]Assignment, 0, len(a.homes))
	for k, h := range a.homes {
		all = append(all, Assignment{k, h.upstream, h.version})
	}
	return all, a.changed
}

// Forget drops the keys that had no request for long.
func (a *Assigner) Forget() {
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.rebase(now)
	for k, h := range a.homes {
		if now-h.used > forgetAfter {
			a.loads[h.upstream] -= h.weight
			delete(a.homes, k)
		}
	}
}

func (a *Assigner) learn(s Assignment, now timekeeper.Millis) {
	h := a.homes[s.Key]
	if h == nil {
		if len(a.homes) >= MaxKeys {
			return
		}
		w := a.unit(now)
		a.homes[s.Key] = &home{upstream: s.Upstream, version: s.Version, weight: w, used: now}
		a.loads[s.Upstream] += w
		a.changed++
		return
	}
	newer := s.Version > h.version || s.Version == h.version && s.Upstream < h.upstream
	if newer && s.Upstream != h.upstream {
		a.rehome(h, s.Upstream)
	}
	if newer {
		h.version = s.Version
	}
}

func (a *Assigner) rehome(h *home, to hasher.Hash) {
	h.former.note(h.upstream)
	a.loads[h.upstream] -= h.weight
	a.loads[to] += h.weight
	h.upstream = to
	a.changed++
}

// settle gives a key a home among the upstreams that its hash prefers.
func (a *Assigner) settle(key hasher.Hash, h *home, r Request, all []*cataloger.Upstream, now timekeeper.Millis) Placement {
	u := a.least(a.candidates(key, r, all))
	if u == nil {
		return Placement{}
	}
	if h != nil {
		if v := a.least(a.known(nil, h, all, r.Allowed)); v != nil && !a.crowds(v, u, h) {
			u = v
		}
		return a.moveFor(h.lost(all), key, h, u)
	}
	if len(a.homes) >= MaxKeys {
		return Placement{Upstream: u, Reason: Unkept}
	}
	a.homes[key] = &home{upstream: u.Hash(), version: 1, used: now}
	a.changed++
	a.announce(key, a.homes[key])
	return Placement{Upstream: u, Reason: NewKey}
}

// candidates are the upstreams that a key's hash prefers in the region that it
// belongs to.
func (a *Assigner) candidates(key hasher.Hash, r Request, all []*cataloger.Upstream) []*cataloger.Upstream {
	var fit []*cataloger.Upstream
	for _, u := range all {
		if r.Allowed(u.Site.Region()) {
			fit = append(fit, u)
		}
	}
	if a.Without.Has(switcher.HomeRegions) {
		return placer.List(nil, key, fit, func(string) bool { return true })
	}
	region := a.spread(r, fit).home(key)
	return placer.List(nil, key, fit, func(name string) bool { return name == region })
}

// relief returns a candidate with much less load than the home of a key, nil if
// there is none or no more keys may move now.
func (a *Assigner) relief(key hasher.Hash, u *cataloger.Upstream, r Request, all []*cataloger.Upstream, now timekeeper.Millis) *cataloger.Upstream {
	if a.Without.Has(switcher.Moves) || now-a.looked < reliefEvery || a.allowance(now) < 1 {
		return nil
	}
	a.looked = now
	h := a.homes[key]
	for _, l := range [][]*cataloger.Upstream{a.known(nil, h, all, r.Allowed), a.candidates(key, r, all)} {
		if v := a.least(l); v != nil && v != u && a.crowds(u, v, h) {
			a.take(now)
			return v
		}
	}
	return nil
}

// crowds tells whether u has so much more load than v that a key should rather live at v,
// without making that the crowded one.
func (a *Assigner) crowds(u, v *cataloger.Upstream, h *home) bool {
	return a.load(u) >= crowded*(a.load(v)+h.weight/float64(max(v.Slots, 1)))
}

func (a *Assigner) least(candidates []*cataloger.Upstream) (best *cataloger.Upstream) {
	for _, u := range candidates {
		if best == nil || a.load(u) < a.load(best) {
			best = u
		}
	}
	return best
}

// load is that of the keys that live at u, for each slot.
func (a *Assigner) load(u *cataloger.Upstream) float64 {
	return a.loads[u.Hash()] / float64(max(u.Slots, 1))
}

func (a *Assigner) move(key hasher.Hash, h *home, to *cataloger.Upstream) {
	a.rehome(h, to.Hash())
	h.version++
	a.announce(key, h)
}

func (a *Assigner) announce(key hasher.Hash, h *home) {
	if a.Announce != nil {
		a.Announce([]Assignment{{key, h.upstream, h.version}})
	}
}

func (a *Assigner) allowance(now timekeeper.Millis) float64 {
	a.tokens = min(a.tokens+float64(now-a.refill)/float64(timekeeper.Second)*movesPerSecond, movesPerSecond)
	a.refill = now
	return a.tokens
}

func (a *Assigner) take(now timekeeper.Millis) bool {
	if a.allowance(now) < 1 {
		return false
	}
	a.tokens--
	return true
}

// unit is the weight of one request now. It grows with time, so that older
// requests count less without being looked at again.
func (a *Assigner) unit(now timekeeper.Millis) float64 {
	return math.Exp(float64(now-a.base) / float64(memory))
}

func (a *Assigner) begin(now timekeeper.Millis) {
	if a.homes == nil {
		a.homes, a.loads = map[hasher.Hash]*home{}, map[hasher.Hash]float64{}
		a.demands = map[resolver.ServiceName]demands{}
		a.base, a.refill = now, now
	}
	if now-a.base > 100*memory {
		a.rebase(now)
	}
}

// rebase brings all weights back to units of now.
func (a *Assigner) rebase(now timekeeper.Millis) {
	f := 1 / a.unit(now)
	clear(a.loads)
	for _, h := range a.homes {
		h.weight *= f
		a.loads[h.upstream] += h.weight
	}
	for _, d := range a.demands {
		for i := range d {
			d[i].work *= f
		}
	}
	a.base = now
}

func find(all []*cataloger.Upstream, id hasher.Hash, allowed func(string) bool) *cataloger.Upstream {
	for _, u := range all {
		if u.Hash() == id && allowed(u.Site.Region()) {
			return u
		}
	}
	return nil
}
