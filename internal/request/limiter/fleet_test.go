package limiter_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	second = timekeeper.Second

	// nearDelay and farDelay are the message delays within a region and between regions.
	nearDelay = 1 * timekeeper.Millis(1)
	farDelay  = 35 * timekeeper.Millis(1)

	// leaderTimeout and livenessTimeout are how long others still regard an unreachable daemon
	// as a leader, and as alive.
	leaderTimeout   = 1600 * timekeeper.Millis(1)
	livenessTimeout = 2500 * timekeeper.Millis(1)
)

// tolerance is the tolerance of the deployments that have organisations.
var tolerance = limiter.Tolerance{Window: 5 * second, Over: 0.1, Slack: 20}

type (
	// strategy is one way to enforce the limits.
	strategy interface {
		// take asks for a token at a daemon. done is called with the outcome, possibly later.
		take(d int, o *authenticator.Organisation, done func(admitted bool))
		// restart is called when a daemon starts anew.
		restart(d int)
	}

	// fleet simulates daemons, assigned to regions in turn, that exchange messages in
	// simulated time.
	fleet struct {
		now           timekeeper.Millis
		events        events
		random        *rand.Rand
		regions       int
		daemons       []daemon
		organisations []*authenticator.Organisation
		strategy      strategy
		counts        []outcomes
		// messages and bytes count what daemons sent.
		messages int
		bytes    int
		loss     float64
		// hold keeps messages in held instead of delivering them.
		hold bool
		held []func()
		// tolerance is the tolerance of the limits.
		tolerance limiter.Tolerance
		// view is the current view of the reachable daemons.
		view fleetView
	}

	// fleetView is what the reachable daemons know about each other at a time.
	fleetView struct {
		at             timekeeper.Millis
		totalReachable int
		reachable      []int
		leaders        []int
	}

	daemon struct {
		// dead means not running; isolated means running but unreachable. since is when that
		// began.
		dead, isolated bool
		since          timekeeper.Millis
	}

	// outcomes holds the outcomes of the requests of one organisation.
	outcomes struct {
		requested, admitted, refusedWithinLimit []timekeeper.Millis
		// ideal is a single bucket that all daemons share without any delay.
		ideal tokenBucket
		// peakExcess is the maximum number of requests admitted beyond the rate and the burst
		// in a window.
		peakExcess   float64
		peakExcessAt timekeeper.Millis
	}

	event struct {
		at  timekeeper.Millis
		seq int
		do  func()
	}

	events struct {
		list []event
		seq  int
	}
)

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// newFleet returns n daemons in three regions.
func newFleet(n int, seed uint64, organisations ...*authenticator.Organisation) *fleet {
	f := &fleet{regions: 3, tolerance: tolerance, daemons: make([]daemon, n), random: rand.New(rand.NewPCG(seed, 1)), organisations: organisations, counts: make([]outcomes, len(organisations))}
	for o := range f.counts {
		f.counts[o].peakExcess = math.Inf(-1)
	}
	return f
}

// organisations returns n organisations of decreasing size with limits of 1.6 times their
// demand, and their demands, which add up to perSecond.
func organisations(n int, perSecond float64) (list []*authenticator.Organisation, demands []float64) {
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+2)
	}
	for i := range n {
		d := perSecond / float64(i+2) / sum
		limit := math.Ceil(1.6 * d)
		list = append(list, &authenticator.Organisation{Name: authenticator.Name(fmt.Sprint("o", i)), Limit: authenticator.Limit{PerSecond: limit, Burst: limit}})
		demands = append(demands, d)
	}
	return normalized(list...), demands
}

// normalized returns organisations as a directory holds them.
func normalized(list ...*authenticator.Organisation) []*authenticator.Organisation {
	var plain []authenticator.Organisation
	for _, o := range list {
		plain = append(plain, *o)
	}
	d, err := authenticator.New(plain)
	if err != nil {
		panic(err)
	}
	for i, o := range list {
		list[i] = d.ByHash(hasher.OfString(string(o.Name)))
	}
	return list
}

func (f *fleet) after(d timekeeper.Millis, do func()) {
	f.events.seq++
	heap.Push(&f.events, event{f.now + d, f.events.seq, do})
}

