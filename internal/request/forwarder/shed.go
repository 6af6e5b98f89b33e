package forwarder

import (
	"fmt"
	"net/http"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// DefaultMostInFlight is how many requests an entry may have in flight by default. At 71
	// KB each that is 290 MB.
	DefaultMostInFlight = 4096

	// shedRetryAfter is the Retry-After time of a shed request.
	shedRetryAfter = timekeeper.Second
)

// classShare returns the share of MostInFlight up to which requests of a class are accepted.
// Exports are shed first, so that they never crowd out short requests.
func classShare(c resolver.Class) float64 {
	if c == resolver.ClassExport {
		return 0.5
	}
	return 1
}

// shedIfFull refuses the request if the entry has too many in flight for the request's class,
// and reports whether it did. It must be called before the request costs anything.
func (x *exchange) shedIfFull() bool {
	limit := x.forwarder.MostInFlight
	if limit == 0 {
		limit = DefaultMostInFlight
	}
	current := x.forwarder.inFlight.Load()
	if float64(current) <= float64(limit)*classShare(x.service.Class) {
		return false
	}
	r := exchanger.Refused(exchanger.ReasonEntryFull, shedRetryAfter)
	x.refuse(http.StatusServiceUnavailable, r, fmt.Sprintf("%d requests here, of %d", current, limit))
	return true
}
