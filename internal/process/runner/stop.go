package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	stopTick = 20 * time.Millisecond

	// announceLimit bounds the wait until the fleet knows that this daemon
	// leaves. In an outage of the platform it will not know.
	announceLimit = 10 * timekeeper.Second

	// lookupMargin is added to the lifetime of look-ups before the listener
	// closes.
	lookupMargin = 300 * timekeeper.Millis(1)

	releaseTimeout = 2 * time.Second
)

// Stop leaves the fleet so that no request is cut: it tells the fleet, goes on
// serving callers whose look-ups still name it, hands its upstreams over, and
// waits for what is in flight. When ctx ends, it stops waiting.
func (d *Daemon) Stop(ctx context.Context) {
	d.stopped.Do(func() { d.stop(ctx) })
}

func (d *Daemon) stop(ctx context.Context) {
	began := d.clock.Now()
	if d.config.StopMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.config.StopMillis.Duration())
		defer cancel()
	}
	d.leaving.Store(true)
	d.log.WithField("inFlight", d.forwarder.InFlight()).Info("leaving")
	if s := d.snapshot.Load(); s != nil {
		d.joiner.Poke()
		d.until(ctx, began+announceLimit, d.announced)
		d.until(ctx, d.clock.Now()+d.longestLifetime()+lookupMargin, func() bool { return false })
	}
	d.drain(ctx)
	d.release()
	d.cancel()
	d.closeListeners()
	d.meter.Close()
	d.log.WithField("took", (d.clock.Now() - began).String()).Info("stopped")
}

// announced tells whether the rosters show that this daemon leaves.
func (d *Daemon) announced() bool {
	m, ok := d.snapshot.Load().View.Find(d.self.Incarnation)
	return !ok || m.Leaving
}

// shunsLead tells that another daemon should take the lead: this one leaves and
// there is one that stays.
func (d *Daemon) shunsLead() bool {
	if !d.leaving.Load() {
		return false
	}
	for _, m := range d.snapshot.Load().View.Region(d.config.Region) {
		if !m.Leaving && m.Incarnation != d.self.Incarnation {
			return true
		}
	}
	return false
}

// longestLifetime is how long a caller may go by the answer to a look-up.
func (d *Daemon) longestLifetime() timekeeper.Millis {
	settings, _ := d.settings()
	var longest timekeeper.Millis
	for _, site := range settings.Sites {
		for _, name := range settings.Services {
			longest = max(longest, settings.At(site, name).LookupLifetime)
		}
	}
	return longest
}

// until waits for a condition, a reading of the clock, or the end of ctx.
func (d *Daemon) until(ctx context.Context, end timekeeper.Millis, done func() bool) {
	t := time.NewTicker(stopTick)
	defer t.Stop()
	for !done() && d.clock.Now() < end {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// drain waits for the requests of callers, then for those that other daemons
// handed over.
func (d *Daemon) drain(ctx context.Context) {
	for _, s := range d.servers {
		if err := s.shutdown(ctx); err != nil {
			d.log.WithError(err).WithFields(logrus.Fields{"inFlight": d.forwarder.InFlight()}).Warn("stop no longer waits")
			s.close()
		}
	}
	const endless = 1 << 62
	d.until(ctx, endless, func() bool { return d.forwarder.InFlight() == 0 })
}

// release gives the lead back, so that the next need not wait for it to lapse.
func (d *Daemon) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.leader.Lease.Release(ctx); err != nil {
		d.log.WithError(err).Warn("lead not given back")
	}
}

// Kill ends the daemon at once, as a lost process would.
func (d *Daemon) Kill() {
	d.stopped.Do(func() {
		d.cancel()
		for _, s := range d.servers {
			s.close()
		}
		d.closeListeners()
		d.meter.Close()
	})
}
