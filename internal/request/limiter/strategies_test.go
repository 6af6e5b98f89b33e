package limiter_test

import (
	"strconv"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// messageBytes is the size of a token message with its UDP and IP headers, rowBytes that
	// of one organisation in a heartbeat.
	messageBytes = 28 + 28
	rowBytes     = 14

	heartbeatInterval = 500 * timekeeper.Millis(1)

	// leaseTime is how long a demand-based share may be used.
	leaseTime = 2500 * timekeeper.Millis(1)
)

type (
	// allocatorStrategy is the implemented strategy: leaders allocate tokens, daemons acquire
	// them.
	allocatorStrategy struct {
		f     *fleet
		cores []*limiter.Core
	}

	// equalShares gives each daemon the same constant share.
	equalShares struct {
		f       *fleet
		buckets []map[hasher.Hash]*tokenBucket
	}

	// demandShares has leaders lease shares by demand with each heartbeat.
	demandShares struct {
		f       *fleet
		buckets []map[hasher.Hash]*tokenBucket
		// demands are the requests since the last heartbeat, by daemon and organisation; rates
		// are the leases that the leaders granted.
		demands []map[hasher.Hash]float64
		rates   []map[hasher.Hash]*leasedRate
	}

	leasedRate struct {
		rate  float64
		until timekeeper.Millis
	}

	// tokenBucket is a plain token bucket.
	tokenBucket struct {
		level float64
		at    timekeeper.Millis
	}
)

func (p *tokenBucket) take(now timekeeper.Millis, rate, most float64) bool {
	p.level = min(p.level+rate*float64(now-p.at)/float64(second), max(most, 1))
	p.at = now
	if p.level < 1 {
		return false
	}
	p.level--
	return true
}

func newAllocatorStrategy(f *fleet) *allocatorStrategy {
	w := &allocatorStrategy{f: f, cores: make([]*limiter.Core, len(f.daemons))}
	for d := range f.daemons {
		w.restart(d)
	}
	w.heartbeat()
	return w
}

func (w *allocatorStrategy) restart(d int) {
	known := map[hasher.Hash]*authenticator.Organisation{}
	for _, o := range w.f.organisations {
		known[o.Hash()] = o
	}
	w.cores[d] = &limiter.Core{
		Tolerance:    w.f.tolerance,
		Organisation: func(h hasher.Hash) *authenticator.Organisation { return known[h] },
	}
}

func (w *allocatorStrategy) observe(d int) *limiter.Core {
	c := w.cores[d]
	c.Observe(w.f.now, w.f.viewOf(d))
	return c
}

func (w *allocatorStrategy) take(d int, o *authenticator.Organisation, done func(bool)) {
	c, decided := w.observe(d), false
	t := &limiter.Ticket{}
	t.Decided = func() { decided = true; done(t.Verdict.Outcome == limiter.Admitted) }
	w.send(d, c.Take(w.f.now, o, t))
	if decided {
		return
	}
	if t.Verdict.Outcome != limiter.Waiting {
		done(t.Verdict.Outcome == limiter.Admitted)
		return
	}
	w.scheduleTimeout(d, c, o, t)
}

func (w *allocatorStrategy) scheduleTimeout(d int, c *limiter.Core, o *authenticator.Organisation, t *limiter.Ticket) {
	w.f.after(limiter.AllocatorTimeout, func() {
		if w.cores[d] == c && t.Verdict.Outcome == limiter.Waiting {
			w.send(d, c.HandleTimeout(w.f.now, o, t))
			w.scheduleTimeout(d, c, o, t)
		}
	})
}

// heartbeat updates the view of all daemons.
func (w *allocatorStrategy) heartbeat() {
	for d := range w.cores {
		w.observe(d)
	}
	w.f.after(heartbeatInterval/2, w.heartbeat)
}

