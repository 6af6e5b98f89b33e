package leader

import (
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// freeLosses is how many losses of one address within flapMemory cost
	// nothing: a VM that is replaced must be taken in at once.
	freeLosses = 2

	flapMemory   = timekeeper.Minute
	firstHoldOff = 2 * timekeeper.Second
	lastHoldOff  = 30 * timekeeper.Second
)

type (
	// Damper keeps members that come and go from being written to the roster
	// each time. It goes by address, since a process that fails again and again
	// is another incarnation each time. The zero value is ready.
	Damper struct {
		losses map[string]*losses
	}

	losses struct {
		count int
		last  timekeeper.Millis
		until timekeeper.Millis
	}
)

// Lost notes that the member at an address was lost.
func (d *Damper) Lost(address string, now timekeeper.Millis) {
	if d.losses == nil {
		d.losses = map[string]*losses{}
	}
	l := d.losses[address]
	if l == nil || now-l.last > flapMemory {
		l = &losses{}
		d.losses[address] = l
	}
	l.count++
	l.last = now
	if l.count > freeLosses {
		hold := firstHoldOff << min(l.count-freeLosses-1, 8)
		l.until = now + min(hold, lastHoldOff)
	}
}

// Holds tells whether a member at an address must wait.
func (d *Damper) Holds(address string, now timekeeper.Millis) bool {
	l := d.losses[address]
	return l != nil && now < l.until
}

// Forget drops what is too old to matter.
func (d *Damper) Forget(now timekeeper.Millis) {
	for a, l := range d.losses {
		if now-l.last > flapMemory {
			delete(d.losses, a)
		}
	}
}
