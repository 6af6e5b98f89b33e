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

// admit takes a token of the organisation's limit for the next sending, and refuses the
// request if there is none. A sending that did not run leaves its token to the next one.
func (x *exchange) admit() bool {
	o := x.organisation
	if o == nil || x.d.Limits == nil || x.token == o {
		return true
	}
	x.release()
	v := x.d.Limits.Take(x.r.Context(), o)
	switch v.Outcome {
	case limiter.Admitted:
		x.token = o
		return true
	case limiter.Over:
		x.refuse(http.StatusTooManyRequests, x.because(reasonOverLimit), v.After)
	default:
		x.refuse(http.StatusServiceUnavailable, x.because(reasonLimitUnknown), v.After)
	}
	return false
}

// release gives back the token that the request holds.
func (x *exchange) release() {
	if x.token != nil && x.d.Limits != nil {
		x.d.Limits.Return(x.token)
	}
	x.token = nil
}

// settleToken gives back the token of a request that ended without having run.
func (x *exchange) settleToken() {
	if x.decision.Outcome == exchanger.NotRun.String() || len(x.tried) == 0 {
		x.release()
	}
}

// mayHaveRun notes that the latest sending may have run, and used the token.
func (x *exchange) mayHaveRun() {
	x.unknown = true
	x.token = nil
}