// send delivers the messages of a daemon.
func (w *allocatorStrategy) send(d int, out []limiter.Envelope) {
	c := w.cores[d]
	for _, e := range out {
		to, err := strconv.Atoi(e.To)
		if err != nil {
			panic(err)
		}
		w.f.deliver(d, to, messageBytes, func() {
			w.send(to, w.observe(to).Receive(w.f.now, strconv.Itoa(d), e.Message))
		})
	}
	if due := c.Due(out); due > 0 {
		w.f.after(due, func() {
			if w.cores[d] == c {
				w.send(d, c.Tick(w.f.now))
			}
		})
	}
}

func newEqualShares(f *fleet) *equalShares {
	w := &equalShares{f: f, buckets: make([]map[hasher.Hash]*tokenBucket, len(f.daemons))}
	for d := range f.daemons {
		w.restart(d)
	}
	return w
}

func (w *equalShares) restart(d int) { w.buckets[d] = map[hasher.Hash]*tokenBucket{} }

func (w *equalShares) take(d int, o *authenticator.Organisation, done func(bool)) {
	n := float64(len(w.f.daemons))
	done(bucketOf(w.buckets[d], o).take(w.f.now, o.Limit.PerSecond/n, o.Limit.Burst/n))
}

func bucketOf(m map[hasher.Hash]*tokenBucket, o *authenticator.Organisation) *tokenBucket {
	if m[o.Hash()] == nil {
		m[o.Hash()] = &tokenBucket{}
	}
	return m[o.Hash()]
}

func newDemandShares(f *fleet) *demandShares {
	n := len(f.daemons)
	w := &demandShares{f: f, buckets: make([]map[hasher.Hash]*tokenBucket, n), demands: make([]map[hasher.Hash]float64, n), rates: make([]map[hasher.Hash]*leasedRate, n)}
	for d := range f.daemons {
		w.restart(d)
	}
	w.heartbeat()
	return w
}

func (w *demandShares) restart(d int) {
	w.buckets[d], w.demands[d], w.rates[d] = map[hasher.Hash]*tokenBucket{}, map[hasher.Hash]float64{}, map[hasher.Hash]*leasedRate{}
}

func (w *demandShares) take(d int, o *authenticator.Organisation, done func(bool)) {
	w.demands[d][o.Hash()]++
	rate, n := o.Limit.PerSecond/float64(len(w.f.daemons))/2, float64(len(w.f.daemons))
	if l := w.rates[d][o.Hash()]; l != nil && w.f.now < l.until {
		rate += l.rate
	}
	done(bucketOf(w.buckets[d], o).take(w.f.now, rate, o.Limit.Burst*max(rate/o.Limit.PerSecond, 1/n)))
}

// heartbeat has each daemon report its demand to its leader, and each leader lease half of its
// region's share by that. The other half is shared equally, for daemons with new demand.
func (w *demandShares) heartbeat() {
	w.f.after(heartbeatInterval, w.heartbeat)
	for r := range w.f.regions {
		leader := w.f.leader(r)
		sums := map[hasher.Hash]float64{}
		for d := range w.f.daemons {
			if w.f.region(d) != r || w.f.unreachable(d) || leader < 0 || w.f.unreachable(leader) {
				continue
			}
			w.f.messages += 2
			w.f.bytes += 2 * (28 + rowBytes*len(w.demands[d]))
			for h, n := range w.demands[d] {
				sums[h] += n
			}
		}
		for d := range w.f.daemons {
			if w.f.region(d) == r && !w.f.unreachable(d) && leader >= 0 && !w.f.unreachable(leader) {
				w.assignRates(d, sums)
			}
		}
	}
}

func (w *demandShares) assignRates(d int, sums map[hasher.Hash]float64) {
	for _, o := range w.f.organisations {
		h := o.Hash()
		if sums[h] == 0 {
			continue
		}
		rate := o.Limit.PerSecond / float64(w.f.regions) / 2 * w.demands[d][h] / sums[h]
		w.rates[d][h] = &leasedRate{rate: rate, until: w.f.now + leaseTime}
	}
	w.demands[d] = map[hasher.Hash]float64{}
}
