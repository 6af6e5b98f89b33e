package limiter_test

import (
	"strconv"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// messageBytes is the size of a message about tokens with what UDP and IP add, and
	// rowBytes that of one organisation in a heartbeat.
	messageBytes = 28 + 28
	rowBytes     = 14

	beatEvery = 500 * timekeeper.Millis(1)

	// leaseTime is how long a part that follows demand may be used.
	leaseTime = 2500 * timekeeper.Millis(1)
)

type (
	// counted is the way that is kept: leads count, daemons draw.
	counted struct {
		f     *fleet
		cores []*limiter.Core
	}

	// equal gives each daemon the same part for good.
	equal struct {
		f       *fleet
		buckets []map[hasher.Hash]*plain
	}

	// following has leads give parts by demand under leases, with each heartbeat.
	following struct {
		f       *fleet
		buckets []map[hasher.Hash]*plain
		// demands are the requests since the last heartbeat, by daemon and organisation,
		// parts what the leads gave.
		demands []map[hasher.Hash]float64
		rates   []map[hasher.Hash]*leased
	}

	leased struct {
		rate  float64
		until timekeeper.Millis
	}

	// plain is a token bucket.
	plain struct {
		level float64
		at    timekeeper.Millis
	}
)

func (p *plain) take(now timekeeper.Millis, rate, most float64) bool {
	p.level = min(p.level+rate*float64(now-p.at)/float64(second), max(most, 1))
	p.at = now
	if p.level < 1 {
		return false
	}
	p.level--
	return true
}

func newCounted(f *fleet) *counted {
	w := &counted{f: f, cores: make([]*limiter.Core, len(f.daemons))}
	for d := range f.daemons {
		w.start(d)
	}
	w.beat()
	return w
}

func (w *counted) start(d int) {
	known := map[hasher.Hash]*authenticator.Organisation{}
	for _, o := range w.f.all {
		known[o.Hash()] = o
	}
	w.cores[d] = &limiter.Core{
		Tolerance:    w.f.tolerance,
		Organisation: func(h hasher.Hash) *authenticator.Organisation { return known[h] },
	}
}

func (w *counted) observe(d int) *limiter.Core {
	c := w.cores[d]
	c.Observe(w.f.now, w.f.census(d))
	return c
}

func (w *counted) take(d int, o *authenticator.Organisation, done func(bool)) {
	c, told := w.observe(d), false
	t := &limiter.Ticket{}
	t.Decided = func() { told = true; done(t.Verdict.Outcome == limiter.Admitted) }
	w.post(d, c.Take(w.f.now, o, t))
	if told {
		return
	}
	if t.Verdict.Outcome != limiter.Waiting {
		done(t.Verdict.Outcome == limiter.Admitted)
		return
	}
	w.late(d, c, o, t)
}

func (w *counted) late(d int, c *limiter.Core, o *authenticator.Organisation, t *limiter.Ticket) {
	w.f.after(limiter.Patience, func() {
		if w.cores[d] == c && t.Verdict.Outcome == limiter.Waiting {
			w.post(d, c.Late(w.f.now, o, t))
			w.late(d, c, o, t)
		}
	})
}

// beat has all daemons look at the fleet.
func (w *counted) beat() {
	for d := range w.cores {
		w.observe(d)
	}
	w.f.after(beatEvery/2, w.beat)
}

// post sends what a daemon wants to be sent.
func (w *counted) post(d int, out []limiter.Envelope) {
	c := w.cores[d]
	for _, e := range out {
		to, err := strconv.Atoi(e.To)
		if err != nil {
			panic(err)
		}
		w.f.deliver(d, to, messageBytes, func() {
			w.post(to, w.observe(to).Receive(w.f.now, strconv.Itoa(d), e.Message))
		})
	}
	if due := c.Due(out); due > 0 {
		w.f.after(due, func() {
			if w.cores[d] == c {
				w.post(d, c.Tick(w.f.now))
			}
		})
	}
}

func newEqual(f *fleet) *equal {
	w := &equal{f: f, buckets: make([]map[hasher.Hash]*plain, len(f.daemons))}
	for d := range f.daemons {
		w.start(d)
	}
	return w
}

func (w *equal) start(d int) { w.buckets[d] = map[hasher.Hash]*plain{} }

func (w *equal) take(d int, o *authenticator.Organisation, done func(bool)) {
	n := float64(len(w.f.daemons))
	done(bucketOf(w.buckets[d], o).take(w.f.now, o.Limit.PerSecond/n, o.Limit.Burst/n))
}

func bucketOf(m map[hasher.Hash]*plain, o *authenticator.Organisation) *plain {
	if m[o.Hash()] == nil {
		m[o.Hash()] = &plain{}
	}
	return m[o.Hash()]
}

func newFollowing(f *fleet) *following {
	n := len(f.daemons)
	w := &following{f: f, buckets: make([]map[hasher.Hash]*plain, n), demands: make([]map[hasher.Hash]float64, n), rates: make([]map[hasher.Hash]*leased, n)}
	for d := range f.daemons {
		w.start(d)
	}
	w.beat()
	return w
}

func (w *following) start(d int) {
	w.buckets[d], w.demands[d], w.rates[d] = map[hasher.Hash]*plain{}, map[hasher.Hash]float64{}, map[hasher.Hash]*leased{}
}

func (w *following) take(d int, o *authenticator.Organisation, done func(bool)) {
	w.demands[d][o.Hash()]++
	rate, n := o.Limit.PerSecond/float64(len(w.f.daemons))/2, float64(len(w.f.daemons))
	if l := w.rates[d][o.Hash()]; l != nil && w.f.now < l.until {
		rate += l.rate
	}
	done(bucketOf(w.buckets[d], o).take(w.f.now, rate, o.Limit.Burst*max(rate/o.Limit.PerSecond, 1/n)))
}

// beat has each daemon tell its lead what was asked of it, and each lead give half of its
// region's part by that. The other half is in equal parts, for those who ask anew.
func (w *following) beat() {
	w.f.after(beatEvery, w.beat)
	for r := range w.f.regions {
		lead := w.f.lead(r)
		sums := map[hasher.Hash]float64{}
		for d := range w.f.daemons {
			if w.f.region(d) != r || w.f.unheard(d) || lead < 0 || w.f.unheard(lead) {
				continue
			}
			w.f.messages += 2
			w.f.bytes += 2 * (28 + rowBytes*len(w.demands[d]))
			for h, n := range w.demands[d] {
				sums[h] += n
			}
		}
		for d := range w.f.daemons {
			if w.f.region(d) == r && !w.f.unheard(d) && lead >= 0 && !w.f.unheard(lead) {
				w.give(d, sums)
			}
		}
	}
}

func (w *following) give(d int, sums map[hasher.Hash]float64) {
	for _, o := range w.f.all {
		h := o.Hash()
		if sums[h] == 0 {
			continue
		}
		rate := o.Limit.PerSecond / float64(w.f.regions) / 2 * w.demands[d][h] / sums[h]
		w.rates[d][h] = &leased{rate: rate, until: w.f.now + leaseTime}
	}
	w.demands[d] = map[hasher.Hash]float64{}
}