// run executes events until a time.
func (f *fleet) run(until timekeeper.Millis) {
	for f.events.Len() > 0 && f.events.list[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *fleet) region(d int) int { return d % f.regions }

// deliver calls do at another daemon after the message delay, unless the message is lost.
func (f *fleet) deliver(from, to, bytes int, do func()) {
	f.messages++
	f.bytes += bytes
	if f.unreachable(from) || f.random.Float64() < f.loss {
		return
	}
	if f.hold {
		f.held = append(f.held, func() {
			if !f.unreachable(to) {
				do()
			}
		})
		return
	}
	delay := nearDelay
	if f.region(from) != f.region(to) {
		delay = farDelay
	}
	f.after(delay, func() {
		if !f.unreachable(to) {
			do()
		}
	})
}

func (f *fleet) unreachable(d int) bool { return f.daemons[d].dead || f.daemons[d].isolated }

// believedAlive reports whether other daemons still regard d as alive, given their timeout.
func (f *fleet) believedAlive(d int, timeout timekeeper.Millis) bool {
	return !f.unreachable(d) || f.now-f.daemons[d].since < timeout
}

// leader returns the leader of a region in the view of reachable daemons, -1 for none.
func (f *fleet) leader(region int) int {
	for d := range f.daemons {
		if f.region(d) == region && f.believedAlive(d, leaderTimeout) {
			return d
		}
	}
	return -1
}

// refreshView updates the view, as heartbeats do.
func (f *fleet) refreshView() {
	const viewInterval = 100 * timekeeper.Millis(1)
	if f.view.reachable != nil && f.now-f.view.at < viewInterval {
		return
	}
	f.view = fleetView{at: f.now, reachable: make([]int, f.regions), leaders: make([]int, f.regions)}
	for d := range f.daemons {
		if f.believedAlive(d, leaderTimeout) {
			f.view.totalReachable++
			f.view.reachable[f.region(d)]++
		}
	}
	for r := range f.regions {
		f.view.leaders[r] = f.leader(r)
	}
}

// viewOf returns a daemon's view of the fleet.
func (f *fleet) viewOf(d int) limiter.FleetView {
	f.refreshView()
	v := limiter.FleetView{Known: len(f.daemons), Reachable: max(f.view.reachable[f.region(d)], 1)}
	leader := f.view.leaders[f.region(d)]
	v.Isolated = f.view.totalReachable <= 1 && len(f.daemons) > 1
	if f.daemons[d].isolated {
		isolatedFor := f.now - f.daemons[d].since
		v.Isolated = isolatedFor >= livenessTimeout
		if isolatedFor >= leaderTimeout {
			leader = d
		}
	}
	if leader != d && leader >= 0 {
		v.Allocator = strconv.Itoa(leader)
	}
	v.IsAllocator = v.Allocator == ""
	for r, l := range f.view.leaders {
		if r != f.region(d) && l >= 0 {
			v.Others = append(v.Others, strconv.Itoa(l))
		}
	}
	return v
}

// kill terminates a daemon, isolate isolates one, and restore brings either back.
func (f *fleet) kill(d int) {
	if !f.daemons[d].dead {
		f.daemons[d] = daemon{dead: true, since: f.now}
	}
}

func (f *fleet) isolate(d int) {
	if !f.unreachable(d) {
		f.daemons[d].isolated, f.daemons[d].since = true, f.now
	}
}

func (f *fleet) restore(d int) {
	if f.daemons[d].dead {
		f.daemons[d] = daemon{}
		f.strategy.restart(d)
	}
	f.daemons[d].isolated = false
}

// request has a request of an organisation arrive at a daemon. A dead daemon takes none, an
// isolated one does.
func (f *fleet) request(d, o int) {
	if f.daemons[d].dead {
		return
	}
	c := &f.counts[o]
	c.requested = append(c.requested, f.now)
	limit := f.organisations[o].Limit
	// When the ideal bucket runs empty, it admits other requests than a strategy does. Only
	// requests refused while it holds at least a quarter of the burst count.
	ideal := limit.Unlimited() || c.ideal.take(f.now, limit.PerSecond, limit.Burst) && c.ideal.level >= limit.Burst/4
	f.strategy.take(d, f.organisations[o], func(admitted bool) {
		switch {
		case admitted:
			c.admit(f.now, limit, f.tolerance.Window)
		case ideal:
			c.refusedWithinLimit = append(c.refusedWithinLimit, f.now)
		}
	})
}

// admit records an admitted request, and the excess over the limit in the window that ends
// with it.
func (c *outcomes) admit(now timekeeper.Millis, l authenticator.Limit, window timekeeper.Millis) {
	c.admitted = append(c.admitted, now)
	over := float64(countWithin(c.admitted, now, window)) - (l.PerSecond*float64(window)/float64(second) + l.Burst)
	if over > c.peakExcess {
		c.peakExcess, c.peakExcessAt = over, now
	}
}

// countWithin counts the times in the window that ends now.
func countWithin(times []timekeeper.Millis, now, window timekeeper.Millis) int {
	i, _ := slices.BinarySearch(times, now-window+1)
	return len(times) - i
}

// maxExcess returns by how many requests the worst window of an organisation exceeded its limit
// and tolerance.
func (f *fleet) maxExcess(o int) float64 {
	l, t := f.organisations[o].Limit, f.tolerance
	return f.counts[o].peakExcess - (t.Over*(l.PerSecond*float64(t.Window)/float64(second)+l.Burst) + t.Slack)
}

// generate has requests of an organisation arrive at random daemons, at a rate, until a time.
// where selects the daemons; nil means any.
func (f *fleet) generate(o int, perSecond float64, until timekeeper.Millis, where func(d int) bool) {
	f.generateFrom(float64(f.now), o, perSecond, until, where)
}

// generateFrom continues from a time with fractions of a millisecond.
func (f *fleet) generateFrom(at float64, o int, perSecond float64, until timekeeper.Millis, where func(d int) bool) {
	next := at + f.random.ExpFloat64()/perSecond*float64(second)
	f.after(timekeeper.Millis(next)-f.now, func() {
		if f.now > until {
			return
		}
		for range 100 {
			d := f.random.IntN(len(f.daemons))
			if where == nil || where(d) {
				f.request(d, o)
				break
			}
		}
		f.generateFrom(next, o, perSecond, until, where)
	})
}
