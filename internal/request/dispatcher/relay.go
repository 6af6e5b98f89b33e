package dispatcher

import (
	"context"
	"errors"
	"slices"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// maxHelpers is how many members may refuse a request before it is treated as if there were none.
const maxHelpers = 4

// isCut reports whether this VM reaches no upstream.
func (d *Dispatcher) isCut() bool {
	return d.Reach != nil && d.Reach.Cut()
}

// path returns the way to an upstream that the next attempt takes.
func (x *exchange) path(t *tracker.Upstream) *tracker.Path {
	if x.helper != nil && !x.helperNear {
		return &t.Relayed
	}
	return &t.Direct
}

// onlyKept reports whether the next attempt may only use an open connection: this VM reaches no
// upstream, and the prober finds out when it does again.
func (x *exchange) onlyKept() bool {
	return x.helper == nil && x.d.isCut()
}

// chooseHelper returns a member that may handle the request and reaches upstreams, or nil if none
// is known.
func (x *exchange) chooseHelper() *relayer.Helper {
	if x.d.Relay == nil || len(x.refusedHelpers) >= maxHelpers {
		return nil
	}
	return x.d.Relay.Choose(x.allowsRegion, x.refusedHelpers)
}

// sendRelayed hands the request over to the helper and reports whether the caller got a response.
func (x *exchange) sendRelayed(u *cataloger.Upstream, t *tracker.Upstream) bool {
	q := x.newRequest(u, t)
	// What a helper itself responds is no advice of the upstream.
	recordAdvice := q.OnHead
	q.OnHead, q.Trail = nil, nil
	call := relayer.Call{
		Upstream: u.Incarnation(), Service: u.Service, Time: max(x.expiresAt-x.d.Clock.Now(), 1),
		Again: slices.Contains(x.handedTo, x.helper),
	}
	x.handedTo = append(x.handedTo, x.helper)
	x.decision.Helper = x.helper.Name
	ctx, watch := x.watchNear()
	defer watch.End()
	x.attemptContext = ctx
	resp, result, err := x.d.Relay.Do(ctx, x.helper, call, q)
	watch.Responded()
	if err != nil {
		x.avoidNear(u, err)
		if errors.Is(context.Cause(ctx), relayer.ErrSilent) {
			err = relayer.ErrSilent
		}
		x.handleHandOverError(u, err)
		return false
	}
	defer resp.Close()
	x.countRelayed(string(result.Outcome))
	x.skipNear = x.skipNear || result.Outcome != relayer.Answered
	x.bodyRead = x.streamedBody != nil
	switch result.Outcome {
	case relayer.Answered:
		recordAdvice(resp.Status, resp.Header)
		x.recordAttempt(u)
		defer func() { x.decision.Bytes += resp.Bytes() }()
		x.recordLoad(t, resp)
		return x.handleResponse(u, t, resp)
	case relayer.Refused, relayer.NotReached:
		x.handleRelayedNotSent(u, t, result)
	default:
		x.handleRelayedLost(u, t, result)
	}
	return false
}

// handleHandOverError handles a request of which the helper said nothing.
func (x *exchange) handleHandOverError(u *cataloger.Upstream, err error) {
	switch {
	case errors.Is(err, sender.ErrWithdrawn):
	case errors.Is(err, sender.ErrNotSent):
		x.countRelayed(string(relayer.ReasonNotReached))
		x.excludeHelper(relayer.ReasonNotReached)
	default:
		x.countRelayed("helper lost")
		x.handleHelperLost(u, err)
	}
}

// handleRelayedNotSent handles a request that the helper did not send to the upstream.
func (x *exchange) handleRelayedNotSent(u *cataloger.Upstream, t *tracker.Upstream, result relayer.Result) {
	if result.Outcome == relayer.Refused && result.Reason != relayer.ReasonNotUsable {
		x.excludeHelper(result.Reason)
		return
	}
	x.unreached = append(x.unreached, u.Incarnation())
	x.path(t).RecordDialFailure()
	x.decision.Reason = "upstream not reached"
}

// handleRelayedLost handles a request that the helper sent without a valid response. Without a
// valid outcome it may have run as well.
func (x *exchange) handleRelayedLost(u *cataloger.Upstream, t *tracker.Upstream, result relayer.Result) {
	x.recordAttempt(u)
	x.markMayHaveRun()
	x.path(t).RecordLoss()
	x.decision.Reason = "connection lost"
	if result.Reason != "" {
		x.decision.Reason = string(result.Reason)
	}
	if result.Reason == reasonNoneReached {
		x.excludeHelper(reasonNoneReached)
	}
	if result.Reason == reasonConnectionLost {
		x.checkLoss(u, t, errors.New(string(result.Reason)), x.retryable())
	}
}

// excludeHelper keeps the request from a helper that did not take it, and others as well for a
// while if the reason is not the request.
func (x *exchange) excludeHelper(reason relayer.Reason) {
	x.decision.Reason = string(reason)
	if x.r.Context().Err() != nil {
		return
	}
	if reason != relayer.ReasonNotAllowed && reason != relayer.ReasonNotInRegion {
		x.helper.Avoid()
	}
	x.refusedHelpers = append(x.refusedHelpers, x.helper)
}

// handleHelperLost handles a request that was handed over and of which nothing is known since.
func (x *exchange) handleHelperLost(u *cataloger.Upstream, err error) {
	x.recordAttempt(u)
	x.markMayHaveRun()
	if x.helperNear {
		// The upstream is not to blame, and knows the key.
		x.lostWithHelper = u.Incarnation()
	}
	switch {
	case x.r.Context().Err() != nil:
		x.decision.Reason = "caller left"
	case errors.Is(err, sender.ErrTimeout):
		x.decision.Reason = "no answer in time"
	default:
		x.excludeHelper("helper lost")
	}
}

func (x *exchange) countRelayed(outcome string) {
	x.d.Meter.Count("handed_over", x.labels(outcome))
}

// confirmTerminated returns the state of an upstream that refuses connections from here, which
// looks the same if this VM is cut off from it: another member connects to it.
func (d *Dispatcher) confirmTerminated(u *cataloger.Upstream, timeout timekeeper.Millis) UpstreamState {
	if d.Relay == nil {
		return Terminated
	}
	state := d.probeElsewhere(u, timeout)
	switch {
	case state != "":
		return state
	case d.isCut():
		return Unreachable
	}
	return Terminated
}
