package assigner

import (
	"math"
	"sync"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// MaxKeys is the maximum number of keys with a home, so that all of them fit in one object
	// of the store. Further keys are placed by their hash alone.
	MaxKeys = 30_000

	// loadDecayTime is the time constant with which a request's contribution to the load of
	// its key decays.
	loadDecayTime = 10 * timekeeper.Second

	// idleExpiry is how long a key without requests keeps its home.
	idleExpiry = 5 * timekeeper.Minute

	// movesPerSecond is the maximum rate at which one daemon moves keys from crowded
	// upstreams. Each move costs one uncached run at the new home.
	movesPerSecond = 3.0

	// reliefInterval is the minimum time between searches for a less loaded upstream. A search
	// takes several times as long as finding the home, so most requests skip it.
	reliefInterval = 50 * timekeeper.Millis(1)

	// crowdedRatio is how many times the load of the least loaded candidate a home must have
	// for one of its keys to move there.
	crowdedRatio = 3.0
)

type (
	// Assignment is the home of one key.
	Assignment struct {
		Key hasher.Hash
		// Upstream is the hash of the incarnation.
		Upstream hasher.Hash
		// Version increases with each move of the key.
		Version uint32
	}

	// Assigner stores the homes of keys. Region and Regions must be set before use.
	Assigner struct {
		// Region is the region of the callers, Regions lists all regions.
		Region  string
		Regions []string
		// Site is the failure domain of this daemon, and Domains the number of failure domains
		// of its region. Without them no key has a home in each domain.
		Site    registrar.Site
		Domains int
		// Announce sends new homes to the other daemons of the region. Nil means they are not
		// announced.
		Announce func([]Assignment)
		Clock    timekeeper.Clock
		// Without is the set of disabled mechanisms.
		Without switcher.Set

		lock            sync.Mutex
		homes           map[hasher.Hash]*home
		loads           map[hasher.Hash]float64
		demands         map[resolver.ServiceName]demands
		weightEpoch     timekeeper.Millis
		tokens          float64
		refilledAt      timekeeper.Millis
		reliefCheckedAt timekeeper.Millis
		changes         uint64
	}

	home struct {
		upstream hasher.Hash
		version  uint32
		// weight is the load of the key, in units that grow with time; see weightAt.
		weight float64
		usedAt timekeeper.Millis
		// formerHomes lists the upstreams other than the home that ran the key recently.
		formerHomes formerHomes
		// lastSeen is the latest home that a request of this daemon used. When the key moves
		// from there, it is reported as the home that the key left.
		lastSeen *cataloger.Upstream
	}
)

// Home returns the home of a key. A key without one, or whose home is gone or not allowed, is
// assigned a new home, and a key may move from a crowded home. The Placement is zero if no
// upstream takes the request.
func (a *Assigner) Home(key hasher.Hash, r Request, all *cataloger.Pool) Placement {
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.init(now)
	a.demands[r.Service] = a.demands[r.Service].record(r, a.weightAt(now))
	h := a.homes[key]
	var u *cataloger.Upstream
	if h != nil {
		u = findUpstream(all, h.upstream, r.Allowed)
	}
	p := Placement{Upstream: u, Reason: AtHome}
	if u == nil {
		p = a.assignHome(key, h, r, all, now)
	} else if v := a.reliefTarget(key, u, r, all, now); v != nil {
		p = a.moveWithReason(HomeCrowded, key, h, v)
	}
	if h = a.homes[key]; h != nil {
		a.recordUse(h, p.Upstream, now)
	}
	return p
}

// HomeNotAllowed reports whether the home of a key is in a region that is not allowed.
func (a *Assigner) HomeNotAllowed(key hasher.Hash, all *cataloger.Pool, allowed func(region string) bool) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	h := a.homes[key]
	if h == nil {
		return false
	}
	u := findUpstream(all, h.upstream, anyRegion)
	return u != nil && !allowed(u.Site.Region())
}

