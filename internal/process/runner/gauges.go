package runner

import (
	"context"
	"time"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const gaugeInterval = time.Second

// loopGauges updates the gauges of the daemon's state.
func (d *Daemon) loopGauges(ctx context.Context) {
	timekeeper.Every(ctx, gaugeInterval, d.setGauges)
}

func (d *Daemon) setGauges() {
	s := d.snapshot.Load()
	if s == nil {
		return
	}
	_, leads := d.leader.Lease.Held()
	c := d.controlStatus()
	for name, v := range map[string]float64{
		"settings_number":   float64(s.Number),
		"plan_number":       float64(s.Plan.Number),
		"settings_rejected": float64(d.applier.Rejected()),
		"settings_diverged": float64(d.applier.Diverged()),
		"in_flight":         float64(d.forwarder.InFlight()),
		"invariants_broken": float64(d.leader.FenceRegressions()),
		"member_valid":      boolGauge(d.joiner.Valid()),
		"lead":              boolGauge(leads),
		"link_bytes_in":     float64(c.LinkBytesIn),
		"link_bytes_out":    float64(c.LinkBytesOut),
		"platform_reads":    float64(c.PlatformReads),
		"platform_writes":   float64(c.PlatformWrites),
		"platform_watches":  float64(c.PlatformWatches),
		"platform_bytes":    float64(c.PlatformBytes),
		"requests_handed":   float64(d.links.Counters().Handed.Load()),
		"requests_received": float64(d.links.Counters().Received.Load()),
		"requests_lost":     float64(d.links.Counters().Lost.Load()),
	} {
		d.meter.Gauge(name, measurer.Labels{}, v)
	}
	if d.encrypter != nil {
		left := d.encrypter.RemainingValidity(d.clock.WallNow())
		d.meter.Gauge("link_certificate_seconds_left", measurer.Labels{}, left.Duration().Seconds())
	}
	d.setPoolGauges(s)
}

// setPoolGauges sets the gauges of the daemon's pools, and zeros for services of its
// site for which it owns no pool.
func (d *Daemon) setPoolGauges(s *steerer.Snapshot) {
	pools := d.owner.Pools()
	for _, name := range s.Settings.Services {
		k := pooler.Key{Site: d.self.Site, Service: name}
		if _, ok := pools[k]; !ok {
			pools[k] = nil
		}
	}
	for k, p := range pools {
		var l pooler.Load
		if p != nil {
			l = p.Load()
		}
		labels := measurer.Labels{Service: string(k.Service), Kind: string(k.Site)}
		d.meter.Gauge("owned_slots", labels, float64(l.Slots))
		d.meter.Gauge("busy_slots", labels, float64(l.Busy))
		d.meter.Gauge("waiting_requests", labels, float64(l.Waiting))
		d.meter.Gauge("upstream_ejections", labels, float64(l.Ejections))
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
