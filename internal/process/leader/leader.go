package leader

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
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

	// summaryEvery is the time between two summaries while only the load
	// changes, summaryLatest that without any change.
	summaryEvery  = timekeeper.Second
	summaryLatest = 4 * timekeeper.Second

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

		members *members
		wake    chan struct{}

		lock    sync.Mutex
		cancel  context.CancelFunc
		cursors map[*linker.Session]*cursor
		roster  registrar.Roster
		rosters storer.Revision
		sealed  bool
	}

	// summaryState is the summary written last.
	summaryState struct {
		Summary
		at      storer.Revision
		known   bool
		written timekeeper.Millis
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
	}
	if !leading {
		return a
	}
	if l.members.hear(from, h, l.Clock.Now(), l.Clock.WallNow()) {
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
		go l.runProbe(ctx, s.Remote(), l.Clock.Now())
	}
}

func (l *Leader) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// track remembers a member's link and sends it what it lacks.
func (l *Leader) track(s *linker.Session, has storer.Revision) {
	l.lock.Lock()
	c := l.cursors[s]
	if c == nil {
		c = &cursor{sent: has, at: l.Clock.Now()}
		l.cursors[s] = c
	}
	l.lock.Unlock()
	c.lock.Lock()
	if has < c.sent && l.Clock.Now()-c.at > resendAfter {
		c.sent = has
	}
	c.lock.Unlock()
	l.send(s, c)
}

// Relay passes new objects on to all members.
func (l *Leader) Relay() {
	l.lock.Lock()
	all := make(map[*linker.Session]*cursor, len(l.cursors))
	for s, c := range l.cursors {
		all[s] = c
	}
	l.lock.Unlock()
	for s, c := range all {
		l.send(s, c)
	}
}

func (l *Leader) send(s *linker.Session, c *cursor) {
	c.lock.Lock()
	defer c.lock.Unlock()
	b := l.Replica.Since(c.sent)
	if b.Revision <= c.sent {
		return
	}
	if SendObjects(s, b) != nil {
		s.Close()
		return
	}
	c.sent = b.Revision
	c.at = l.Clock.Now()
}

// SendObjects sends a batch over a link, in as many frames as it takes.
func SendObjects(s *linker.Session, b storer.Batch) error {
	m := &framer.Objects{}
	size := 0
	for _, o := range b.Objects {
		if size > 0 && size+len(o.Body) > storer.MaxObjectBytes {
			if err := s.Send(framer.KindObjects, m); err != nil {
				return err
			}
			m = &framer.Objects{}
			size = 0
		}
		size += len(o.Body)
		m.Objects = append(m.Objects, &framer.Object{Name: o.Name, Revision: uint64(o.Revision), Body: o.Body})
	}
	// Only the last frame claims to be complete up to the revision.
	m.Revision = uint64(b.Revision)
	return s.Send(framer.KindObjects, m)
}

// ReadObjects is the other end of SendObjects.
func ReadObjects(f framer.Frame) (storer.Batch, error) {
	var m framer.Objects
	if err := f.Decode(&m); err != nil {
		return storer.Batch{}, err
	}
	b := storer.Batch{Revision: storer.Revision(m.Revision)}
	for _, o := range m.Objects {
		b.Objects = append(b.Objects, storer.Object{Name: o.Name, Revision: storer.Revision(o.Revision), Body: o.Body})
	}
	return b, nil
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

// dutyRoster writes the roster when the membership changed. The first write
// of a holding seals the object under its fence.
func (l *Leader) dutyRoster(ctx context.Context, fence leaser.Fence) {
	l.lock.Lock()
	sealed := l.sealed
	l.lock.Unlock()
	if !sealed && !l.inherit(ctx, fence) {
		return
	}
	for _, m := range l.members.lapse(l.Clock.Now(), l.Clock.WallNow()) {
		l.Log.WithField("member", m.Name).Info("member lapsed")
	}
	list, past := l.members.list()
	l.lock.Lock()
	next := l.roster
	at := l.rosters
	l.lock.Unlock()
	if sealed && sameMembers(next.Members, list) {
		return
	}
	if now, held := l.Lease.Held(); !held || now != fence {
		return
	}
	next.Region = l.Region
	next.Fence = fence
	next.Version++
	next.Members = list
	next.Past = past
	l.writeRoster(ctx, next, at)
}

// inherit reads the roster of the lead before. It reports false when that is
// not possible now.
func (l *Leader) inherit(ctx context.Context, fence leaser.Fence) bool {
	o, err := l.Store.Get(ctx, registrar.ObjectName(l.Region))
	if errors.Is(err, storer.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	r, err := registrar.Decode(o.Body)
	if err != nil || staleLead(fence, r.Fence) {
		return false
	}
	lease, _ := l.Lease.Current()
	l.members.inherit(r, registrar.Incarnation(lease.Before), l.Clock.Now())
	l.lock.Lock()
	defer l.lock.Unlock()
	l.roster = r
	l.rosters = o.Revision
	return true
}

func (l *Leader) writeRoster(ctx context.Context, next registrar.Roster, at storer.Revision) {
	body, err := next.Encode()
	if err != nil {
		return
	}
	name := registrar.ObjectName(l.Region)
	revision, err := l.put(ctx, name, body, at)
	l.lock.Lock()
	defer l.lock.Unlock()
	if err != nil {
		// Whether it took effect will be seen when it is read anew.
		l.sealed = false
		return
	}
	l.roster = next
	l.rosters = revision
	l.sealed = true
	l.Log.WithFields(logrus.Fields{"version": next.Version, "members": len(next.Members)}).Info("roster written")
}

func (l *Leader) put(ctx context.Context, name string, body []byte, at storer.Revision) (storer.Revision, error) {
	if at == 0 {
		return l.Store.Create(ctx, name, body)
	}
	return l.Store.Update(ctx, name, body, at)
}

// dutySummary writes what the region does: at once when a number in force
// changed, soon when the load did, and now and then in any case.
func (l *Leader) dutySummary(ctx context.Context, fence leaser.Fence, last *summaryState) {
	now := l.Clock.Now()
	next := Summary{Region: l.Region, Fence: fence, Sequence: last.Sequence + 1, AtMillis: l.Clock.WallNow()}
	l.members.summarize(&next)
	since := now - last.written
	if since < summaryEvery && sameNumbers(last.Summary, next) {
		return
	}
	if since < summaryLatest && sameNumbers(last.Summary, next) && sameLoad(last.Summary, next) {
		return
	}
	if !last.known && !l.readSummary(ctx, fence, last) {
		return
	}
	body, err := json.Marshal(next)
	if err != nil {
		return
	}
	at, err := l.put(ctx, SummaryPrefix+l.Region, body, last.at)
	if err != nil {
		// Another revision, or nobody knows: it is read anew before the next.
		last.known = false
		return
	}
	*last = summaryState{Summary: next, at: at, known: true, written: now}
}

// readSummary finds the revision of the summary object. It reports false when it
// cannot, or when a later lead has written there.
func (l *Leader) readSummary(ctx context.Context, fence leaser.Fence, last *summaryState) bool {
	o, err := l.Store.Get(ctx, SummaryPrefix+l.Region)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false
	}
	if old, err := DecodeSummary(o.Body); err == nil && staleLead(fence, old.Fence) {
		return false
	}
	last.at = o.Revision
	last.known = true
	return true
}
