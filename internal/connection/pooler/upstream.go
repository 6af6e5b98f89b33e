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
	// announced is what the upstream announced in its responses. It has a lock of its own.
	announced *announcement
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

func (p *Pool) newUpstream(address string) *upstream {
	return &upstream{
		address:          address,
		announced:        p.announced.of(address),
		upSince:          p.clock.Now(),
		requestTransport: newRequestTransport(p.settings.Slots, p.dial),
		probeTransport:   newTransport(probeConns, p.dial),
	}
}

// leaving reports whether u drains or its VM is leaving.
func (u *upstream) leaving() bool {
	return u.vmLeaving || u.announced.isDraining()
}

// unavailableUntil returns the end of the back-off or the pause, whichever is later.
func (u *upstream) unavailableUntil() timekeeper.Millis {
	return max(u.downUntil, u.announced.pauseEnd())
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

// slotLimit returns how many requests u may have now: none while it is down, paused, leaving or
// unclaimed, and a growing number while it ramps up.
func (u *upstream) slotLimit(slots int, now timekeeper.Millis) int {
	if u.removed || u.leaving() || !u.claimed || now < u.unavailableUntil() {
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
