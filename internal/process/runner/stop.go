package runner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	stopPollInterval = 20 * time.Millisecond

	// announceTimeout bounds the wait until the rosters show that this daemon leaves.
	// During an outage of the platform they never do.
	announceTimeout = 10 * timekeeper.Second

	// lookupMargin is the time added to the lifetime of lookups before the listener
	// closes.
	lookupMargin = 300 * timekeeper.Millis(1)

	releaseTimeout = 2 * time.Second
)

// Stop leaves the fleet without interrupting requests: it announces that it leaves, keeps
// serving callers whose lookups still name it, hands its upstreams over, and waits for
// requests in flight. When ctx ends, it stops waiting.
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
		d.joiner.TriggerHeartbeat()
		d.waitUntil(ctx, began+announceTimeout, d.leavingAnnounced)
		d.waitUntil(ctx, d.clock.Now()+d.maxLookupLifetime()+lookupMargin, func() bool { return false })
	}
	d.drain(ctx)
	d.releaseLease()
	d.links.CloseSessions()
	d.cancel()
	d.closeListeners()
	d.meter.Close()
	d.log.WithField("took", (d.clock.Now() - began).String()).Info("stopped")
}

// leavingAnnounced reports whether the rosters show that this daemon leaves.
func (d *Daemon) leavingAnnounced() bool {
	m, ok := d.snapshot.Load().View.Find(d.self.Incarnation)
	return !ok || m.Leaving
}

// avoidsLeading reports whether another daemon should become leader: this one is
// leaving and another member of the region is not.
func (d *Daemon) avoidsLeading() bool {
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

// maxLookupLifetime returns the longest time for which a caller may use the response
// to a lookup.
func (d *Daemon) maxLookupLifetime() timekeeper.Millis {
	settings, _ := d.settings()
	var longest timekeeper.Millis
	for _, site := range settings.Sites {
		for _, name := range settings.Services {
			longest = max(longest, settings.At(site, name).LookupLifetime)
		}
	}
	return longest
}

// waitUntil waits until done returns true, the clock reaches end, or ctx ends.
func (d *Daemon) waitUntil(ctx context.Context, end timekeeper.Millis, done func() bool) {
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for !done() && d.clock.Now() < end {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// drain shuts the servers down, waiting for the requests of callers, and then waits
// for the requests handed over by other daemons.
func (d *Daemon) drain(ctx context.Context) {
	for _, s := range d.servers {
		if err := s.shutdown(ctx); err != nil {
			d.log.WithError(err).WithFields(logrus.Fields{"inFlight": d.forwarder.InFlight()}).Warn("stop no longer waits")
			s.close()
		}
	}
	const noDeadline = 1 << 62
	d.waitUntil(ctx, noDeadline, func() bool { return d.forwarder.InFlight() == 0 && d.links.Serving() == 0 })
}

// releaseLease releases the leader lease, so that the next leader need not wait for it
// to expire.
func (d *Daemon) releaseLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.leader.Lease.Release(ctx); err != nil {
		d.log.WithError(err).Warn("cannot release the leader lease")
	}
}

// Kill stops the daemon immediately, like a crash of the process.
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
