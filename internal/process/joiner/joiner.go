package joiner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// minHeartbeatInterval is the shortest interval between two heartbeats without changes,
	// maxHeartbeatInterval the longest that a leader may ask for: three fit into Validity.
	minHeartbeatInterval = timekeeper.Second
	maxHeartbeatInterval = 2500 * timekeeper.Millis(1)

	// Validity is how long a member may act after the leader last confirmed it. It
	// is long enough to span a change of leader, and shorter than the silence after
	// which the leader removes a member from the roster.
	Validity = 8 * timekeeper.Second

	// leaseCheckInterval is the time between two checks of a member that does not try to
	// acquire the lease, because its leader is healthy or AvoidLeading reports true.
	leaseCheckInterval = 500 * time.Millisecond

	// maxUnacknowledged is the maximum number of heartbeats awaiting acknowledgement.
	maxUnacknowledged = 64
)

type (
	// Joiner maintains the membership of one daemon. The exported fields must be set
	// before use.
	Joiner struct {
		Clock timekeeper.Clock
		Self  func() registrar.Member
		Lease *leaser.Lease
		Links *linker.Manager
		// FillHeartbeat fills in a heartbeat.
		FillHeartbeat func(*framer.Heartbeat)
		// OnLeadershipChange is called when this daemon acquires or loses the leader's
		// lease, with the fence and whether the lease is held.
		OnLeadershipChange func(leaser.Fence, bool)
		// HandleOwnHeartbeat handles the heartbeats that this daemon sends to itself while
		// it leads.
		HandleOwnHeartbeat func(*framer.Heartbeat) *framer.Ack
		// AvoidLeading reports whether this daemon must not acquire the leader's lease now.
		AvoidLeading func() bool

		pause       pauseDetector
		triggerOnce sync.Once
		trigger     chan struct{}
		sequence    atomic.Uint64

		lock sync.Mutex
		// sent holds the send times of unacknowledged heartbeats by sequence number.
		// It is allocated by the first heartbeat.
		sent map[uint64]timekeeper.Millis
		// confirmed is the send time of the last heartbeat that confirmed the
		// membership.
		confirmed timekeeper.Millis
		// selfConfirmed reports whether this daemon confirmed itself, as the leader.
		selfConfirmed bool
		// acknowledged is the send time of the last heartbeat that a leader acknowledged.
		acknowledged timekeeper.Millis
		// pauses is the number of pauses before the last confirmation.
		pauses uint64
		leader registrar.Incarnation
		// platformDown reports whether the leader last reported the platform as
		// unreachable.
		platformDown bool
		// requestedInterval is the heartbeat interval that the leader last asked for.
		requestedInterval timekeeper.Millis
	}
)

// Start starts maintaining the membership until ctx is done. All other methods may be
// called before, during and after it, since a daemon's listeners already serve while
// it waits for its first settings.
func (j *Joiner) Start(ctx context.Context) {
	go j.runPauseDetector(ctx)
	go j.runLease(ctx)
	go j.runHeartbeats(ctx)
}

// Valid reports whether this daemon may act as a member now. It is false after a long
// pause until the leader confirms the membership again, and when the leader has not
// confirmed it within Validity although the platform, which holds the leader's lease,
// is reachable. While the platform is unreachable, nothing this member owns is
// reassigned unless it is silent for longer than the longest permitted pause.
func (j *Joiner) Valid() bool {
	pauses := j.pause.check(j.Clock.Now())
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.confirmed == 0 || pauses != j.pauses {
		return false
	}
	if !j.Lease.Reachable() {
		return true
	}
	if j.selfConfirmed {
		// A leader's membership ends with its lease, so that the next leader need
		// not wait any longer.
		_, held := j.Lease.Held()
		return held
	}
	return j.Clock.Now() < j.confirmed+Validity
}

// TriggerHeartbeat triggers a heartbeat ahead of schedule, to report a change.
func (j *Joiner) TriggerHeartbeat() {
	select {
	case j.triggerChannel() <- struct{}{}:
	default:
	}
}

// triggerChannel returns the channel that triggers heartbeats. Its buffer holds one trigger.
func (j *Joiner) triggerChannel() chan struct{} {
	j.triggerOnce.Do(func() { j.trigger = make(chan struct{}, 1) })
	return j.trigger
}

// LeaderHealthy reports whether the leader recently acknowledged a heartbeat.
func (j *Joiner) LeaderHealthy() bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	// The leader is considered lost after two and a half heartbeat intervals without
	// an acknowledgement.
	return j.acknowledged != 0 && j.Clock.Now() < j.acknowledged+j.interval()*5/2
}

// Interval returns the time between two heartbeats without changes. The leader of a
// large region asks for a longer one.
func (j *Joiner) Interval() timekeeper.Millis {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.interval()
}

