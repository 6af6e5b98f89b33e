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
	// announceInterval is the minimum time between two announcements of free slots.
	announceInterval = 5 * time.Millisecond

	// announceRetryDelay is the delay before retrying an announcement that exceeded
	// the link budget.
	announceRetryDelay = 50 * time.Millisecond

	// Loads are reported after at most maxReportHeartbeats heartbeat intervals, and
	// earlier, but not before minReportInterval, when a pool's busy slots changed by more
	// than reportThreshold of its slots. Load reports are most of the traffic from a
	// member to its leader.
	minReportInterval   = timekeeper.Second
	maxReportHeartbeats = 4
	reportThreshold     = 0.25
)

// handleControl handles a frame of a control stream. A malformed frame closes the link.
func (d *Daemon) handleControl(s *linker.Session, f framer.Frame) {
	if err := d.handleControlFrame(s, f); err != nil {
		d.log.WithError(err).WithField("peer", s.Remote().Name).Warn("link ended: bad frame")
		s.Close()
	}
}

func (d *Daemon) handleControlFrame(s *linker.Session, f framer.Frame) error {
	switch f.Kind {
	case framer.KindHeartbeat:
		var m framer.Heartbeat
		if err := f.Decode(&m); err != nil {
			return err
		}
		return s.Send(framer.KindAck, d.leader.HandleHeartbeat(s.Remote(), s, &m))
	case framer.KindAck:
		var m framer.Ack
		if err := f.Decode(&m); err != nil {
			return err
		}
		d.joiner.HandleAck(&m)
	case framer.KindObjects:
		b, err := leader.ReadObjects(f)
		if err != nil {
			return err
		}
		if e := b.Revision.Era(); e > d.store.Era() {
			d.store.ObserveEra(e)
			d.joiner.TriggerHeartbeat()
		}
		d.replica.Put(b)
	case framer.KindFetch:
		var m framer.Fetch
		if err := f.Decode(&m); err != nil {
			return err
		}
		return leader.SendObjects(s, d.replica.Since(storer.RevisionAt(storer.Era(m.Era), m.Revision)))
	case framer.KindClaim:
		var m framer.Claim
		if err := f.Decode(&m); err != nil {
			return err
		}
		return s.Send(framer.KindReleased, d.claimer.HandleClaim(&m))
	case framer.KindReleased:
		var m framer.Released
		if err := f.Decode(&m); err != nil {
			return err
		}
		d.claimer.HandleReleased(&m)
	case framer.KindSuspects:
		var m framer.Suspects
		if err := f.Decode(&m); err != nil {
			return err
		}
		return d.handleSuspects(s, &m)
	}
	// Unknown frame kinds come from a later version and are ignored.
	return nil
}

// fillHeartbeat sets the fields of a heartbeat to the daemon's current state.
func (d *Daemon) fillHeartbeat(h *framer.Heartbeat) {
	if s := d.snapshot.Load(); s != nil {
		h.Settings = uint64(s.Number)
		h.Plan = uint64(s.Plan.Number)
	}
	revision := d.replica.Revision()
	era := uint64(revision.Era())
	h.Revision, h.Era = revision.Number(), &era
	// A change that is being recorded in a former era is not known yet.
	h.LatestEra = uint64(d.changer.LatestEra())
	_, changes := d.applier.State()
	h.Changes = uint64(changes)
	h.Leaving = d.leaving.Load()
	h.InFlight = uint32(d.forwarder.InFlight())
	d.addLoads(h)
}

// addLoads adds the loads and work of the pools to a heartbeat if a report is due.
func (d *Daemon) addLoads(h *framer.Heartbeat) {
	now := d.clock.Now()
	span := now - d.lastReport
	pools := d.owner.Pools()
	if span < minReportInterval || span < maxReportHeartbeats*d.joiner.Interval() && !d.loadChanged(pools) {
		return
	}
	s := d.snapshot.Load()
	if s == nil {
		return
	}
	d.lastReport = now
	h.SpanMillis = uint32(span)
	n := s.Settings.Numbering()
	for k, p := range pools {
		load, work := p.TakeLoad()
		d.reportedBusy[k] = load.Busy
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

// loadChanged reports whether a pool's busy slots differ from the last report by more
// than reportThreshold.
func (d *Daemon) loadChanged(pools map[pooler.Key]*pooler.Pool) bool {
	for k, p := range pools {
		l := p.Load()
		change := l.Busy - d.reportedBusy[k]
		if float64(max(change, -change)) > float64(l.Slots)*reportThreshold {
			return true
		}
	}
	return false
}

func (d *Daemon) handleOwnHeartbeat(h *framer.Heartbeat) *framer.Ack {
	return d.leader.HandleHeartbeat(d.Self(), nil, h)
}

// sendInitialState sends the suspects of the quarantine and the free slots of every
// pool over a new link.
func (d *Daemon) sendInitialState(s *linker.Session) {
	if err := s.Send(framer.KindSuspects, suspectsFrame(d.quarantine.Suspects(), true)); err != nil {
		s.Close()
		return
	}
	for k := range d.owner.Pools() {
		free, slots := d.owner.Free(k)
		d.links.SendFreeSlots(s, k, free, slots)
	}
}

func (d *Daemon) countRefusedHead(k pipeliner.Kind) {
	d.meter.Count("heads_refused", measurer.Labels{Kind: string(k)})
}

func (d *Daemon) logHandlerPanic(reason any) {
	d.log.WithField("reason", reason).Error("request handler panicked")
}

func (d *Daemon) countProbe(k pooler.Key, _ string, ok bool) {
	kind := "ok"
	if !ok {
		kind = "failed"
	}
	d.meter.Count("probes", measurer.Labels{Service: string(k.Service), Kind: kind})
}

// announcer announces free slots to other daemons in batches.
type announcer struct {
	lock  sync.Mutex
	dirty map[pooler.Key]struct{}
	wake  chan struct{}
}

// markDirty records that the free slots of a pool changed and wakes the loop.
func (a *announcer) markDirty(k pooler.Key) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.dirty == nil {
		a.dirty = map[pooler.Key]struct{}{}
	}
	a.dirty[k] = struct{}{}
	select {
	case a.wakeChannel() <- struct{}{}:
	default:
	}
}

func (a *announcer) wakeChannel() chan struct{} {
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}

func (a *announcer) takeDirty() map[pooler.Key]struct{} {
	a.lock.Lock()
	defer a.lock.Unlock()
	out := a.dirty
	a.dirty = nil
	return out
}

func (a *announcer) loop(ctx context.Context, o *pooler.Owner, m *linker.Manager) {
	a.lock.Lock()
	wake := a.wakeChannel()
	a.lock.Unlock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		pause := announceInterval
		for k := range a.takeDirty() {
			free, slots := o.Free(k)
			if !m.AnnounceFreeSlots(k, free, slots) {
				a.markDirty(k)
				pause = announceRetryDelay
			}
		}
		time.Sleep(pause)
	}
}

// debugLogger returns a logger for the HTTP server that writes at debug level: its
// messages concern single connections, which are counted rather than logged.
func debugLogger(l *logrus.Entry) *log.Logger {
	return log.New(l.WriterLevel(logrus.DebugLevel), "", 0)
}
