package forwarder

import (
	"context"
	"math/rand/v2"

	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	maxAttempts = 4

	// linkTimeout is how long a request waits for a link that is not up yet.
	linkTimeout = timekeeper.Second
)

// candidate is a daemon that may run a request.
type candidate struct {
	// peer is nil for this daemon itself.
	peer  *linker.Peer
	relay bool
	free  int
	slots int
}

// runAtSite finds a daemon for the call at its site and runs it there, again if it
// may.
func (f *Forwarder) runAtSite(ctx context.Context, t *attempts) exchanger.Result {
	c := t.call
	b := f.budgets.of(c.Service)
	t.attempted = map[registrar.Incarnation]bool{}
	for n := 1; ; n++ {
		if r, barred := f.refuseQuarantined(t); barred {
			return r
		}
		r := f.attemptOnce(ctx, t)
		f.updateSuspect(t, r)
		t.mayHaveRun = t.mayHaveRun || r.Outcome == exchanger.Unknown
		if n == maxAttempts || !t.mayRetry(r) || f.expired(c) || ctx.Err() != nil {
			return r
		}
		if reachedUpstream(r) && !b.spend() {
			f.count("retries_refused", c, string(r.Reason))
			return r
		}
		f.count("retries", c, string(r.Reason))
	}
}

// try is the tries of one call.
type attempts struct {
	call       *exchanger.Call
	idempotent bool
	started    bool
	admitted   bool
	attempted  map[registrar.Incarnation]bool
	// mayHaveRun is that a try ended without telling.
	mayHaveRun bool

	// status is that of the answer, 0 for none.
	status int
	// body is a long body, nil if there is none.
	body *prefixReader
	// fingerprint stands for the call once it was asked for, sighting is what was known of it
	// as a suspect before its latest try, and careful tells that it has crashed upstreams more
	// than once.
	fingerprint *quarantiner.Fingerprint
	observation quarantiner.Sighting
	isolated    bool
}

// overallResult returns the result of all tries from that of the last: when it did not run,
// an earlier one may have.
func (t *attempts) overallResult(r exchanger.Result) exchanger.Result {
	if t.mayHaveRun && r.Outcome == exchanger.NotRun {
		r.Outcome = exchanger.Unknown
	}
	return r
}

// trackProgress notes how far the call gets.
func (t *attempts) trackProgress() {
	if t.call.Body != nil {
		t.body = &prefixReader{body: t.call.Body, readable: t.call.BodyReady}
		t.call.Body = t.body
	}
	start := t.call.Start
	t.call.Start = func(a exchanger.Answer) error {
		t.started, t.status = true, a.Status
		return start(a)
	}
	admitted := t.call.Admitted
	t.call.Admitted = func() {
		t.admitted = true
		if admitted != nil {
			admitted()
		}
	}
}

// mayRetry tells whether the call may run once more: nothing was passed on, its
// body is still there, and it did not run or may run twice.
func (t *attempts) mayRetry(r exchanger.Result) bool {
	if !t.untouched() {
		return false
	}
	switch r.Outcome {
	case exchanger.NotRun:
		return retryable(r.Reason)
	case exchanger.Unknown:
		return t.idempotent && !t.isolated
	}
	return false
}

// untouched tells whether the call is as it came: nothing of it was passed on either
// way.
func (t *attempts) untouched() bool {
	return !t.started && (t.call.Body == nil || !t.admitted)
}

// reachedUpstream tells whether a try cost an upstream anything. The budget of
// retries protects upstreams; while they pass from one owner to another, requests
// come to daemons that own them no more or not yet. When those tries counted too,
// 27 to 64 of 100 requests sent at once were refused.
func reachedUpstream(r exchanger.Result) bool {
	switch r.Reason {
	case exchanger.ReasonNotOwner, exchanger.ReasonLinkDial, exchanger.ReasonStopping, exchanger.ReasonNoEntry:
		return false
	}
	return true
}

