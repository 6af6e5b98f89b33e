package heartbeater

import (
	"context"
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
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = 500 * time.Millisecond

	// MemberTimeout is the silence after which a member is considered dead: five
	// heartbeats, so that a few lost datagrams have no effect.
	MemberTimeout = 2500 * timekeeper.Millis(1)

	// leaderTimeout is the silence of a leader after which the next member in the
	// order takes over: three heartbeats.
	leaderTimeout = 1600 * timekeeper.Millis(1)

	// maxStoreAge is how long after the store's last response to a leader its members
	// rely on the leader: a watch of 0.5 s, a round trip between regions, a
	// heartbeat and a margin of 0.5 s. A leaving upstream must get no more work 2.5 s
	// after it announced this, and a member that stops relying on its leader needs
	// part of that time to read from the store itself.
	maxStoreAge = 1500 * timekeeper.Millis(1)

	// maxReportedStoreAge is the longest store age that a heartbeat reports.
	maxReportedStoreAge = timekeeper.Hour

	// forgetTimeout is the silence after which a member is no longer sent heartbeats.
	forgetTimeout = 60 * timekeeper.Second

	// heartbeatTargets is the number of members of its region that a member sends heartbeats
	// to: the leader and its next successors.
	heartbeatTargets = 3

	// remoteTableRounds is the number of rounds between two member tables sent to other
	// regions.
	remoteTableRounds = 1

	// targetsPerRegion is the number of members of each other region that a leader
	// sends its table to.
	targetsPerRegion = 2

	// maxDiscoveryTargets is the number of known members that a member without a leader
	// sends heartbeats to.
	maxDiscoveryTargets = 12

	// MaxRelayBytes is the maximum size of the changes in a datagram, in bytes. Each
	// member reads longer ones from the store.
	MaxRelayBytes = 32 << 10

	// RevisionBits is the number of low bits of a position that hold its revision. The others
	// hold the era of the store's copy.
	RevisionBits = 48
)

type (
	// Member describes a daemon of the fleet.
	Member struct {
		Name        string
		Incarnation uint64
		Site        registrar.Site
		// Front is the address for callers, Beats the address for datagrams.
		Front   string
		Beats   string
		Ready   bool
		Leaving bool
		// Reaching reports whether the member reaches the store.
		Reaching bool
		// Strength is the capacity of the VM, in any unit that all members share.
		// Stronger members come first in the leader order, since a leader's cost
		// grows with its region.
		Strength uint32
		// Relays reports whether the member accepts requests of members that reach no upstream,
		// Cut whether it reaches none itself.
		Relays bool
		Cut    bool
		// HandsOn reports whether the member hands on datagrams in its failure domain.
		HandsOn bool
		// ConfigVersion is the version of the configuration in force, 0 if there is none.
		ConfigVersion uint64
	}

	// Changes holds all changes of one kind of object with revisions above From and
	// up to To, as relayed by a leader. If Omitted is set, they must be read from the
	// store.
	Changes struct {
		Kind    string
		From    uint64
		To      uint64
		Body    []byte
		Omitted bool
		// Complete reports that Body holds all objects as of To, not the changes since From.
		Complete bool
	}

	// Heartbeater sends and receives heartbeats. Self, Send and Seeds must be set before
	// use.
	Heartbeater struct {
		// Self returns the current description of this member.
		Self func() Member
		// Seeds are datagram addresses of members whose names need not be known.
		Seeds []string
		// Send sends a datagram to an address. Losses are tolerated.
		Send func(address string, datagram []byte)
		// Watermarks returns the watermark of each kind: the revision up to which its
		// changes are known here. May be nil.
		Watermarks func() map[string]uint64
		// StoreAge returns the time since the store last responded to a watch. Nil means
		// that it is always zero.
		StoreAge func() timekeeper.Millis
		// OnWatermark is called with each watermark of the leader, OnChanges with the
		// changes it relays. Both may be nil.
		OnWatermark func(kind string, revision uint64)
		OnChanges   func(Changes)
		// ChangesAfter returns the known changes of a kind after a revision, in order and
		// without a gap, or none if some of them are unknown. May be nil.
		ChangesAfter func(kind string, from uint64) []Changes
		// OnHomes is called with the homes of keys that another member announced. May be
		// nil.
		OnHomes func([]assigner.Assignment)
		// OnTerminated is called with each incarnation of an upstream that another member
		// announced as terminated. May be nil.
		OnTerminated func(cataloger.Incarnation)
		// OnLeaving is called with the upstreams that another member announced as leaving. May
		// be nil.
		OnLeaving func([]cataloger.Departure)
		// Catalog returns the upstreams known here. Members share the announcements that they
		// leave. Nil disables this.
		Catalog func() *cataloger.Snapshot
		// Quarantine holds the requests suspected of crashing upstreams, which members
		// share. Nil disables sharing. OnSuspects is called with the changes learned from
		// other members; it may be nil.
		Quarantine *quarantiner.Quarantiner
		OnSuspects func([]quarantiner.Change)
		// OnLimitMessage is called with each message about limits and its sender's address.
		// May be nil.
		OnLimitMessage func(from string, m limiter.Message)
		// OnMember is called with the sender of each heartbeat. May be nil.
		OnMember func(Member)
		// OnTraffic is called with the size of each datagram sent or received. May be nil.
		OnTraffic func(Traffic)
		// WholeTables makes a leader send its whole table of members at each change, not the
		// difference.
		WholeTables bool
		// NoHandOn makes this member send to each member of its region by itself.
		NoHandOn bool
		Clock    timekeeper.Clock

		lock    sync.Mutex
		members map[string]*knownMember
		// regions holds the members of each region in the leader order.
		regions map[string][]*knownMember
		// living, confirmed and alive cache what follows from the states of all living members.
		// changes counts what may make them out of date.
		changes   uint64
		living    cachedDigest
		confirmed cachedDigest
		alive     cachedMembers
		// sites holds the members' sites by their datagram addresses.
		sites map[string]registrar.Site
		self  Member
		round int
		// table records the changes of the members while this one leads.
		table  tableChanges
		packed packedTable
		// known is the version of the leader's table that this member has.
		known knownTable
	}

	// knownMember is what this member knows of another.
	knownMember struct {
		Member
		region string
		// digest is the digest of the state of the member.
		digest hasher.Hash
		// nameHash breaks ties in the leader order. It is the hash of the name.
		nameHash hasher.Hash
		// lastAlive is when the member was last known to be alive, by its own heartbeat
		// or by a row with its age. Only this time is sent to others.
		lastAlive timekeeper.Millis
		// confirmed is the time of the last liveness confirmation by the leader. It is
		// not sent to others: two members could otherwise keep a dead one alive by
		// confirming it to each other.
		confirmed timekeeper.Millis
		// lastHeartbeat is when its own last heartbeat was received.
		lastHeartbeat timekeeper.Millis
		// lastLeading is when its last heartbeat as a leader was received, storeResponded
		// the time at which, by that heartbeat, the store had last responded to it.
		lastLeading timekeeper.Millis
		// mismatches counts the member's heartbeats in a row by which it has the latest version
		// of this leader's table and another digest.
		mismatches     int
		storeResponded timekeeper.Millis
	}
)

