package pooler

import (
	"net/http"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// initialBackOff is how long an upstream gets no requests after a failed
	// dial. It doubles with each further failure, up to maxBackOff.
	initialBackOff = 250 * timekeeper.Millis(1)
	maxBackOff     = 8 * timekeeper.Second

	// rampInterval is how often the limit of a new or returning upstream doubles,
	// starting from 1 request.
	rampInterval = 250 * timekeeper.Millis(1)
)

// upstream is one owned upstream. The lock of its pool guards it.
type upstream struct {
	address string
	// Requests and probes have transports of their own, so that neither waits for
	// the other's connections.
	requestTransport *http.Transport
	probeTransport   *http.Transport

	busy int
	// formerBusy is how many requests of its former owners are still in flight there.
	formerBusy int
	// claimed reports whether every former owner has stopped sending.
	claimed bool
	// draining reports whether the upstream announced that it drains, last at drainingSince.
	draining      bool
	drainingSince timekeeper.Millis
	// vmLeaving reports whether its VM is leaving by the platform's list of VMs.
	vmLeaving bool
	// removed reports whether this daemon is no longer the owner.
	removed bool

	// failureShare is the moving average of failed requests, from 0 to 1.
	failureShare float64

	downUntil timekeeper.Millis
	backOff   timekeeper.Millis
	upSince   timekeeper.Millis
}

func newUpstream(address string, slots int, now timekeeper.Millis, dial dialer) *upstream {
	return &upstream{
		address:          address,
		upSince:          now,
		requestTransport: newRequestTransport(slots, dial),
		probeTransport:   newTransport(probeConns, dial),
	}
}

// resize replaces the transport for requests if the number of slots changed. Requests
// in flight complete on their old connections.
func (u *upstream) resize(slots int, dial dialer) {
	if u.requestTransport.MaxConnsPerHost == slots+spareConns {
		return
	}
	u.requestTransport.CloseIdleConnections()
	u.requestTransport = newRequestTransport(slots, dial)
}

func (u *upstream) closeIdle() {
	u.requestTransport.CloseIdleConnections()
	u.probeTransport.CloseIdleConnections()
}

// slotLimit returns how many requests u may have now: none while it is down, leaving or
// unclaimed, and a growing number while it ramps up.
func (u *upstream) slotLimit(slots int, now timekeeper.Millis) int {
	if u.removed || u.draining || u.vmLeaving || !u.claimed || now < u.downUntil {
		return 0
	}
	doublings := (now - u.upSince) / rampInterval
	if doublings < 16 {
		slots = min(slots, 1<<doublings)
	}
	return max(slots-u.formerBusy, 0)
}

func (u *upstream) startBackOff(now timekeeper.Millis) {
	u.backOff = min(max(u.backOff*2, initialBackOff), maxBackOff)
	u.downUntil = now + u.backOff
	u.upSince = u.downUntil
}

func (u *upstream) resetBackOff() {
	u.backOff = 0
}
