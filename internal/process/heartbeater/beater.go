package heartbeater

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// beatEvery is the time between heartbeats.
	beatEvery = 500 * time.Millisecond

	// GoneAfter is how long a member may be silent before it counts as gone:
	// five heartbeats, so that a few lost datagrams do no harm.
	GoneAfter = 2500 * timekeeper.Millis(1)

	// leadSilence is how long a lead may be silent before the next in the
	// order takes over: three heartbeats.
	leadSilence = 1600 * timekeeper.Millis(1)

	// freshFor is how long after the store's last answer to a lead its members
	// rely on it: a watch of 0.5 s, a round trip between regions, a heartbeat
	// and half a second more. A leaving upstream must get no more work 2.5 s
	// after it said so, and a member then still has to ask the store itself.
	freshFor = 1500 * timekeeper.Millis(1)
	maxStale = timekeeper.Hour

	// forgetAfter is how long a silent member is still sent heartbeats.
	forgetAfter = 60 * timekeeper.Second

	// heardBy is to how many members of its region a member sends heartbeats:
	// the lead and those that would follow it.
	heardBy = 3

	// farEvery is how many rounds pass between tables to other regions.
	farEvery = 1

	// leadsElsewhere is to how many members of each other region a lead sends
	// its table.
	leadsElsewhere = 2

	// searchSize is to how many known members one that hears no lead sends.
	searchSize = 12

	// MaxRelayBytes bounds the changes in a datagram, in bytes. Longer ones are read
	// from the store by each member.
	MaxRelayBytes = 32 << 10
)

type (
	// Member is one living daemon.
	Member struct {
		Name        string
		Incarnation uint64
		Site        registrar.Site
		// Front takes callers, Beats datagrams.
		Front    string
		Beats    string
		Ready    bool
		Leaving  bool
		Reaching bool
		// Strength is what the VM can carry, in any unit that all share. The
		// strongest lead, since a lead's cost grows with its region.
		Strength uint32
	}

	// Changes is what a lead relays: all changes of a kind of object with
	// revisions above From and up to To. With Omitted they have to be read
	// from the store.
	Changes struct {
		Kind    string
		From    uint64
		To      uint64
		Body    []byte
		Omitted bool
	}

	// Beater sends and receives heartbeats. Self, Send and the addresses must
	// be set before use.
	Beater struct {
		// Self returns this member as it is now.
		Self func() Member
		// Seeds are addresses of members that are not known by name.
		Seeds []string
		Send  func(address string, datagram []byte)
		// Marks returns up to which revision each kind is known here.
		Marks func() map[string]uint64
		// Stale returns how long ago the store answered a watch. Nil means that
		// it just did.
		Stale func() timekeeper.Millis
		// Marked is told what a lead knows, Relayed what it hands on.
		Marked  func(kind string, revision uint64)
		Relayed func(Changes)
		// Missed returns what this member knows of the changes of a kind after
		// a revision, in order and without a gap, nothing if it does not know.
		Missed func(kind string, from uint64) []Changes
		// Homed is told of the homes of keys that another member announced.
		Homed func([]assigner.Assignment)
		// Ended is told of upstreams that another member found to have ended.
		Ended func(cataloger.Incarnation)
		// Quarantine holds what members tell each other of requests that crash upstreams, nil
		// for nothing. Suspected is told what others knew first; nil means nobody wants to
		// know.
		Quarantine *quarantiner.Quarantiner
		Suspected  func([]quarantiner.Change)
		// Limited is told of messages about limits, and who sent them. Nil means nobody wants
		// to know.
		Limited func(from string, m limiter.Message)
		// Counted is told of the bytes of datagrams. Nil means that nobody wants to know.
		Counted func(Traffic)
		Clock   timekeeper.Clock

		lock    sync.Mutex
		members map[string]*known
		// sites are where the members are, by the addresses at which they take datagrams.
		sites map[string]registrar.Site
		self  Member
		round int
	}

	known struct {
		Member
		order hasher.Hash
		// heard is when the member last lived, by its own heartbeat or by a row
		// that says how old it is. Only this is told to others.
		heard timekeeper.Millis
		// vouched is when the lead last stood up for the member. It is not told
		// to others, since two members could keep a dead one alive so.
		vouched timekeeper.Millis
		// direct is when a heartbeat of its own came.
		direct timekeeper.Millis
		// leading is when it last said that it leads, and fresh when the store
		// had last answered it then.
		leading timekeeper.Millis
		fresh   timekeeper.Millis
	}
)

// Learn adds a member that somebody else named. It does not count as living until
// it is heard.
func (b *Beater) Learn(m Member) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if m.Name == b.self.Name || b.members[m.Name] != nil {
		return
	}
	b.put(m, b.Clock.Now()-GoneAfter)
}

