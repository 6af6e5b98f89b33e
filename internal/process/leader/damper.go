package leader

import (
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// toleratedLosses is the number of losses of one address within flapWindow that
	// are not penalised, so that a replaced VM is admitted at once.
	toleratedLosses = 2

	flapWindow = timekeeper.Minute
	minHoldOff = 2 * timekeeper.Second
	maxHoldOff = 30 * timekeeper.Second
)

type (
	// Damper suppresses flapping members so that the roster is not rewritten on
	// each loss and return. It is keyed by address, because a process that crashes
	// repeatedly has a new incarnation each time. The zero value is ready to use.
	Damper struct {
		losses map[string]*losses
	}

	losses struct {
		count int
		last  timekeeper.Millis
		until timekeeper.Millis
	}
)

// RecordLoss records the loss of the member at an address and updates its hold-off.
func (d *Damper) RecordLoss(address string, now timekeeper.Millis) {
	if d.losses == nil {
		d.losses = map[string]*losses{}
	}
	l := d.losses[address]
	if l == nil || now-l.last > flapWindow {
		l = &losses{}
		d.losses[address] = l
	}
	l.count++
	l.last = now
	if l.count > toleratedLosses {
		hold := minHoldOff << min(l.count-toleratedLosses-1, 8)
		l.until = now + min(hold, maxHoldOff)
	}
}

// Suppresses reports whether a member at an address must not be admitted yet.
func (d *Damper) Suppresses(address string, now timekeeper.Millis) bool {
	l := d.losses[address]
	return l != nil && now < l.until
}

// Prune removes addresses without a loss in the last flapWindow.
func (d *Damper) Prune(now timekeeper.Millis) {
	for a, l := range d.losses {
		if now-l.last > flapWindow {
			delete(d.losses, a)
		}
	}
}
