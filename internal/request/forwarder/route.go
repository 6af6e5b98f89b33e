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

	// linkTimeout is how long a request waits for a link to come up.
	linkTimeout = timekeeper.Second
)

// candidate is a daemon that may run a request.
type candidate struct {
	// peer is nil for this daemon.
	peer *linker.Peer
	// relay means that the daemon is asked to choose the owner.
	relay bool
	free  int
	slots int
}

// runAtSite runs the call at its site, and retries it there as far as that is allowed.
func (f *Forwarder) runAtSite(ctx context.Context, t *attempts) exchanger.Result {
	c := t.call
	b := f.budgets.of(c.Service)
	t.attempted = map[registrar.Incarnation]bool{}
	for n := 1; ; n++ {
		if r, quarantined := f.quarantined(t); quarantined {
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

// attempts tracks all attempts of one call.
type attempts struct {
	call       *exchanger.Call
	idempotent bool
	started    bool
	admitted   bool
	attempted  map[registrar.Incarnation]bool
	// mayHaveRun means that an attempt ended with an unknown outcome.
	mayHaveRun bool

	// status is the status of the response, or 0 if there is none yet.
	status int
	// body is the body if it is streamed, else nil.
	body *prefixReader
	// fingerprint is nil until it is computed. observation is what was known of the call as a
	// suspect before its last attempt. isolated means that the call has crashed more than one
	// upstream.
	fingerprint *quarantiner.Fingerprint
	observation quarantiner.Observation
	isolated    bool
}

// overallResult returns the result of the call given that of its last attempt: if that attempt
// did not run, an earlier one may have.
func (t *attempts) overallResult(r exchanger.Result) exchanger.Result {
	if t.mayHaveRun && r.Outcome == exchanger.NotRun {
		r.Outcome = exchanger.Unknown
	}
	return r
}

// trackProgress wraps the call's callbacks and body to track its progress.
func (t *attempts) trackProgress() {
	if t.call.Body != nil {
		t.body = &prefixReader{body: t.call.Body, readable: t.call.BodyReady}
		t.call.Body = t.body
	}
	start := t.call.Start
	t.call.Start = func(resp exchanger.Response) error {
		t.started, t.status = true, resp.Status
		return start(resp)
	}
	admitted := t.call.Admitted
	t.call.Admitted = func() {
		t.admitted = true
		if admitted != nil {
			admitted()
		}
	}
}

// mayRetry reports whether the call may be retried: nothing was forwarded in either direction,
// and it either did not run or is idempotent.
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

// untouched reports whether neither a streamed body nor a response was forwarded yet.
func (t *attempts) untouched() bool {
	return !t.started && (t.call.Body == nil || !t.admitted)
}

// reachedUpstream reports whether an attempt may have put load on an upstream, and so counts
// against the retry budget, which protects upstreams. While upstreams pass from one owner to
// another, requests reach daemons that no longer own them, or not yet. If those attempts
// counted as well, they would use up the budget, and many concurrent requests would be
// refused.
func reachedUpstream(r exchanger.Result) bool {
	switch r.Reason {
	case exchanger.ReasonNotOwner, exchanger.ReasonLinkUnreachable, exchanger.ReasonStopping, exchanger.ReasonNoEntry:
		return false
	}
	return true
}

// retryable reports whether an attempt that did not run for this reason may succeed elsewhere
// or later.
func retryable(r exchanger.Reason) bool {
	switch r {
	case exchanger.ReasonNotOwner, exchanger.ReasonLinkUnreachable, exchanger.ReasonUpstreamUnreachable,
		exchanger.ReasonUpstreamRefused, exchanger.ReasonMembershipExpired, exchanger.ReasonNoUpstream,
		exchanger.ReasonStopping, exchanger.ReasonNoEntry:
		return true
	}
	return false
}

func (f *Forwarder) expired(c *exchanger.Call) bool {
	return c.Deadline > 0 && f.Clock.Now() >= c.Deadline
}

// attemptOnce runs the call once, on the best candidate at present.
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

// recordAttempt records that a daemon was asked to run the call. If its upstream could not be
// dialled, the daemon may be asked again: it has taken that upstream out of use.
func (t *attempts) recordAttempt(i registrar.Incarnation, r exchanger.Result) {
	t.attempted[i] = r.Reason != exchanger.ReasonUpstreamUnreachable
}

// chooseCandidate returns the daemon to run the call: this one while it has a free slot, else
// the one known to have the most, else one of the site that will choose the owner.
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

// candidate returns m as a candidate, and reports false if m is not known to own upstreams of
// k.
func (f *Forwarder) candidate(m registrar.Member, k pooler.Key) (candidate, bool) {
	if m.Incarnation == f.Self().Incarnation {
		free, slots := f.Owner.Free(k)
		return candidate{free: free, slots: slots}, slots > 0
	}
	// Peer dials a missing link, for the benefit of later requests: a daemon without a link to
	// an owner would never use its slots.
	p := f.Links.Peer(f.Base, m)
	if !p.Responsive() {
		return candidate{}, false
	}
	free, slots := p.FreeSlots(k)
	return candidate{peer: p, free: free, slots: slots}, slots > 0
}

// betterThan compares candidates by free slots or, if neither has any, by the expected wait.
func (c candidate) betterThan(d candidate) bool {
	if c.free > 0 || d.free > 0 {
		return c.free > d.free
	}
	return c.free*d.slots > d.free*c.slots
}

// unresponsive reports whether m is known not to respond: its process has terminated, or the
// link is up but nothing comes back.
func (f *Forwarder) unresponsive(m registrar.Member) bool {
	p := f.Links.ExistingPeer(m.Incarnation)
	return p != nil && (p.Terminated() || p.Up() && !p.Responsive())
}

// chooseRelay picks a random daemon of the site that will choose the owner.
func (f *Forwarder) chooseRelay(ctx context.Context, serving []registrar.Member, t *attempts) (candidate, bool) {
	if t.call.Relayed {
		return candidate{}, false
	}
	var responsive []registrar.Member
	for _, m := range serving {
		if m.Incarnation != f.Self().Incarnation && !t.attempted[m.Incarnation] && !f.unresponsive(m) {
			responsive = append(responsive, m)
		}
	}
	if len(responsive) == 0 {
		return candidate{}, false
	}
	m := responsive[rand.IntN(len(responsive))]
	p := f.Links.Peer(f.Base, m)
	ctx, cancel := context.WithTimeout(ctx, linkTimeout.Duration())
	defer cancel()
	p.Await(ctx)
	return candidate{peer: p, relay: true}, true
}
