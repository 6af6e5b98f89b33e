package heartbeater

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/request/assigner"
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

	// maxRelayBytes bounds the changes in a datagram. Longer ones are read
	// from the store by each member.
	maxRelayBytes = 32 << 10
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
		Clock timekeeper.Clock

		lock    sync.Mutex
		members map[string]*known
		self    Member
		round   int
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

// lives tells whether the member is taken for living.
func (k *known) lives(now timekeeper.Millis) bool {
	return now-max(k.heard, k.vouched) < GoneAfter
}

// Leads tells whether this member leads its region.
func (b *Beater) Leads() bool {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.lead(self) == nil
}

// Led tells whether another member leads the region, was heard lately as such, and
// hears of changes itself.
func (b *Beater) Led() bool {
	self := b.Self()
	b.lock.Lock()
	defer b.lock.Unlock()
	k := b.lead(self)
	return k != nil && k.Reaching && b.following(self) && b.Clock.Now()-k.fresh < freshFor
}

// following tells whether another member leads and says so. The caller holds the
// lock.
func (b *Beater) following(self Member) bool {
	k := b.lead(self)
	return k != nil && b.Clock.Now()-k.leading < leadSilence
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
	leading := b.lead(self) == nil
	near := &Beat{From: row(self, 0), Leading: leading, Following: b.following(self), Digest: b.digest(leading)}
	var far *Beat
	var to, toFar []string
	switch {
	case leading:
		near.Marks = marks
		if b.Stale != nil {
			near.StaleMillis = uint32(min(b.Stale(), maxStale))
		}
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

// Relay hands changes on to the other members of the region if this one leads.
func (b *Beater) Relay(c Changes) {
	self := b.Self()
	b.lock.Lock()
	if b.lead(self) != nil {
		b.lock.Unlock()
		return
	}
	to := b.region(self.Site.Region())
	b.lock.Unlock()
	b.send(to, &Datagram{Relay: relayOf(c)})
}

// Ask asks the lead of the region for what was missed, and tells whether there is
// one.
func (b *Beater) Ask(kind string, from uint64) bool {
	self := b.Self()
	b.lock.Lock()
	lead := b.lead(self)
	b.lock.Unlock()
	if lead == nil {
		return false
	}
	b.send([]string{lead.Beats}, &Datagram{Ask: &Ask{Kind: kind, From: from, Beats: self.Beats}})
	return true
}

func (b *Beater) asked(m *Ask) {
	if b.Missed == nil {
		return
	}
	for _, c := range b.Missed(m.Kind, m.From) {
		b.send([]string{m.Beats}, &Datagram{Relay: relayOf(c)})
	}
}

func relayOf(c Changes) *Relay {
	if len(c.Body) > maxRelayBytes {
		return &Relay{Kind: c.Kind, From: c.From, To: c.To, Omitted: true}
	}
	return &Relay{Kind: c.Kind, From: c.From, To: c.To, Changes: c.Body}
}

// Announce tells the other members of the region where keys live.
func (b *Beater) Announce(list []assigner.Assignment) {
	self := b.Self()
	b.lock.Lock()
	to := b.region(self.Site.Region())
	b.lock.Unlock()
	b.send(to, &Datagram{Homes: homesOf(list)})
}

// Receive takes a datagram. One that is not understood is dropped: it may come
// from another version.
func (b *Beater) Receive(datagram []byte) bool {
	var d Datagram
	if proto.Unmarshal(datagram, &d) != nil {
		return false
	}
	if d.Beat != nil && d.Beat.From != nil {
		b.beaten(d.Beat)
	}
	if d.Ask != nil {
		b.asked(d.Ask)
	}
	if h := d.Homes; h != nil && b.Homed != nil {
		b.Homed(assignments(h))
	}
	if r := d.Relay; r != nil && b.Relayed != nil {
		b.Relayed(Changes{Kind: r.Kind, From: r.From, To: r.To, Body: r.Changes, Omitted: r.Omitted})
	}
	return true
}

func (b *Beater) beaten(m *Beat) {
	now := b.Clock.Now()
	self := b.Self()
	b.lock.Lock()
	b.self = self
	k := b.note(m.From, now)
	if k == nil {
		b.lock.Unlock()
		return
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
	near := k.Site.Region() == self.Site.Region()
	var reply []*Row
	full := false
	better := b.better(k, self)
	switch {
	case m.Reply:
	case near && !m.Following && better != nil:
		reply = append(reply, better)
	case near && m.Leading:
		if m.Digest == b.digest(false) {
			b.vouch(now)
		}
	case near && b.lead(self) == nil && m.Digest != b.digest(true):
		reply, full = b.rows(""), true
	}
	b.lock.Unlock()
	if reply != nil {
		b.send([]string{m.From.Beats}, &Datagram{Beat: &Beat{From: row(self, 0), Rows: reply, Full: full, Reply: true}})
	}
	if near && m.Leading && b.Marked != nil {
		for _, r := range m.Marks {
			b.Marked(r.Kind, r.Revision)
		}
	}
}

// expire takes all members for gone that were not heard directly, since a table of
// the living follows. The caller holds the lock.
func (b *Beater) expire(now timekeeper.Millis) {
	for _, k := range b.members {
		if now-k.direct >= GoneAfter || k.direct == 0 {
			k.heard = min(k.heard, now-GoneAfter)
			k.vouched = k.heard
		}
	}
}

// vouch takes the lead's word that all whom this member takes for living live. The
// caller holds the lock.
func (b *Beater) vouch(now timekeeper.Millis) {
	for _, k := range b.members {
		if k.lives(now) {
			k.vouched = now
		}
	}
}

// digest stands for the members that live and what they say of themselves. A lead
// counts only whom it heard. The caller holds the lock.
func (b *Beater) digest(leading bool) uint64 {
	now := b.Clock.Now()
	d := digestOf(b.self)
	for _, k := range b.members {
		if now-k.heard < GoneAfter || !leading && k.lives(now) {
			d ^= digestOf(k.Member)
		}
	}
	return uint64(d)
}

func digestOf(m Member) hasher.Hash {
	state := hasher.Hash(m.Incarnation)
	for _, flag := range []bool{m.Ready, m.Leaving, m.Reaching} {
		state <<= 1
		if flag {
			state++
		}
	}
	return hasher.Mix(hasher.OfString(m.Name), state)
}

// better returns the lead of the region if it is another one than k, which follows
// nobody since it does not know of that one. The caller holds the lock.
func (b *Beater) better(k *known, self Member) *Row {
	now := b.Clock.Now()
	lead := b.lead(self)
	if lead == nil || lead == k || now-lead.leading > leadSilence {
		return nil
	}
	return row(lead.Member, now-lead.heard)
}

// note records that a member lived at some moment. The caller holds the lock.
func (b *Beater) note(r *Row, heard timekeeper.Millis) *known {
	if r.Name == "" || r.Name == b.self.Name {
		return nil
	}
	k := b.members[r.Name]
	if k == nil {
		return b.put(memberOf(r), heard)
	}
	if heard >= k.heard {
		k.Member, k.heard = memberOf(r), heard
	}
	return k
}

func (b *Beater) put(m Member, heard timekeeper.Millis) *known {
	if b.members == nil {
		b.members = map[string]*known{}
	}
	k := &known{Member: m, order: hasher.OfString(m.Name), heard: heard}
	b.members[m.Name] = k
	return k
}

func (b *Beater) forget() {
	now := b.Clock.Now()
	for n, k := range b.members {
		if now-max(k.heard, k.vouched) > forgetAfter {
			delete(b.members, n)
		}
	}
}

// lead returns the member that leads the region of self, nil for self. A member
// that does not reach the store or is leaving comes behind those that do.
func (b *Beater) lead(self Member) *known {
	now := b.Clock.Now()
	var best *known
	for _, k := range b.members {
		if k.Site.Region() != self.Site.Region() || now-max(k.heard, k.vouched) > leadSilence {
			continue
		}
		if best == nil || before(k.Member, k.order, best.Member, best.order) {
			best = k
		}
	}
	if best != nil && before(best.Member, best.order, self, hasher.OfString(self.Name)) {
		return best
	}
	return nil
}

func before(x Member, xo hasher.Hash, y Member, yo hasher.Hash) bool {
	if x.Reaching != y.Reaching {
		return x.Reaching
	}
	if x.Leaving != y.Leaving {
		return y.Leaving
	}
	if x.Strength != y.Strength {
		return x.Strength > y.Strength
	}
	return xo < yo
}

// upward returns where the heartbeats of a member go that does not lead.
func (b *Beater) upward(region string) []string {
	first := b.first(region, heardBy)
	now := b.Clock.Now()
	for _, k := range b.members {
		if now-k.leading < leadSilence && k.Site.Region() == region {
			return first
		}
	}
	return append(first, b.search()...)
}

// searched is all of the region, and some others while nobody there is heard.
func (b *Beater) searched(region string) []string {
	to := b.region(region)
	now := b.Clock.Now()
	for _, k := range b.members {
		if now-k.direct < GoneAfter && k.direct > 0 {
			return to
		}
	}
	return append(to, b.search()...)
}

// search returns a few addresses at random, for a member that hears nobody.
func (b *Beater) search() []string {
	to := slices.Clone(b.Seeds)
	for _, k := range b.members {
		to = append(to, k.Beats)
	}
	rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	return to[:min(len(to), searchSize)]
}

// region returns the addresses of the other members of a region that were heard
// within the time of forgetting.
func (b *Beater) region(region string) (to []string) {
	for _, k := range b.members {
		if k.Site.Region() == region {
			to = append(to, k.Beats)
		}
	}
	return to
}

// elsewhere returns the first members of each other region.
func (b *Beater) elsewhere(region string) (to []string) {
	regions := map[string]bool{}
	for _, k := range b.members {
		regions[k.Site.Region()] = true
	}
	for r := range regions {
		if r == region {
			continue
		}
		first := b.first(r, leadsElsewhere)
		if len(first) == 0 {
			// Nobody there is known to live: try whoever was once named.
			first = b.region(r)
			first = first[:min(len(first), leadsElsewhere)]
		}
		to = append(to, first...)
	}
	return to
}

// first returns the addresses of the first n living members of a region in the
// order in which they lead.
func (b *Beater) first(region string, n int) (to []string) {
	now := b.Clock.Now()
	var l []*known
	for _, k := range b.members {
		if k.Site.Region() == region && k.lives(now) {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(x, y *known) int {
		if before(x.Member, x.order, y.Member, y.order) {
			return -1
		}
		return 1
	})
	for _, k := range l[:min(n, len(l))] {
		to = append(to, k.Beats)
	}
	return to
}

// rows describes the living members of a region, of all with "".
func (b *Beater) rows(region string) (rows []*Row) {
	now := b.Clock.Now()
	for _, k := range b.members {
		if now-k.heard < GoneAfter && (region == "" || k.Site.Region() == region) {
			rows = append(rows, row(k.Member, now-k.heard))
		}
	}
	return rows
}

// visitors are the members of other regions that were heard directly: the lead may
// not know them.
func (b *Beater) visitors() (rows []*Row) {
	now := b.Clock.Now()
	for _, k := range b.members {
		if k.Site.Region() != b.self.Site.Region() && k.direct > 0 && now-k.direct < GoneAfter {
			rows = append(rows, row(k.Member, now-k.direct))
		}
	}
	return rows
}

func (b *Beater) marks() (marks []*Mark) {
	if b.Marks == nil {
		return nil
	}
	for k, r := range b.Marks() {
		marks = append(marks, &Mark{Kind: k, Revision: r})
	}
	return marks
}

func (b *Beater) send(to []string, d *Datagram) {
	if len(to) == 0 {
		return
	}
	body, err := proto.Marshal(d)
	if err != nil {
		return
	}
	slices.Sort(to)
	for _, a := range slices.Compact(to) {
		b.Send(a, body)
	}
}

func row(m Member, age timekeeper.Millis) *Row {
	return &Row{
		Name:        m.Name,
		Incarnation: m.Incarnation,
		Site:        string(m.Site),
		Front:       m.Front,
		Beats:       m.Beats,
		Ready:       m.Ready,
		Leaving:     m.Leaving,
		Reaching:    m.Reaching,
		AgeMillis:   uint32(max(age, 0)),
		Strength:    m.Strength,
	}
}

func memberOf(r *Row) Member {
	return Member{
		Name:        r.Name,
		Incarnation: r.Incarnation,
		Site:        registrar.Site(r.Site),
		Front:       r.Front,
		Beats:       r.Beats,
		Ready:       r.Ready,
		Leaving:     r.Leaving,
		Reaching:    r.Reaching,
		Strength:    r.Strength,
	}
}
