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

func (p *tokenBucket) take(now timekeeper.Millis, rate, capacity float64) bool {
	p.level = min(p.level+rate*float64(now-p.at)/float64(second), max(capacity, 1))
	p.at = now
	if p.level < 1 {
		return false
	}
	p.level--
	return true
}

func newAllocatorStrategy(f *fleet) *allocatorStrategy {
	s := &allocatorStrategy{f: f, cores: make([]*limiter.Core, len(f.daemons))}
	for d := range f.daemons {
		s.restart(d)
	}
	s.heartbeat()
	return s
}

func (s *allocatorStrategy) restart(d int) {
	known := map[hasher.Hash]*authenticator.Organisation{}
	for _, o := range s.f.organisations {
		known[o.Hash()] = o
	}
	s.cores[d] = &limiter.Core{
		Tolerance:    s.f.tolerance,
		Organisation: func(h hasher.Hash) *authenticator.Organisation { return known[h] },
	}
}

func (s *allocatorStrategy) observe(d int) *limiter.Core {
	c := s.cores[d]
	c.Observe(s.f.now, s.f.viewOf(d))
	return c
}

func (s *allocatorStrategy) take(d int, o *authenticator.Organisation, done func(bool)) {
	c, decided := s.observe(d), false
	t := &limiter.Ticket{}
	t.Decided = func() { decided = true; done(t.Verdict.Outcome == limiter.Admitted) }
	s.send(d, c.Take(s.f.now, o, t))
	if decided {
		return
	}
	if t.Verdict.Outcome != limiter.Waiting {
		done(t.Verdict.Outcome == limiter.Admitted)
		return
	}
	s.scheduleTimeout(d, c, o, t)
}

func (s *allocatorStrategy) scheduleTimeout(d int, c *limiter.Core, o *authenticator.Organisation, t *limiter.Ticket) {
	s.f.after(limiter.AllocatorTimeout, func() {
		if s.cores[d] == c && t.Verdict.Outcome == limiter.Waiting {
			s.send(d, c.HandleTimeout(s.f.now, o, t))
			s.scheduleTimeout(d, c, o, t)
		}
	})
}

// heartbeat updates the view of all daemons.
func (s *allocatorStrategy) heartbeat() {
	for d := range s.cores {
		s.observe(d)
	}
	s.f.after(heartbeatInterval/2, s.heartbeat)
}

// send delivers the messages of a daemon.
func (s *allocatorStrategy) send(d int, out []limiter.Envelope) {
	c := s.cores[d]
	for _, e := range out {
		to, err := strconv.Atoi(e.To)
		if err != nil {
			panic(err)
		}
		s.f.deliver(d, to, messageBytes, func() {
			s.send(to, s.observe(to).Receive(s.f.now, strconv.Itoa(d), e.Message))
		})
	}
	if due := c.Due(out); due > 0 {
		s.f.after(due, func() {
			if s.cores[d] == c {
				s.send(d, c.Tick(s.f.now))
			}
		})
	}
}

func newEqualShares(f *fleet) *equalShares {
	s := &equalShares{f: f, buckets: make([]map[hasher.Hash]*tokenBucket, len(f.daemons))}
	for d := range f.daemons {
		s.restart(d)
	}
	return s
}

func (s *equalShares) restart(d int) { s.buckets[d] = map[hasher.Hash]*tokenBucket{} }

func (s *equalShares) take(d int, o *authenticator.Organisation, done func(bool)) {
	n := float64(len(s.f.daemons))
	done(bucketOf(s.buckets[d], o).take(s.f.now, o.Limit.PerSecond/n, o.Limit.Burst/n))
}

func bucketOf(m map[hasher.Hash]*tokenBucket, o *authenticator.Organisation) *tokenBucket {
	if m[o.Hash()] == nil {
		m[o.Hash()] = &tokenBucket{}
	}
	return m[o.Hash()]
}

func newDemandShares(f *fleet) *demandShares {
	n := len(f.daemons)
	s := &demandShares{f: f, buckets: make([]map[hasher.Hash]*tokenBucket, n), demands: make([]map[hasher.Hash]float64, n), rates: make([]map[hasher.Hash]*leasedRate, n)}
	for d := range f.daemons {
		s.restart(d)
	}
	s.heartbeat()
	return s
}

func (s *demandShares) restart(d int) {
	s.buckets[d], s.demands[d], s.rates[d] = map[hasher.Hash]*tokenBucket{}, map[hasher.Hash]float64{}, map[hasher.Hash]*leasedRate{}
}

func (s *demandShares) take(d int, o *authenticator.Organisation, done func(bool)) {
	s.demands[d][o.Hash()]++
	rate, n := o.Limit.PerSecond/float64(len(s.f.daemons))/2, float64(len(s.f.daemons))
	if l := s.rates[d][o.Hash()]; l != nil && s.f.now < l.until {
		rate += l.rate
	}
	done(bucketOf(s.buckets[d], o).take(s.f.now, rate, o.Limit.Burst*max(rate/o.Limit.PerSecond, 1/n)))
}

// heartbeat has each daemon report its demand to its leader, and each leader lease half of its
// region's share by that. The other half is shared equally, for daemons with new demand.
func (s *demandShares) heartbeat() {
	s.f.after(heartbeatInterval, s.heartbeat)
	for r := range s.f.regions {
		leader := s.f.leader(r)
		sums := map[hasher.Hash]float64{}
		for d := range s.f.daemons {
			if s.f.region(d) != r || s.f.unreachable(d) || leader < 0 || s.f.unreachable(leader) {
				continue
			}
			s.f.messages += 2
			s.f.bytes += 2 * (28 + rowBytes*len(s.demands[d]))
			for h, n := range s.demands[d] {
				sums[h] += n
			}
		}
		for d := range s.f.daemons {
			if s.f.region(d) == r && !s.f.unreachable(d) && leader >= 0 && !s.f.unreachable(leader) {
				s.assignRates(d, sums)
			}
		}
	}
}

func (s *demandShares) assignRates(d int, sums map[hasher.Hash]float64) {
	for _, o := range s.f.organisations {
		h := o.Hash()
		if sums[h] == 0 {
			continue
		}
		rate := o.Limit.PerSecond / float64(s.f.regions) / 2 * s.demands[d][h] / sums[h]
		s.rates[d][h] = &leasedRate{rate: rate, until: s.f.now + leaseTime}
	}
	s.demands[d] = map[hasher.Hash]float64{}
}
