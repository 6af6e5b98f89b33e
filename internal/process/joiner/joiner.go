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
	// leastBeat is the least time between two heartbeats without news, and
	// longestBeat the longest that a lead may ask for: three fit into Validity.
	leastBeat   = timekeeper.Second
	longestBeat = 2500 * timekeeper.Millis(1)

	// Validity is how long a member may act after the lead last confirmed it.
	// It spans the change of a lead, and is shorter than leader.Silence.
	Validity = 8 * timekeeper.Second

	// idlePause is how long a member with a healthy lead leaves the lease be.
	idlePause = 500 * time.Millisecond

	// sentKept is how many heartbeats may be without an answer.
	sentKept = 64
)

type (
	// Joiner is the membership of one daemon. Set the exported fields before
	// use.
	Joiner struct {
		Clock timekeeper.Clock
		Self  func() registrar.Member
		Lease *leaser.Lease
		Links *linker.Manager
		// Beat fills in a heartbeat.
		Beat func(*framer.Heartbeat)
		// Lead is told when this daemon becomes or ceases to be the lead.
		Lead func(leaser.Fence, bool)
		// SelfBeat delivers the heartbeats of a lead to itself.
		SelfBeat func(*framer.Heartbeat) *framer.Ack
		// Shun tells that this daemon must not take the lead now.
		Shun func() bool

		pause    pauseDetector
		pokeOnce sync.Once
		poke     chan struct{}
		seq      atomic.Uint64

		lock sync.Mutex
		// sent is made with the first heartbeat.
		sent      map[uint64]timekeeper.Millis
		confirmed timekeeper.Millis
		// bySelf tells that this daemon confirmed itself, as the lead.
		bySelf   bool
		answered timekeeper.Millis
		pauses   uint64
		lead     registrar.Incarnation
		// platformDown is what the lead said last.
		platformDown bool
		// beatAsked is the time between heartbeats that the lead asked for.
		beatAsked timekeeper.Millis
	}
)

// Start takes up the membership. Every other method may be called before, at the
// same time or after: the listeners of a daemon serve while it still waits for
// its first settings.
func (j *Joiner) Start(ctx context.Context) {
	go j.runPause(ctx)
	go j.runLease(ctx)
	go j.runBeats(ctx)
}

// Valid tells whether this daemon may act as a member now. It is false after a long
// pause until the lead has confirmed the membership anew, and when the lead has
// not done so for too long although the platform, which tells who leads, can be
// reached. While it cannot, nobody else is given what this member has, unless it
// is silent for longer than a pause may take.
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
	if j.bySelf {
		// A lead's membership ends with its lease, so that whoever takes the
		// lease need not wait for more.
		_, held := j.Lease.Held()
		return held
	}
	return j.Clock.Now() < j.confirmed+Validity
}

// Poke sends a heartbeat soon, since there is news.
func (j *Joiner) Poke() {
	select {
	case j.pokes() <- struct{}{}:
	default:
	}
}

// pokes is the channel of pokes, which holds one.
func (j *Joiner) pokes() chan struct{} {
	j.pokeOnce.Do(func() { j.poke = make(chan struct{}, 1) })
	return j.poke
}

// LeadHealthy tells whether the lead answered lately.
func (j *Joiner) LeadHealthy() bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	// Two and a half heartbeats without an answer are a lead lost.
	return j.answered != 0 && j.Clock.Now() < j.answered+j.interval()*5/2
}

// Interval is the time between two heartbeats without news. The lead of a large
// region asks for fewer.
func (j *Joiner) Interval() timekeeper.Millis {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.interval()
}

func (j *Joiner) interval() timekeeper.Millis {
	return min(max(j.beatAsked, leastBeat), longestBeat)
}

// Outage tells whether the platform is out of reach, as far as is known here: the
// lead says so, or there is no lead and this daemon finds out itself.
func (j *Joiner) Outage() bool {
	if j.LeadHealthy() {
		j.lock.Lock()
		defer j.lock.Unlock()
		return j.platformDown
	}
	return !j.Lease.Reachable()
}

