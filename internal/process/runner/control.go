package runner

import (
	"context"
	"log"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pipeliner"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// announceEvery is the least time between two announcements of free slots.
	announceEvery = 5 * time.Millisecond

	// announceLater is when one that the budget did not allow is tried again.
	announceLater = 50 * time.Millisecond

	// Loads are reported at the latest after measureLatest heartbeats, and sooner
	// when a pool's use changed by measureStep of its slots: reports are most of
	// what a member tells its lead.
	measureSoonest = timekeeper.Second
	measureLatest  = 4
	measureStep    = 0.25
)

// control handles the frames of control streams.
func (d *Daemon) control(s *linker.Session, f framer.Frame) {
	if err := d.controlFrame(s, f); err != nil {
		d.log.WithError(err).WithField("peer", s.Remote().Name).Warn("link ended: bad frame")
		s.Close()
	}
}

func (d *Daemon) controlFrame(s *linker.Session, f framer.Frame) error {
	switch f.Kind {
	case framer.KindHeartbeat:
		var m framer.Heartbeat
		if err := f.Decode(&m); err != nil {
			return err
		}
		return s.Send(framer.KindAck, d.leader.Hear(s.Remote(), s, &m))
	case framer.KindAck:
		var m framer.Ack
		if err := f.Decode(&m); err != nil {
			return err
		}
		d.joiner.Acked(&m)
	case framer.KindObjects:
		b, err := leader.ReadObjects(f)
		if err != nil {
			return err
		}
		d.replica.Put(b)
	case framer.KindFetch:
		var m framer.Fetch
		if err := f.Decode(&m); err != nil {
			return err
		}
		return leader.SendObjects(s, d.replica.Since(storer.Revision(m.Revision)))
	case framer.KindClaim:
		var m framer.Claim
		if err := f.Decode(&m); err != nil {
			return err
		}
		return s.Send(framer.KindReleased, d.claimer.Asked(&m))
	case framer.KindReleased:
		var m framer.Released
		if err := f.Decode(&m); err != nil {
			return err
		}
		d.claimer.Answered(&m)
	case framer.KindSuspects:
		var m framer.Suspects
		if err := f.Decode(&m); err != nil {
			return err
		}
		return d.suspectsHeard(s, &m)
	}
	// Frames of kinds unknown here come from a later version and are left out.
	return nil
}

// beat fills in a heartbeat.
func (d *Daemon) beat(h *framer.Heartbeat) {
	if s := d.snapshot.Load(); s != nil {
		h.Settings = uint64(s.Number)
		h.Plan = uint64(s.Plan.Number)
	}
	h.Revision = uint64(d.replica.Revision())
	h.Leaving = d.leaving.Load()
	h.InFlight = uint32(d.forwarder.InFlight())
	d.measure(h)
}

// measure adds loads and works to a heartbeat: now and then, and soon when the use
// of a pool changed much.
func (d *Daemon) measure(h *framer.Heartbeat) {
	now := d.clock.Now()
	span := now - d.measured
	pools := d.owner.Pools()
	if span < measureSoonest || span < measureLatest*d.joiner.Interval() && !d.usesChanged(pools) {
		return
	}
	s := d.snapshot.Load()
	if s == nil {
		return
	}
	d.measured = now
	h.SpanMillis = uint32(span)
	n := s.Settings.Numbering()
	for k, p := range pools {
		load, work := p.TakeLoad()
		d.reported[k] = load.Busy
		l := loadMessage(n, k, load, work)
		if l.Service != 0 && l.Site != 0 && (l.Slots > 0 || len(l.Works) > 0) {
			h.Loads = append(h.Loads, l)
		}
	}
}

func loadMessage(n resolver.Numbering, k pooler.Key, l pooler.Load, work map[registrar.Site]timekeeper.Millis) *framer.Load {
	m := &framer.Load{
		Service: n.ServiceNumber(k.Service),
		Site:    n.SiteNumber(k.Site),
		Slots:   uint32(l.Slots),
		Busy:    uint32(l.Busy),
		Waiting: uint32(l.Waiting),
		Peak:    uint32(l.Peak),
	}
	for origin, w := range work {
		m.Works = append(m.Works, &framer.Work{
			Origin:     n.SiteNumber(origin),
			SlotMillis: uint64(w),
		})
	}
	return m
}

// usesChanged tells whether a pool's use is far from what was reported last.
func (d *Daemon) usesChanged(pools map[pooler.Key]*pooler.Pool) bool {
	for k, p := range pools {
		l := p.Load()
		change := l.Busy - d.reported[k]
		if float64(max(change, -change)) > float64(l.Slots)*measureStep {
			return true
		}
	}
	return false
}

func (d *Daemon) selfBeat(h *framer.Heartbeat) *framer.Ack {
	return d.leader.Hear(d.Self(), nil, h)
}

// welcome tells a new link what is free here, and of the requests that crash upstreams.
func (d *Daemon) welcome(s *linker.Session) {
	if err := s.Send(framer.KindSuspects, suspectsFrame(d.quarantine.All(), true)); err != nil {
		s.Close()
		return
	}
	for k := range d.owner.Pools() {
		free, slots := d.owner.Free(k)
		d.links.Tell(s, k, free, slots)
	}
}

func (d *Daemon) headRefused(k pipeliner.Kind) {
	d.meter.Count("heads_refused", measurer.Labels{Kind: string(k)})
}

func (d *Daemon) handlerFailed(reason any) {
	d.log.WithField("reason", reason).Error("request handler panicked")
}

func (d *Daemon) probed(k pooler.Key, _ string, ok bool) {
	kind := "ok"
	if !ok {
		kind = "failed"
	}
	d.meter.Count("probes", measurer.Labels{Service: string(k.Service), Kind: kind})
}

// announcer tells free slots to other daemons, many changes at a time.
type announcer struct {
	lock  sync.Mutex
	dirty map[pooler.Key]struct{}
	wake  chan struct{}
}

// mark notes that the free slots of a pool changed.
func (a *announcer) mark(k pooler.Key) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.dirty == nil {
		a.dirty = map[pooler.Key]struct{}{}
	}
	a.dirty[k] = struct{}{}
	select {
	case a.channel() <- struct{}{}:
	default:
	}
}

func (a *announcer) channel() chan struct{} {
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}

func (a *announcer) take() map[pooler.Key]struct{} {
	a.lock.Lock()
	defer a.lock.Unlock()
	out := a.dirty
	a.dirty = nil
	return out
}

func (a *announcer) loop(ctx context.Context, o *pooler.Owner, m *linker.Manager) {
	a.lock.Lock()
	wake := a.channel()
	a.lock.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		pause := announceEvery
		for k := range a.take() {
			free, slots := o.Free(k)
			if !m.Announce(k, free, slots) {
				a.mark(k)
				pause = announceLater
			}
		}
		time.Sleep(pause)
	}
}

// quietLog keeps what the HTTP server says about single connections at debug
// level: such things are counted.
func quietLog(l *logrus.Entry) *log.Logger {
	return log.New(l.WriterLevel(logrus.DebugLevel), "", 0)
}
