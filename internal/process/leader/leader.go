package leader

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/version/replicator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/lister"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// PlannerLease is the name of the lease of the one planner.
	PlannerLease = "Lease/Planner"

	watchWait = 20 * timekeeper.Second
	tick      = 250 * time.Millisecond

	// gather is how long news is gathered before it is written, so that the
	// heartbeats of a whole region make a few writes.
	gather = 20 * time.Millisecond

	// resendAfter is when objects are sent again to a member that does not
	// show them in its heartbeats.
	resendAfter = 3 * timekeeper.Second

	firstPause = 200 * time.Millisecond
	lastPause  = 5 * time.Second
)

// Prefixes are the objects that leads watch and pass on.
var Prefixes = []string{"Settings/", "Plan/", registrar.Prefix, lister.Prefix}

type (
	// Leader does the duties of a lead while it holds the lease. Set the
	// exported fields before use.
	Leader struct {
		Clock   timekeeper.Clock
		Log     *logrus.Entry
		Region  string
		Store   *storer.Client
		Lease   *leaser.Lease
		Links   *linker.Manager
		Replica *replicator.Replica
		// Settings returns the settings in force here.
		Settings func() (*resolver.Resolved, recorder.Number)

		numberings numberings
		members    *members
		wake       chan struct{}
		// planner is the lease of the planner, nil before the first lead.
		planner atomic.Pointer[leaser.Lease]

		lock    sync.Mutex
		cancel  context.CancelFunc
		cursors map[*linker.Session]*cursor
		roster  registrar.Roster
		rosters storer.Revision
		sealed  bool
	}

	// cursor is up to where a member was sent the relayed objects.
	cursor struct {
		lock sync.Mutex
		sent storer.Revision
		at   timekeeper.Millis
	}
)

// Start prepares l. It must be called before anything else.
func (l *Leader) Start() {
	l.members = newMembers()
	l.wake = make(chan struct{}, 1)
	l.cursors = map[*linker.Session]*cursor{}
}

// Lead begins or ends the duties.
func (l *Leader) Lead(ctx context.Context, fence leaser.Fence, held bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	l.sealed = false
	if !held {
		l.Log.WithField("region", l.Region).Info("lead lost")
		return
	}
	l.Log.WithFields(logrus.Fields{"region": l.Region, "fence": fence}).Info("lead taken")
	ctx, l.cancel = context.WithCancel(ctx)
	go l.runWatch(ctx)
	go l.runDuties(ctx, fence)
	go l.runPlanner(ctx)
}

// Leading tells whether this daemon acts as lead: it holds the lease, or held it
// last and the platform, through which another could take it, is not reached.
func (l *Leader) Leading() bool {
	if _, ok := l.Lease.Held(); ok {
		return true
	}
	r, _ := l.Lease.Current()
	return r.Holder == l.Lease.Holder && !r.Released && !l.Lease.Reachable()
}

// Hear takes a heartbeat and returns the answer. s is nil for the lead's own.
func (l *Leader) Hear(from registrar.Member, s *linker.Session, h *framer.Heartbeat) *framer.Ack {
	leading := l.Leading()
	fence, _ := l.Lease.Held()
	a := &framer.Ack{
		Sequence:     h.Sequence,
		Lead:         leading,
		Fence:        uint64(fence),
		PlatformDown: !l.Lease.Reachable(),
		Lease:        uint64(l.Lease.Revision()),
		BeatMillis:   uint32(l.members.beat()),
	}
	if !leading {
		return a
	}
	settings, number := l.Settings()
	l.numberings.note(number, settings)
	if l.members.hear(from, h, l.numberings.read(h), l.Clock.Now(), l.Clock.WallNow()) {
		l.poke()
	}
	a.Known = l.onRoster(from.Incarnation)
	if s != nil {
		l.track(s, storer.Revision(h.Revision))
	}
	return a
}

func (l *Leader) onRoster(i registrar.Incarnation) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	_, ok := l.roster.Find(i)
	return ok && l.members.known(i)
}

// Gone is told of a link that ended.
func (l *Leader) Gone(ctx context.Context, s *linker.Session) {
	l.lock.Lock()
	_, ours := l.cursors[s]
	delete(l.cursors, s)
	l.lock.Unlock()
	if ours && l.Leading() {
		// The member may not be able to dial back: it can beat over this link too.
		l.Links.Peer(ctx, s.Remote())
		go l.runProbe(ctx, s.Remote(), l.Clock.Now())
	}
}

func (l *Leader) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runWatch holds the region's one watch.
func (l *Leader) runWatch(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		b, err := l.Store.Watch(ctx, Prefixes, l.Replica.Revision(), watchWait)
		if err == nil {
			pause = firstPause
			if len(l.Replica.Put(b)) > 0 {
				l.Relay()
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(pause*2, lastPause)
	}
}

// runDuties keeps the roster and the summary.
func (l *Leader) runDuties(ctx context.Context, fence leaser.Fence) {
	t := time.NewTicker(tick)
	defer t.Stop()
	last := summaryState{}
	for {
		l.dutyRoster(ctx, fence)
		l.dutySummary(ctx, fence, &last)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-l.wake:
			time.Sleep(gather)
		}
	}
}

func (l *Leader) put(ctx context.Context, name string, body []byte, at storer.Revision) (storer.Revision, error) {
	if at == 0 {
		return l.Store.Create(ctx, name, body)
	}
	return l.Store.Update(ctx, name, body, at)
}
