package pooler

import (
	"net/http"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// firstBackOff is how long an upstream that was not reached gets nothing;
	// it doubles up to lastBackOff.
	firstBackOff = 250 * timekeeper.Millis(1)
	lastBackOff  = 8 * timekeeper.Second

	// rampEvery is how long a new or returning upstream stays at a limit
	// before it is doubled.
	rampEvery = 250 * timekeeper.Millis(1)
)

// upstream is one owned server. Its pool's lock protects it.
type upstream struct {
	address string
	// requests is for requests, probes for probes only, so that neither waits for
	// the other's connections.
	requests *http.Transport
	probes   *http.Transport

	busy int
	// elsewhere is how many requests its former owner still has there.
	elsewhere int
	// claimed tells that every former owner has stopped sending.
	claimed bool
	// leaving tells that the upstream announced that it stops.
	leaving bool
	// listed tells that the platform's list of VMs calls its VM leaving.
	listed bool
	// removed tells that this daemon is no longer the owner.
	removed bool

	// failing is the part of the latest requests that failed.
	failing float64

	downUntil timekeeper.Millis
	backOff   timekeeper.Millis
	upSince   timekeeper.Millis
}

func newUpstream(address string, slots int, now timekeeper.Millis, dial dialer) *upstream {
	return &upstream{
		address:  address,
		upSince:  now,
		requests: newRequestTransport(slots, dial),
		probes:   newTransport(probeConns, dial),
	}
}

// resize gives u connections for another number of slots. Requests under way end on
// those that they have.
func (u *upstream) resize(slots int, dial dialer) {
	if u.requests.MaxConnsPerHost == slots+spareConns {
		return
	}
	u.requests.CloseIdleConnections()
	u.requests = newRequestTransport(slots, dial)
}

func (u *upstream) closeIdle() {
	u.requests.CloseIdleConnections()
	u.probes.CloseIdleConnections()
}

// limit is how many requests u may have now: none while it is down, leaving or
// not yet claimed, and a growing number while it warms up.
func (u *upstream) limit(slots int, now timekeeper.Millis) int {
	if u.removed || u.leaving || u.listed || !u.claimed || now < u.downUntil {
		return 0
	}
	doublings := (now - u.upSince) / rampEvery
	if doublings < 16 {
		slots = min(slots, 1<<doublings)
	}
	return max(slots-u.elsewhere, 0)
}

func (u *upstream) fail(now timekeeper.Millis) {
	u.backOff = min(max(u.backOff*2, firstBackOff), lastBackOff)
	u.downUntil = now + u.backOff
	u.upSince = u.downUntil
}

func (u *upstream) succeed() {
	u.backOff = 0
}
