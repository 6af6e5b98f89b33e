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
	// cutAfter is how many upstreams must be unreachable in a row for this VM to count as cut
	// off: even where two thirds of all have failed, others are among so many.
	cutAfter = 8

	// doubtAfter is how many of them make it likely.
	doubtAfter = 2

	// firstProbes are dialled at the beginning of a round, and moreProbes after hedgeDelay if
	// none of these was reached. The delay is half a round trip between distant regions.
	firstProbes = 2
	moreProbes  = 6
	hedgeDelay  = 50 * time.Millisecond

	// roundInterval is the pause between two rounds.
	roundInterval = 250 * time.Millisecond

	// probeTimeout bounds a probe: two round trips between distant regions.
	probeTimeout = 150 * time.Millisecond

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
		Upstreams func() *cataloger.Pool
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
		// suspicious means that probes are under way, cut that enough of them failed. settled is
		// closed when an upstream is reached.
		suspicious   bool
		cut          bool
		settled      chan struct{}
		lastResponse timekeeper.Millis
	}
)

// Cut reports whether this VM reaches no upstream.
func (p *Prober) Cut() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.cut
}

// Doubtful reports whether this VM is likely to be cut off: several upstreams in a row were not
// reached.
func (p *Prober) Doubtful() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.cut || len(p.unreached) >= doubtAfter
}

// Settle waits until ctx is done or it is known that this VM reaches some upstream, and reports
// whether it does. Where there are no others to compare with, a failure tells nothing of this VM.
func (p *Prober) Settle(ctx context.Context) bool {
	if p.Upstreams().Len() < 2 {
		return true
	}
	p.lock.Lock()
	suspicious, settled := p.suspicious, p.settled
	p.lock.Unlock()
	if !suspicious {
		return true
	}
	select {
	case <-settled:
		return true
	case <-ctx.Done():
		return false
	}
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
	p.suspicious, p.since, p.settled = true, p.Clock.Now(), make(chan struct{})
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
	p.lock.Lock()
	defer p.lock.Unlock()
	p.suspect()
	if p.unreached == nil {
		p.unreached = map[string]bool{}
	}
	if len(p.unreached) < cutAfter {
		p.unreached[address] = true
	}
}

// concludeCut is called after a round of probes. This VM is cut off if enough upstreams failed and
// none was reached: results of one round arrive in any order.
func (p *Prober) concludeCut() {
	needed := max(min(cutAfter, p.Upstreams().Len()), 1)
	p.lock.Lock()
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
	close(p.settled)
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
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.signal():
		case <-pause.C:
		}
		if !p.isSuspicious() {
			continue
		}
		p.probeRound(ctx)
		p.concludeCut()
		if p.silent() && p.OnSilence != nil {
			p.OnSilence()
		}
		// A failure after an upstream was reached is probed at once.
		pause.Reset(roundInterval)
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

// probeRound dials a few upstreams, more of them if none is reached at once and it is not known
// whether this VM is cut off, and waits for the results.
func (p *Prober) probeRound(ctx context.Context) {
	targets := p.targets(firstProbes + moreProbes)
	first := targets[:min(firstProbes, len(targets))]
	ended := p.start(ctx, first)
	if !p.Cut() && p.awaitFirst(ctx, ended) {
		<-p.start(ctx, targets[len(first):])
	}
	<-ended
}

// start dials upstreams concurrently. The returned channel is closed when all dials have ended.
func (p *Prober) start(ctx context.Context, targets []*cataloger.Upstream) <-chan struct{} {
	var probes sync.WaitGroup
	for _, u := range targets {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			p.Probe(ctx, u)
		})
	}
	ended := make(chan struct{})
	go runClose(&probes, ended)
	return ended
}

// runClose closes ended when all probes have ended.
func runClose(probes *sync.WaitGroup, ended chan<- struct{}) {
	probes.Wait()
	close(ended)
}

// awaitFirst waits until the first probes have ended, or for hedgeDelay, and reports whether none
// has reached its upstream.
func (p *Prober) awaitFirst(ctx context.Context, ended <-chan struct{}) bool {
	p.lock.Lock()
	settled := p.settled
	p.lock.Unlock()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case <-settled:
	case <-ended:
	case <-hedge.C:
	case <-ctx.Done():
	}
	return p.isSuspicious()
}

// targets returns up to n upstreams to probe: random ones of different failure domains, those
// nearby and those that did not fail first.
func (p *Prober) targets(n int) []*cataloger.Upstream {
	all := sample(p.Upstreams())
	p.lock.Lock()
	defer p.lock.Unlock()
	var chosen []*cataloger.Upstream
	for range n {
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

// sample returns random upstreams of each site: as many as may fail before this VM counts as cut, and
// one more.
func sample(all *cataloger.Pool) (list []*cataloger.Upstream) {
	for _, g := range all.Groups() {
		from := rand.IntN(g.Len())
		for i := range min(cutAfter+1, g.Len()) {
			list = append(list, g.At((from+i)%g.Len()))
		}
	}
	return list
}

// rank returns how well an upstream suits the next probe beside the chosen ones, 0 if not at all.
func (p *Prober) rank(u *cataloger.Upstream, chosen []*cataloger.Upstream) int {
	rank := 2 * (len(chosen) + 1)
	if !p.unreached[u.Address] {
		rank += 2 * (firstProbes + moreProbes)
	}
	if u.Site.Region() == p.Site.Region() {
		rank++
	}
	for _, c := range chosen {
		switch {
		case c.Address == u.Address:
			return 0
		case c.Site == u.Site:
			rank -= 2
		}
	}
	return rank
}
