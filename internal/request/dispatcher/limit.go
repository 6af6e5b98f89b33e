package dispatcher

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/limiter"
)

const (
	reasonOverLimit    = "over its organisation's limit"
	reasonLimitUnknown = "use of its organisation's limit unknown"
)

// acquireToken takes a token of the organisation's limit for the next attempt, and refuses the
// request if none is available. An attempt that did not run leaves its token to the next one.
func (x *exchange) acquireToken() bool {
	o := x.organisation
	if o == nil || x.d.Limits == nil || x.chargedTo == o {
		return true
	}
	x.releaseToken()
	v := x.d.Limits.Take(x.r.Context(), o)
	switch v.Outcome {
	case limiter.Admitted:
		x.chargedTo = o
		return true
	case limiter.OverLimit:
		x.refuseNotRun(http.StatusTooManyRequests, x.withPriorReason(reasonOverLimit), v.After)
	default:
		x.refuseNotRun(http.StatusServiceUnavailable, x.withPriorReason(reasonLimitUnknown), v.After)
	}
	return false
}

// releaseToken returns the token that the request holds, if any.
func (x *exchange) releaseToken() {
	if x.chargedTo != nil && x.d.Limits != nil {
		x.d.Limits.Return(x.chargedTo)
	}
	x.chargedTo = nil
}

// settleToken returns the token of a request that did not run.
func (x *exchange) settleToken() {
	if x.decision.Outcome == exchanger.NotRun.String() || len(x.attempted) == 0 {
		x.releaseToken()
	}
}

// markMayHaveRun records that the last attempt may have run, which uses up its token.
func (x *exchange) markMayHaveRun() {
	x.mayHaveRun = true
	x.chargedTo = nil
}