// AddMember adds a member known from another source. It is not considered alive until it
// is heard from.
func (b *Heartbeater) AddMember(m Member) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if m.Name == b.self.Name || b.members[m.Name] != nil {
		return
	}
	b.insert(m, b.Clock.Now()-MemberTimeout)
}

// Run sends heartbeats until ctx is done.
func (b *Heartbeater) Run(ctx context.Context) {
	b.SendHeartbeats(false)
	timekeeper.Every(ctx, heartbeatInterval, func() { b.SendHeartbeats(false) })
}

// SendHeartbeats sends one round of heartbeats. If all is set, it goes to every member of
// the region, for changes that must be known at once.
func (b *Heartbeater) SendHeartbeats(all bool) {
	self := b.Self()
	watermarks := b.watermarks()
	b.lock.Lock()
	b.self = self
	b.removeSilent()
	b.round++
	near := b.newBeat(self, watermarks)
	var far *Beat
	var to, toFar []string
	switch {
	case near.Leading:
		to = b.leaderTargets(self.Site.Region())
		if all || b.round%remoteTableRounds == 0 {
			far = &Beat{From: near.From, Leading: true, Rows: b.rows(self.Site.Region())}
			toFar = b.remoteTargets(self.Site.Region())
		}
	case all:
		to = b.regionTargets(self.Site.Region())
	default:
		near.Rows = b.remoteRows()
		to = b.memberTargets(self.Site.Region())
	}
	b.lock.Unlock()
	b.send(to, &Datagram{Beat: near})
	b.send(toFar, &Datagram{Beat: far})
}

// Receive handles a datagram from an address and reports whether it could be decoded. It
// drops datagrams that cannot be decoded: they may come from another version.
func (b *Heartbeater) Receive(from string, datagram []byte) bool {
	var d Datagram
	decoded := proto.Unmarshal(datagram, &d) == nil
	defer b.reportTraffic(from, Traffic{Purpose: d.purpose(), Received: int64(len(datagram))})
	if !decoded {
		return false
	}
	if d.HandOn {
		defer b.handOn(&d)
	}
	if d.Beat != nil && d.Beat.From != nil {
		unpackTable(d.Beat)
		b.handleBeat(d.Beat)
		b.syncSuspects(d.Beat)
		b.syncDepartures(d.Beat)
	}
	if d.Ask != nil {
		b.handleAsk(d.Ask)
	}
	if h := d.Homes; h != nil && b.OnHomes != nil {
		b.OnHomes(assignments(h))
	}
	if d.Ended != nil {
		b.handleTerminated(d.Ended)
	}
	if d.Departures != nil {
		b.handleLeaving(d.Departures)
	}
	if d.DepartureQuery != nil {
		b.handleDepartureQuery(d.DepartureQuery)
	}
	if d.Suspects != nil {
		b.handleSuspects(d.Suspects)
	}
	if d.Tokens != nil && b.OnLimitMessage != nil {
		b.OnLimitMessage(from, limitMessage(d.Tokens))
	}
	if r := d.Relay; r != nil && b.OnChanges != nil {
		b.OnChanges(changesOf(r))
	}
	return true
}

