package fronter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// startupTimeout is how long after its start an entry holds requests that it cannot route
// yet. Startup takes 0.2 to 0.35 s, less than callers wait before they retry a refused
// request; if all entries were lost, the retry would only reach another starting entry.
// Startup without the store takes longer; after the timeout requests are refused at once.
const startupTimeout = 1000 * timekeeper.Millis(1)

// startup tracks what an entry needs to know before it serves.
type startup struct {
	startedAt timekeeper.Millis
	// upstreamsKnown and homesKnown report whether the upstreams and the homes of keys
	// are known.
	upstreamsKnown, homesKnown atomic.Bool

	once sync.Once
	done chan struct{}
}

// SetUpstreamsKnown records that the upstreams are known.
func (f *Fronter) SetUpstreamsKnown() {
	f.startup.upstreamsKnown.Store(true)
	f.completeStartup()
}

// SetHomesKnown records that the homes of keys are known, or that they cannot be known now. A
// request that is served earlier may give its key another home, where the key is not cached
// and the request costs three times the work.
func (f *Fronter) SetHomesKnown() {
	f.startup.homesKnown.Store(true)
	f.completeStartup()
}

// completeStartup completes the startup once configuration, upstreams and homes are known.
func (f *Fronter) completeStartup() {
	s := &f.startup
	if f.Config() == nil || !s.upstreamsKnown.Load() || !f.hasHomes() {
		return
	}
	s.once.Do(func() {
		close(s.done)
		if f.options.OnReady != nil {
			go f.options.OnReady()
		}
	})
}

// hasHomes reports whether the homes are known or startup does not require them.
func (f *Fronter) hasHomes() bool {
	return f.options.Homes == nil || f.options.Without.Has(switcher.StartHomes) || f.startup.homesKnown.Load()
}

// started reports whether startup is complete.
func (f *Fronter) started() bool {
	select {
	case <-f.startup.done:
		return true
	default:
		return false
	}
}

// awaitStartup waits until startup is complete, ctx is done or startupTimeout has passed.
func (f *Fronter) awaitStartup(ctx context.Context) {
	if f.started() || f.options.Without.Has(switcher.StartWaits) {
		return
	}
	remaining := f.startup.startedAt + startupTimeout - f.clock.Now()
	if remaining <= 0 {
		return
	}
	t := time.NewTimer(remaining.Duration())
	defer t.Stop()
	select {
	case <-f.startup.done:
	case <-ctx.Done():
	case <-t.C:
	}
}