// Alive returns the members that live, this one included, in a fixed order.
func (b *Beater) Alive() []Member {
	now := b.Clock.Now()
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	alive := []Member{self}
	for _, k := range b.members {
		if k.lives(now) {
			alive = append(alive, k.Member)
		}
	}
	slices.SortFunc(alive, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return alive
}

// Run sends heartbeats until ctx ends.
func (b *Beater) Run(ctx context.Context) {
	b.Beat(false)
	timekeeper.Every(ctx, beatEvery, func() { b.Beat(false) })
}

// Beat sends one round of heartbeats. With all set it goes to every member of the
// region, for news that cannot wait.
func (b *Beater) Beat(all bool) {
	self := b.Self()
	marks := b.marks()
	b.lock.Lock()
	b.self = self
	b.forget()
	b.round++
	near := b.beat(self, marks)
	var far *Beat
	var to, toFar []string
	switch {
	case near.Leading:
		to = b.searched(self.Site.Region())
		if all || b.round%farEvery == 0 {
			far = &Beat{From: near.From, Leading: true, Rows: b.rows(self.Site.Region())}
			toFar = b.elsewhere(self.Site.Region())
		}
	case all:
		to = b.region(self.Site.Region())
	default:
		near.Rows = b.visitors()
		to = b.upward(self.Site.Region())
	}
	b.lock.Unlock()
	b.send(to, &Datagram{Beat: near})
	b.send(toFar, &Datagram{Beat: far})
}

// Receive takes a datagram from an address. One that is not understood is dropped: it may
// come from another version.
func (b *Beater) Receive(from string, datagram []byte) bool {
	var d Datagram
	understood := proto.Unmarshal(datagram, &d) == nil
	defer b.count(from, Traffic{Purpose: d.purpose(), Received: int64(len(datagram))})
	if !understood {
		return false
	}
	if d.Beat != nil && d.Beat.From != nil {
		b.beaten(d.Beat)
		b.compareSuspects(d.Beat)
	}
	if d.Ask != nil {
		b.asked(d.Ask)
	}
	if h := d.Homes; h != nil && b.Homed != nil {
		b.Homed(assignments(h))
	}
	if d.Ended != nil {
		b.endedHeard(d.Ended)
	}
	if d.Suspects != nil {
		b.suspectsHeard(d.Suspects)
	}
	if d.Tokens != nil && b.Limited != nil {
		b.Limited(from, limitMessage(d.Tokens))
	}
	if r := d.Relay; r != nil && b.Relayed != nil {
		b.Relayed(Changes{Kind: r.Kind, From: r.From, To: r.To, Body: r.Changes, Omitted: r.Omitted})
	}
	return true
}

// beat returns what this member tells its region, without rows of others. The caller holds
// the lock.
func (b *Beater) beat(self Member, marks []*Mark) *Beat {
	m := &Beat{From: row(self, 0), Following: b.following(self)}
	if k := b.lead(self); k != nil {
		m.Lead, m.Digest = k.Name, b.digest(false)
		return m
	}
	m.Lead, m.Leading, m.Digest, m.Marks = self.Name, true, b.digest(true), marks
	if b.Stale != nil {
		m.StaleMillis = uint32(min(b.Stale(), maxStale))
	}
	return m
}

func (b *Beater) beaten(m *Beat) {
	self := b.Self()
	marks := b.marks()
	b.lock.Lock()
	b.self = self
	followed := b.lead(self)
	k := b.take(m)
	if k == nil {
		b.lock.Unlock()
		return
	}
	near := k.Site.Region() == self.Site.Region()
	var reply *Beat
	to := m.From.Beats
	switch {
	case m.Reply:
		if next := b.lead(self); next != nil && next != followed {
			// A lead that hears of its member a round later is a round later relied on.
			reply, to = b.beat(self, nil), next.Beats
		}
	case near:
		reply = b.answer(m, k, marks)
	case !m.Following:
		reply = b.introduce(k)
	}
	b.lock.Unlock()
	if reply != nil {
		b.send([]string{to}, &Datagram{Beat: reply})
	}
	if near && m.Leading && b.Marked != nil {
		for _, r := range m.Marks {
			b.Marked(r.Kind, r.Revision)
		}
	}
}

// take notes what a heartbeat says, and returns its sender, nil if that is this member or
// nobody. The caller holds the lock.
func (b *Beater) take(m *Beat) *known {
	now := b.Clock.Now()
	k := b.note(m.From, now)
	if k == nil {
		return nil
	}
	k.direct = now
	if m.Leading {
		k.leading = now
		k.fresh = now - timekeeper.Millis(m.StaleMillis)
	}
	if m.Full {
		b.expire(now)
	}
	for _, r := range m.Rows {
		b.note(r, now-timekeeper.Millis(r.AgeMillis))
	}
	return k
}

// introduce returns the best member that this one knows in the region of the sender k, which
// hears no lead there, nil if that is k. Without it members whose seeds are all in other
// regions would not find each other. The caller holds the lock.
func (b *Beater) introduce(k *known) *Beat {
	best := b.best(k.Site.Region())
	if best == nil || best == k {
		return nil
	}
	age := b.Clock.Now() - best.heard
	return &Beat{From: row(b.self, 0), Rows: []*Row{row(best.Member, age)}, Reply: true}
}

// answer returns what a member of the region that sent a heartbeat has to know, nil if
// nothing. The caller holds the lock.
func (b *Beater) answer(m *Beat, k *known, marks []*Mark) *Beat {
	if better := b.better(m, k, b.self); better != nil {
		return &Beat{From: row(b.self, 0), Rows: []*Row{better}, Reply: true}
	}
	if m.Leading {
		if m.Digest == b.digest(false) {
			b.vouch(b.Clock.Now())
		}
		return nil
	}
	if b.lead(b.self) != nil || m.Digest == b.digest(true) {
		return nil
	}
	reply := b.beat(b.self, marks)
	reply.Rows, reply.Full, reply.Reply = b.rows(""), true, true
	return reply
}