// LeadIs returns the incarnation of the lead that this daemon beats to.
func (j *Joiner) LeadIs() registrar.Incarnation {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.lead
}

// runPause looks for pauses although nobody asks.
func (j *Joiner) runPause(ctx context.Context) {
	timekeeper.Every(ctx, pauseTick, func() { j.pause.check(j.Clock.Now()) })
}

// runLease holds the lease of the lead, or looks whether somebody does. A
// member whose lead answers leaves the platform alone.
func (j *Joiner) runLease(ctx context.Context) {
	var was bool
	for {
		wait := j.stepLease(ctx)
		fence, held := j.Lease.Held()
		if held != was {
			j.Lead(fence, held)
			was = held
			j.Poke()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (j *Joiner) stepLease(ctx context.Context) time.Duration {
	if _, held := j.Lease.Held(); !held && j.LeadHealthy() {
		return idlePause
	}
	_, held := j.Lease.Held()
	if !held && j.Shun() {
		_ = j.Lease.Look(ctx)
		return idlePause
	}
	wait := j.Lease.Step(ctx).Duration()
	// Members that lost their lead together do not ask together.
	return wait*3/4 + rand.N(wait/2)
}

func (j *Joiner) runBeats(ctx context.Context) {
	for {
		j.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(j.Interval().Duration()):
		case <-j.pokes():
		}
	}
}

func (j *Joiner) beat(ctx context.Context) {
	h := &framer.Heartbeat{Sequence: j.seq.Add(1)}
	now := j.Clock.Now()
	if _, held := j.Lease.Held(); held {
		j.Beat(h)
		j.note(h.Sequence, now)
		j.setLead(j.Self().Incarnation)
		if a := j.SelfBeat(h); a != nil {
			j.Acked(a)
		}
		return
	}
	r, alive := j.Lease.Current()
	if r.Holder == "" || r.Holder == string(j.Self().Incarnation) {
		return
	}
	if !alive && !j.LeadHealthy() && j.Lease.Reachable() {
		return
	}
	lead := registrar.Member{Incarnation: registrar.Incarnation(r.Holder), Links: r.Address}
	p := j.Links.Peer(ctx, lead)
	j.setLead(lead.Incarnation)
	if !p.Up() {
		return
	}
	j.Beat(h)
	j.note(h.Sequence, now)
	p.Send(framer.KindHeartbeat, h)
}

func (j *Joiner) setLead(i registrar.Incarnation) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.lead = i
}

// note remembers when a heartbeat was sent: an answer confirms the membership
// from then on, not from when the answer came.
func (j *Joiner) note(sequence uint64, now timekeeper.Millis) {
	j.lock.Lock()
	defer j.lock.Unlock()
	if j.sent == nil {
		j.sent = map[uint64]timekeeper.Millis{}
	}
	j.sent[sequence] = now
	delete(j.sent, sequence-sentKept)
}

// Acked takes the answer to a heartbeat.
func (j *Joiner) Acked(a *framer.Ack) {
	pauses := j.pause.check(j.Clock.Now())
	j.lock.Lock()
	defer j.lock.Unlock()
	sent, ok := j.sent[a.Sequence]
	if !ok || !a.Lead {
		return
	}
	delete(j.sent, a.Sequence)
	j.answered = max(j.answered, sent)
	if fence, _ := j.Lease.Held(); fence == 0 {
		j.Lease.Observe(storer.Revision(a.Lease))
	}
	j.platformDown = a.PlatformDown
	j.beatAsked = timekeeper.Millis(a.BeatMillis)
	if !a.Known {
		return
	}
	if j.Clock.Now()-sent < pauseLimit {
		// The answer is to a heartbeat sent after any pause.
		j.pauses = pauses
	}
	j.confirmed = max(j.confirmed, sent)
	j.bySelf = j.lead == j.Self().Incarnation
}