func (j *Joiner) interval() timekeeper.Millis {
	return min(max(j.requestedInterval, minHeartbeatInterval), maxHeartbeatInterval)
}

// Outage reports whether the platform is unreachable, as last reported by the leader
// or, without a healthy leader, as seen by this daemon.
func (j *Joiner) Outage() bool {
	if j.LeaderHealthy() {
		j.lock.Lock()
		defer j.lock.Unlock()
		return j.platformDown
	}
	return !j.Lease.Reachable()
}

// Leader returns the incarnation of the leader that this daemon sends heartbeats to.
func (j *Joiner) Leader() registrar.Incarnation {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.leader
}

// runPauseDetector checks for pauses regularly, also when no other method is called.
func (j *Joiner) runPauseDetector(ctx context.Context) {
	timekeeper.Every(ctx, pauseCheckInterval, func() { j.pause.check(j.Clock.Now()) })
}

// runLease acquires and renews the leader's lease, or watches its holder. A member
// with a healthy leader makes no calls to the platform.
func (j *Joiner) runLease(ctx context.Context) {
	var wasHeld bool
	for {
		wait := j.stepLease(ctx)
		fence, held := j.Lease.Held()
		if held != wasHeld {
			j.OnLeadershipChange(fence, held)
			wasHeld = held
			j.TriggerHeartbeat()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (j *Joiner) stepLease(ctx context.Context) time.Duration {
	if _, held := j.Lease.Held(); !held && j.LeaderHealthy() {
		return leaseCheckInterval
	}
	_, held := j.Lease.Held()
	if !held && j.AvoidLeading() {
		_ = j.Lease.Refresh(ctx)
		return leaseCheckInterval
	}
	wait := j.Lease.Step(ctx).Duration()
	// Jitter keeps members that lost their leader together from calling the platform
	// together.
	return wait*3/4 + rand.N(wait/2)
}

func (j *Joiner) runHeartbeats(ctx context.Context) {
	for {
		j.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(j.Interval().Duration()):
		case <-j.triggerChannel():
		}
	}
}

func (j *Joiner) sendHeartbeat(ctx context.Context) {
	h := &framer.Heartbeat{Sequence: j.sequence.Add(1)}
	now := j.Clock.Now()
	if _, held := j.Lease.Held(); held {
		j.FillHeartbeat(h)
		j.recordSent(h.Sequence, now)
		j.setLeader(j.Self().Incarnation)
		if a := j.HandleOwnHeartbeat(h); a != nil {
			j.HandleAck(a)
		}
		return
	}
	r, alive := j.Lease.Current()
	if r.Holder == "" || r.Holder == string(j.Self().Incarnation) {
		return
	}
	if !alive && !j.LeaderHealthy() && j.Lease.Reachable() {
		return
	}
	leader := registrar.Member{Incarnation: registrar.Incarnation(r.Holder), Links: r.Address}
	p := j.Links.Peer(ctx, leader)
	j.setLeader(leader.Incarnation)
	if !p.Up() {
		return
	}
	j.FillHeartbeat(h)
	j.recordSent(h.Sequence, now)
	p.Send(framer.KindHeartbeat, h)
}

func (j *Joiner) setLeader(i registrar.Incarnation) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.leader = i
}

// recordSent records the send time of a heartbeat: its acknowledgement confirms the
// membership from then on, not from the time of receipt.
func (j *Joiner) recordSent(sequence uint64, now timekeeper.Millis) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.sent == nil {
		j.sent = map[uint64]timekeeper.Millis{}
	}
	j.sent[sequence] = now
	delete(j.sent, sequence-maxUnacknowledged)
}

// HandleAck handles the acknowledgement of a heartbeat.
func (j *Joiner) HandleAck(a *framer.Ack) {
	pauses := j.pause.check(j.Clock.Now())
	j.lock.Lock()
	defer j.lock.Unlock()
	sent, ok := j.sent[a.Sequence]
	if !ok || !a.Lead {
		return
	}
	delete(j.sent, a.Sequence)
	if e := storer.Era(a.LatestEra); e > j.Lease.Store.Era() {
		j.Lease.Store.ObserveEra(e)
		j.TriggerHeartbeat()
	}
	j.acknowledged = max(j.acknowledged, sent)
	if fence, _ := j.Lease.Held(); fence == 0 {
		j.Lease.Observe(storer.RevisionAt(storer.Era(a.LeaseEra), a.Lease))
	}
	j.platformDown = a.PlatformDown
	j.requestedInterval = timekeeper.Millis(a.BeatMillis)
	if !a.Known {
		return
	}
	if j.Clock.Now()-sent < maxPause {
		// The acknowledged heartbeat was sent after the last pause.
		j.pauses = pauses
	}
	j.confirmed = max(j.confirmed, sent)
	j.selfConfirmed = j.leader == j.Self().Incarnation
}
