package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// minUnreached is how many upstreams must be unreachable in a row for this VM to count as
	// cut off: one alone may have failed.
	minUnreached = 2

	// probesPerRound is how many upstreams are dialled at once.
	probesPerRound = 2

	// roundInterval is the pause between two rounds.
	roundInterval = 250 * time.Millisecond

	// probeTimeout bounds a probe: three round trips between distant regions.
	probeTimeout = 250 * time.Millisecond

	// silenceTimeout is how long after the first failure no response may have arrived for the
	// open connections to count as cut as well.
	silenceTimeout = 400 * timekeeper.Millis(1)
)

type (
	// Change reports that this VM lost its access to all upstreams, or has it again.
	Change struct {
		Cut bool
		// Since is how long ago the first failure was seen.
		Since timekeeper.Millis
		// Unreached are addresses that could not be reached, or the one that was reached.
		Unreached []string
		Reached   string
	}

	// Prober tracks whether this VM reaches upstreams. Upstreams and Probe must be set before use.
	Prober struct {
		// Upstreams returns the upstreams that may be probed.
		Upstreams func() []*cataloger.Upstream
		// Probe opens a connection to an upstream and reports the result to RecordReached or
		// RecordUnreached.
		Probe func(ctx context.Context, u *cataloger.Upstream)
		// Site is the location of this VM. Upstreams nearby are probed first.
		Site registrar.Site
		// OnChange is called when the VM is cut off, and when it is no longer. It may be nil.
		OnChange func(Change)
		// OnSilence is called while the VM is cut off and no response has arrived since, after
		// each round. It may be nil.
		OnSilence func()
		Clock     timekeeper.Clock

		once      sync.Once
		suspected chan struct{}

		lock sync.Mutex
		// unreached are the addresses that failed since any was reached, at most as many as
		// needed. since is the time of the first sign.
		unreached map[string]bool
		since     timekeeper.Millis
		// suspicious means that probes are under way, cut that enough of them failed.
		suspicious   bool
		cut          bool
		lastResponse timekeeper.Millis
	}
)

// Cut reports whether this VM reaches no upstream.
func (p *Prober) Cut() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.cut
}

// Suspicious reports whether a failure was seen since an upstream was reached, so that this VM may
// be cut off.
func (p *Prober) Suspicious() bool {
	return p.isSuspicious()
}

// Suspect starts probing, for example since a dial takes long.
func (p *Prober) Suspect() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.suspect()
}

// suspect starts a series of probes. The caller holds the lock.
func (p *Prober) suspect() {
	if p.suspicious {
		return
	}
	p.suspicious, p.since = true, p.Clock.Now()
	select {
	case p.signal() <- struct{}{}:
	default:
	}
}

func (p *Prober) signal() chan struct{} {
	p.once.Do(func() { p.suspected = make(chan struct{}, 1) })
	return p.suspected
}

// RecordUnreached records that the upstream at an address did not accept a connection, or stopped
// acknowledging data.
func (p *Prober) RecordUnreached(address string) {
	needed := max(min(minUnreached, len(p.Upstreams())), 1)
	p.lock.Lock()
	p.suspect()
	if p.unreached == nil {
		p.unreached = map[string]bool{}
	}
	if len(p.unreached) < needed {
		p.unreached[address] = true
	}
	changed := !p.cut && len(p.unreached) >= needed
	p.cut = p.cut || changed
	c := Change{Cut: true, Since: p.Clock.Now() - p.since}
	for a := range p.unreached {
		c.Unreached = append(c.Unreached, a)
	}
	p.lock.Unlock()
	if changed {
		p.report(c)
	}
}

// RecordReached records that the upstream at an address accepted a connection or responded to a
// request, with the time at which the dial or the request began: what began before the first
// failure does not disprove it.
func (p *Prober) RecordReached(address string, began timekeeper.Millis) {
	p.lock.Lock()
	if !p.suspicious || began < p.since {
		p.lock.Unlock()
		return
	}
	changed := p.cut
	c := Change{Since: p.Clock.Now() - p.since, Reached: address}
	p.cut, p.suspicious = false, false
	clear(p.unreached)
	p.lock.Unlock()
	if changed {
		p.report(c)
	}
}

// RecordResponse records a response to a request that began at a time.
func (p *Prober) RecordResponse(address string, began timekeeper.Millis) {
	p.lock.Lock()
	p.lastResponse = p.Clock.Now()
	p.lock.Unlock()
	p.RecordReached(address, began)
}

func (p *Prober) report(c Change) {
	if p.OnChange != nil {
		p.OnChange(c)
	}
}

// Run probes upstreams after failures, until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.signal():
		}
		for p.isSuspicious() && ctx.Err() == nil {
			p.probeRound(ctx)
			if p.silent() && p.OnSilence != nil {
				p.OnSilence()
			}
			if p.isSuspicious() {
				sleep(ctx, roundInterval)
			}
		}
	}
}

func (p *Prober) isSuspicious() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.suspicious
}

// silent reports whether this VM is cut off and has got no response since the first failure.
func (p *Prober) silent() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.cut && p.lastResponse < p.since && p.Clock.Now()-p.since >= silenceTimeout
}

// probeRound dials a few upstreams and waits for the results.
func (p *Prober) probeRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, u := range p.targets() {
		probes.Go(func() { p.Probe(ctx, u) })
	}
	probes.Wait()
}

// targets returns the upstreams of the next round: a random one nearby and a random one of another
// failure domain, neither of which failed before if there are others.
func (p *Prober) targets() []*cataloger.Upstream {
	all := p.Upstreams()
	p.lock.Lock()
	defer p.lock.Unlock()
	var chosen []*cataloger.Upstream
	for range probesPerRound {
		var best *cataloger.Upstream
		bestRank := 0
		for _, i := range rand.Perm(len(all)) {
			if rank := p.rank(all[i], chosen); rank > bestRank {
				best, bestRank = all[i], rank
			}
		}
		if best != nil {
			chosen = append(chosen, best)
		}
	}
	return chosen
}

// rank returns how well an upstream suits the next probe beside the chosen ones, 0 if not at all.
func (p *Prober) rank(u *cataloger.Upstream, chosen []*cataloger.Upstream) int {
	rank := 1
	if !p.unreached[u.Address] {
		rank += 4
	}
	if u.Site.Region() == p.Site.Region() {
		rank++
	}
	for _, c := range chosen {
		if c.Address == u.Address {
			return 0
		}
		if c.Site != u.Site {
			rank += 2
		}
	}
	return rank
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
