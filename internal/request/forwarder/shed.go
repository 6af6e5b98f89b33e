package forwarder

import (
	"fmt"
	"net/http"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// DefaultMostInFlight is how many requests an entry may have at once. At 71
	// KB each that is 290 MB.
	DefaultMostInFlight = 4096

	// shedRetryAfter is when a caller that was shed should come back.
	shedRetryAfter = timekeeper.Second
)

// classShare is which part of the requests an entry may have at once the requests of
// a class may take it to. Exports stop first, so that they never keep a dock scan
// out.
func classShare(c resolver.Class) float64 {
	if c == resolver.ClassExport {
		return 0.5
	}
	return 1
}

// shedIfFull refuses a request when the entry has too many of them for its class. It has
// to be asked before the request costs anything.
func (x *exchange) shedIfFull() bool {
	most := x.forwarder.MostInFlight
	if most == 0 {
		most = DefaultMostInFlight
	}
	have := x.forwarder.inFlight.Load()
	if float64(have) <= float64(most)*classShare(x.service.Class) {
		return false
	}
	r := exchanger.Refused(exchanger.ReasonEntryFull, shedRetryAfter)
	x.refuse(http.StatusServiceUnavailable, r, fmt.Sprintf("%d requests here, of %d", have, most))
	return true
}
