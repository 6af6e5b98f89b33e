package fronter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// startTime is how long after its start an entry holds requests for which it does not know
// yet where to send them. Processes know it 0.2 to 0.35 s after their start, while a caller
// that is refused comes back later than that, to an entry that starts as well if all were
// lost. A start without the store goes on for longer, and refuses at once.
const startTime = 1000 * timekeeper.Millis(1)

// start is what an entry has to know before it serves. The zero value knows nothing.
type start struct {
	began timekeeper.Millis
	// upstreams and homes tell that upstreams, and homes of keys, are known.
	upstreams, homes atomic.Bool

	once sync.Once
	done chan struct{}
}

// SetListed says that the upstreams are known.
func (f *Fronter) SetListed() {
	f.start.upstreams.Store(true)
	f.advance()
}

// SetHomed says that it is known where keys live, or that it cannot be known now. A
// request for a key that comes before settles it elsewhere, for three times the work.
func (f *Fronter) SetHomed() {
	f.start.homes.Store(true)
	f.advance()
}

// advance ends the start once all is known.
func (f *Fronter) advance() {
	s := &f.start
	if f.Config() == nil || !s.upstreams.Load() || !f.homed() {
		return
	}
	s.once.Do(func() {
		close(s.done)
		if f.options.Changed != nil {
			go f.options.Changed()
		}
	})
}

// homed tells whether the homes are known, as far as the start needs them.
func (f *Fronter) homed() bool {
	return f.options.Homes == nil || f.options.Without.Has(switcher.StartHomes) || f.start.homes.Load()
}

// started tells whether the entry knows what it needs to serve.
func (f *Fronter) started() bool {
	select {
	case <-f.start.done:
		return true
	default:
		return false
	}
}

// awaitStart waits for the end of the start, or until ctx ends or the start takes too long.
func (f *Fronter) awaitStart(ctx context.Context) {
	if f.started() || f.options.Without.Has(switcher.StartWaits) {
		return
	}
	rest := f.start.began + startTime - f.clock.Now()
	if rest <= 0 {
		return
	}
	t := time.NewTimer(rest.Duration())
	defer t.Stop()
	select {
	case <-f.start.done:
	case <-ctx.Done():
	case <-t.C:
	}
}