// recordUse adds a request to the load of a key's home. u is the upstream that takes the
// request, nil if none does.
func (a *Assigner) recordUse(h *home, u *cataloger.Upstream, now timekeeper.Millis) {
	w := a.weightAt(now)
	h.weight += w
	h.usedAt = now
	a.loads[h.upstream] += w
	if u != nil {
		h.lastSeen = u
	}
}

// Move changes the home of a key whose home is full. It returns the zero Placement if the key
// stays, for example because the rate of moves is used up.
func (a *Assigner) Move(key hasher.Hash, to *cataloger.Upstream) Placement {
	if a.Without.Has(switcher.Moves) {
		return Placement{}
	}
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.init(now)
	h := a.homes[key]
	if h == nil || h.upstream == to.Hash() || !a.takeToken(now) {
		return Placement{}
	}
	return a.moveWithReason(HomeFull, key, h, to)
}

// Merge merges homes that another daemon announced.
func (a *Assigner) Merge(list []Assignment) {
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.init(now)
	for _, s := range list {
		a.merge(s, now)
	}
}

// All returns all homes and a number that increases with each change.
func (a *Assigner) All() ([]Assignment, uint64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	all := make([]Assignment, 0, len(a.homes))
	for k, h := range a.homes {
		all = append(all, Assignment{k, h.upstream, h.version})
	}
	return all, a.changes
}

// Forget drops keys that have been idle for longer than idleExpiry.
func (a *Assigner) Forget() {
	now := a.Clock.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	a.rebase(now)
	for k, h := range a.homes {
		if now-h.usedAt > idleExpiry {
			a.loads[h.upstream] -= h.weight
			delete(a.homes, k)
		}
	}
}

func (a *Assigner) merge(s Assignment, now timekeeper.Millis) {
	h := a.homes[s.Key]
	if h == nil {
		if len(a.homes) >= MaxKeys {
			return
		}
		w := a.weightAt(now)
		a.homes[s.Key] = &home{upstream: s.Upstream, version: s.Version, weight: w, usedAt: now}
		a.loads[s.Upstream] += w
		a.changes++
		return
	}
	newer := s.Version > h.version || s.Version == h.version && s.Upstream < h.upstream
	if newer && s.Upstream != h.upstream {
		a.setHome(h, s.Upstream)
	}
	if newer {
		h.version = s.Version
	}
}

func (a *Assigner) setHome(h *home, to hasher.Hash) {
	h.formerHomes.record(h.upstream)
	a.loads[h.upstream] -= h.weight
	a.loads[to] += h.weight
	h.upstream = to
	a.changes++
}

// assignHome assigns a key a home among its candidates. h is its previous home, nil for a new
// key.
func (a *Assigner) assignHome(key hasher.Hash, h *home, r Request, all *cataloger.Pool, now timekeeper.Millis) Placement {
	u := a.leastLoaded(a.candidates(key, r, all))
	if u == nil {
		return Placement{}
	}
	if h != nil {
		if v := a.leastLoaded(a.formerUpstreams(nil, h, all, r.Allowed)); v != nil && !a.isCrowded(v, u, h) {
			u = v
		}
		return a.moveWithReason(h.lossReason(all), key, h, u)
	}
	if len(a.homes) >= MaxKeys {
		return Placement{Upstream: u, Reason: Untracked}
	}
	a.homes[key] = &home{upstream: u.Hash(), version: 1, usedAt: now}
	a.changes++
	a.announce(key, a.homes[key])
	return Placement{Upstream: u, Reason: NewKey}
}

// candidates returns the upstreams that a key's hash prefers in the region it is assigned to.
func (a *Assigner) candidates(key hasher.Hash, r Request, all *cataloger.Pool) []*cataloger.Upstream {
	if r.Domain != "" {
		inDomain := func(s registrar.Site) bool { return s == r.Domain && r.Allowed(s.Region()) }
		if l := placer.Candidates(nil, key, all, inDomain); len(l) > 0 {
			return l
		}
	}
	if a.Without.Has(switcher.HomeRegions) {
		return placer.Candidates(nil, key, all, func(s registrar.Site) bool { return r.Allowed(s.Region()) })
	}
	region := a.regionSplit(r, all).regionOf(key)
	return placer.Candidates(nil, key, all, func(s registrar.Site) bool { return s.Region() == region })
}