// retryable tells whether another try may fare better.
func retryable(r exchanger.Reason) bool {
	switch r {
	case exchanger.ReasonNotOwner, exchanger.ReasonLinkDial, exchanger.ReasonUpstreamDial,
		exchanger.ReasonUpstreamBusy, exchanger.ReasonPaused, exchanger.ReasonNoUpstream,
		exchanger.ReasonStopping, exchanger.ReasonNoEntry:
		return true
	}
	return false
}

func (f *Forwarder) expired(c *exchanger.Call) bool {
	return c.Deadline > 0 && f.Clock.Now() >= c.Deadline
}

// attemptOnce runs the call on the best candidate now.
func (f *Forwarder) attemptOnce(ctx context.Context, t *attempts) exchanger.Result {
	snapshot := f.Snapshot()
	best, ok := f.chooseCandidate(ctx, snapshot, t)
	if !ok {
		return exchanger.Refused(exchanger.ReasonNoEntry, timekeeper.Second)
	}
	if best.peer == nil {
		r := f.Owner.Run(ctx, t.call)
		t.recordAttempt(f.Self().Incarnation, r)
		return r
	}
	r := best.peer.Run(ctx, t.call, best.relay)
	t.recordAttempt(best.peer.Member().Incarnation, r)
	return r
}

// record remembers that a daemon was tried. One whose upstream was not reached may be
// tried again: it has taken that upstream out of use.
func (t *attempts) recordAttempt(i registrar.Incarnation, r exchanger.Result) {
	t.attempted[i] = r.Reason != exchanger.ReasonUpstreamDial
}

// chooseCandidate returns the daemon to run the call: this one while it has a slot free,
// else the one known to have most, else one of the site that will choose.
func (f *Forwarder) chooseCandidate(ctx context.Context, s *steerer.Snapshot, t *attempts) (candidate, bool) {
	k := pooler.KeyOf(t.call)
	serving := s.View.Serving(k.Site)
	var best candidate
	found := false
	for _, m := range serving {
		c, ok := f.candidate(m, k)
		if !ok || t.attempted[m.Incarnation] {
			continue
		}
		if !found || c.betterThan(best) {
			best, found = c, true
		}
		if c.peer == nil && c.free > 0 {
			return c, true
		}
	}
	if found {
		return best, true
	}
	return f.chooseRelay(ctx, serving, t)
}

// candidate returns m if it is known to own upstreams of k.
func (f *Forwarder) candidate(m registrar.Member, k pooler.Key) (candidate, bool) {
	if m.Incarnation == f.Self().Incarnation {
		free, slots := f.Owner.Free(k)
		return candidate{free: free, slots: slots}, slots > 0
	}
	// A link that there is not yet is dialled, for the requests that follow: who
	// is not linked to an owner would never use its slots.
	p := f.Links.Peer(f.Base, m)
	if !p.Prompt() {
		return candidate{}, false
	}
	free, slots := p.Free(k)
	return candidate{peer: p, free: free, slots: slots}, slots > 0
}

// betterThan compares by free slots, and among the full by the wait to expect.
func (c candidate) betterThan(d candidate) bool {
	if c.free > 0 || d.free > 0 {
		return c.free > d.free
	}
	return c.free*d.slots > d.free*c.slots
}

// unresponsive tells whether m is known not to answer: its process is gone, or the link
// stands but nothing comes back.
func (f *Forwarder) unresponsive(m registrar.Member) bool {
	p := f.Links.Known(m.Incarnation)
	return p != nil && (p.Gone() || p.Up() && !p.Prompt())
}

// chooseRelay picks a daemon at random that will choose the owner.
func (f *Forwarder) chooseRelay(ctx context.Context, serving []registrar.Member, t *attempts) (candidate, bool) {
	if t.call.Relayed {
		return candidate{}, false
	}
	var open []registrar.Member
	for _, m := range serving {
		if m.Incarnation != f.Self().Incarnation && !t.attempted[m.Incarnation] && !f.unresponsive(m) {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return candidate{}, false
	}
	m := open[rand.IntN(len(open))]
	p := f.Links.Peer(f.Base, m)
	ctx, cancel := context.WithTimeout(ctx, linkTimeout.Duration())
	defer cancel()
	p.Await(ctx)
	return candidate{peer: p, relay: true}, true
}