// newBeat returns this member's heartbeat to its region, without rows of other members. The
// caller must hold the lock.
func (b *Heartbeater) newBeat(self Member, watermarks []*Mark) *Beat {
	m := &Beat{From: row(self, 0), Following: b.following(self), Unpacks: true}
	if k := b.leader(self); k != nil {
		m.Lead, m.Digest = k.Name, b.digest(false)
		m.Table, m.TableOf = b.known.version, b.known.leader
		return m
	}
	m.Lead, m.Leading, m.Digest, m.Marks = self.Name, true, b.digest(true), watermarks
	b.recordTable(m.Digest)
	m.Table = b.table.version
	if b.StoreAge != nil {
		m.StaleMillis = uint32(min(b.StoreAge(), maxReportedStoreAge))
	}
	return m
}

// handleBeat handles a heartbeat and sends a reply if one is needed.
func (b *Heartbeater) handleBeat(m *Beat) {
	self := b.Self()
	watermarks := b.watermarks()
	b.lock.Lock()
	b.self = self
	followed := b.leader(self)
	k := b.recordBeat(m)
	if k == nil {
		b.lock.Unlock()
		return
	}
	near := k.Site.Region() == self.Site.Region()
	var reply *Beat
	to := m.From.Beats
	switch {
	case m.Reply:
		if next := b.leader(self); next != nil && next != followed {
			// The heartbeat names a new leader. It gets a heartbeat now rather than in
			// the next round, so that it responds and can be relied on a round earlier.
			reply, to = b.newBeat(self, nil), next.Beats
		}
	case near:
		reply = b.replyTo(m, k, watermarks)
	case !m.Following:
		reply = b.introduction(k)
	}
	b.lock.Unlock()
	if reply != nil {
		b.send([]string{to}, &Datagram{Beat: reply})
	}
	if b.OnMember != nil {
		b.OnMember(memberOf(m.From))
	}
	if near && m.Leading && b.OnWatermark != nil {
		for _, r := range m.Marks {
			b.OnWatermark(r.Kind, joinPosition(r.Revision, r.Era))
		}
	}
}

// recordBeat records the contents of a heartbeat and returns its sender, or nil if the sender is
// this member or has no name. The caller must hold the lock.
func (b *Heartbeater) recordBeat(m *Beat) *knownMember {
	now := b.Clock.Now()
	k := b.recordRow(m.From, now)
	if k == nil {
		return nil
	}
	k.lastHeartbeat = now
	if m.Leading {
		k.lastLeading = now
		k.storeResponded = now - timekeeper.Millis(m.StaleMillis)
	}
	if m.Changed {
		b.recordChanges(m, now)
		return k
	}
	if m.Full {
		b.expireUnheard(now)
		b.recordVersion(m)
	}
	for _, r := range m.Rows {
		b.recordRow(r, now-timekeeper.Millis(r.AgeMillis))
	}
	return k
}

// introduction returns a reply that names the best known member in the region of the sender k,
// which hears no leader there, or nil if k itself is the best. Without it, members whose seeds
// are all in other regions would not find each other. The caller must hold the lock.
func (b *Heartbeater) introduction(k *knownMember) *Beat {
	best := b.best(k.Site.Region())
	if best == nil || best == k {
		return nil
	}
	age := b.Clock.Now() - best.lastAlive
	return &Beat{From: row(b.self, 0), Rows: []*Row{row(best.Member, age)}, Reply: true}
}

// replyTo returns the reply to a heartbeat from a member of the region, or nil if none is
// needed. The caller must hold the lock.
func (b *Heartbeater) replyTo(m *Beat, k *knownMember, watermarks []*Mark) *Beat {
	if betterLeader := b.betterLeader(m, k, b.self); betterLeader != nil {
		return &Beat{From: row(b.self, 0), Rows: []*Row{betterLeader}, Reply: true}
	}
	if m.Leading {
		if m.Digest == b.digest(false) {
			b.confirmLiveness(b.Clock.Now())
			b.recordVersion(m)
		}
		return nil
	}
	if b.leader(b.self) != nil || m.Digest == b.digest(true) {
		return nil
	}
	reply := b.newBeat(b.self, watermarks)
	reply.Reply = true
	b.fillTable(reply, m, k)
	return reply
}