// reliefTarget returns an upstream with much less load than the home of a key, or nil if there
// is none or no more keys may move now.
func (a *Assigner) reliefTarget(key hasher.Hash, u *cataloger.Upstream, r Request, all *cataloger.Pool, now timekeeper.Millis) *cataloger.Upstream {
	if a.Without.Has(switcher.Moves) || now-a.reliefCheckedAt < reliefInterval || a.refillTokens(now) < 1 {
		return nil
	}
	a.reliefCheckedAt = now
	h := a.homes[key]
	for _, l := range [][]*cataloger.Upstream{a.formerUpstreams(nil, h, all, r.Allowed), a.candidates(key, r, all)} {
		if v := a.leastLoaded(l); v != nil && v != u && a.isCrowded(u, v, h) {
			a.takeToken(now)
			return v
		}
	}
	return nil
}

// isCrowded reports whether the load of u is at least crowdedRatio times the load that v would
// have with the key of h.
func (a *Assigner) isCrowded(u, v *cataloger.Upstream, h *home) bool {
	return a.loadPerSlot(u) >= crowdedRatio*(a.loadPerSlot(v)+h.weight/float64(max(v.Slots, 1)))
}

func (a *Assigner) leastLoaded(candidates []*cataloger.Upstream) (best *cataloger.Upstream) {
	for _, u := range candidates {
		if best == nil || a.loadPerSlot(u) < a.loadPerSlot(best) {
			best = u
		}
	}
	return best
}

// loadPerSlot returns the load of the keys whose home is u, divided by its slots.
func (a *Assigner) loadPerSlot(u *cataloger.Upstream) float64 {
	return a.loads[u.Hash()] / float64(max(u.Slots, 1))
}

func (a *Assigner) move(key hasher.Hash, h *home, to *cataloger.Upstream) {
	a.setHome(h, to.Hash())
	h.version++
	a.announce(key, h)
}

func (a *Assigner) announce(key hasher.Hash, h *home) {
	if a.Announce != nil {
		a.Announce([]Assignment{{key, h.upstream, h.version}})
	}
}

func (a *Assigner) refillTokens(now timekeeper.Millis) float64 {
	a.tokens = min(a.tokens+float64(now-a.refilledAt)/float64(timekeeper.Second)*movesPerSecond, movesPerSecond)
	a.refilledAt = now
	return a.tokens
}

func (a *Assigner) takeToken(now timekeeper.Millis) bool {
	if a.refillTokens(now) < 1 {
		return false
	}
	a.tokens--
	return true
}

// weightAt returns the weight of one request at a time. It grows exponentially, so that older
// requests count less without being updated.
func (a *Assigner) weightAt(now timekeeper.Millis) float64 {
	return math.Exp(float64(now-a.weightEpoch) / float64(loadDecayTime))
}

func (a *Assigner) init(now timekeeper.Millis) {
	if a.homes == nil {
		a.homes, a.loads = map[hasher.Hash]*home{}, map[hasher.Hash]float64{}
		a.demands = map[resolver.ServiceName]demands{}
		a.weightEpoch, a.refilledAt = now, now
	}
	if now-a.weightEpoch > 100*loadDecayTime {
		a.rebase(now)
	}
}

// rebase rescales all weights so that a request now has weight 1.
func (a *Assigner) rebase(now timekeeper.Millis) {
	f := 1 / a.weightAt(now)
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
	a.weightEpoch = now
}

func findUpstream(all *cataloger.Pool, id hasher.Hash, allowed func(string) bool) *cataloger.Upstream {
	if u := all.Find(id); u != nil && allowed(u.Site.Region()) {
		return u
	}
	return nil
}
