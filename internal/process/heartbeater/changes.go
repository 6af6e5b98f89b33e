package heartbeater

import (
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// tableHistory is the number of versions of its table for which a leader remembers which
	// members are gone. A member with an older version gets the whole table.
	tableHistory = 1000

	// maxMismatches is the number of heartbeats in a row by which a member with the latest version
	// may have another digest, before it gets the whole table. It may know of a change before the
	// leader does.
	maxMismatches = 4
)

type (
	// tableChanges records in which version of a leader's table of living members each of them
	// changed, so that a member gets only what it does not know. A whole table for each member
	// at each change costs bytes quadratic in the size of the fleet. The zero value is empty.
	tableChanges struct {
		version uint64
		digest  uint64
		entries map[string]tableEntry
	}

	// tableEntry is a member's state in the table.
	tableEntry struct {
		// state is the digest of the member, 0 once it is not alive.
		state hasher.Hash
		// changed is the version of the table in which it got this state.
		changed uint64
	}

	// knownTable is the version of a leader's table that a member has, with the leader's
	// incarnation.
	knownTable struct {
		leader  uint64
		version uint64
	}
)

// update records a table with a digest. Members with the same state as before are unchanged.
func (t *tableChanges) update(digest uint64, members map[string]hasher.Hash) {
	if t.entries == nil {
		t.entries = map[string]tableEntry{}
	}
	t.version++
	t.digest = digest
	for name, state := range members {
		if t.entries[name].state != state {
			t.entries[name] = tableEntry{state, t.version}
		}
	}
	for name, e := range t.entries {
		switch {
		case members[name] == 0 && e.state != 0:
			t.entries[name] = tableEntry{0, t.version}
		case e.state == 0 && e.changed+tableHistory <= t.version:
			delete(t.entries, name)
		}
	}
}

// since returns the names of the members that changed and of those that are gone since a version,
// and false if that is too old.
func (t *tableChanges) since(version uint64) (changed, gone []string, ok bool) {
	if version == 0 || version+tableHistory <= t.version {
		return nil, nil, false
	}
	for name, e := range t.entries {
		switch {
		case e.changed <= version:
		case e.state == 0:
			gone = append(gone, name)
		default:
			changed = append(changed, name)
		}
	}
	return changed, gone, true
}

// fillTable sets the rows of a reply to a heartbeat m of member k: those that changed since its
// version of the table, or all. The caller must hold the lock.
func (b *Heartbeater) fillTable(reply, m *Beat, k *knownMember) {
	var version uint64
	if m.TableOf == b.self.Incarnation {
		version = m.Table
	}
	k.mismatches++
	if version < b.table.version {
		k.mismatches = 0
	}
	changed, gone, ok := b.table.since(version)
	if b.WholeTables || !ok || k.mismatches >= maxMismatches {
		k.mismatches = 0
		reply.Full = true
		b.setRows(reply, m, 0, func() []*Row { return b.rows("") })
		return
	}
	reply.Changed, reply.Gone = true, gone
	b.setRows(reply, m, version, func() []*Row { return b.namedRows(changed) })
}

// recordTable records the leader's table with a digest. The caller must hold the lock.
func (b *Heartbeater) recordTable(digest uint64) {
	if b.table.version == 0 || b.table.digest != digest {
		b.table.update(digest, b.livingStates())
	}
}

// livingStates returns the states of the members of the leader's table.
func (b *Heartbeater) livingStates() map[string]hasher.Hash {
	now := b.Clock.Now()
	states := map[string]hasher.Hash{b.self.Name: memberDigest(b.self)}
	for _, k := range b.members {
		if now-k.lastAlive < MemberTimeout {
			states[k.Name] = k.digest
		}
	}
	return states
}

// namedRows returns the rows of the named members.
func (b *Heartbeater) namedRows(names []string) (rows []*Row) {
	now := b.Clock.Now()
	for _, n := range names {
		if k := b.members[n]; k != nil {
			rows = append(rows, row(k.Member, now-k.lastAlive))
		}
	}
	return rows
}

// recordGone marks members as dead that a leader's table no longer has, unless they sent a
// heartbeat to this one. The caller must hold the lock.
func (b *Heartbeater) recordGone(names []string, now timekeeper.Millis) {
	for _, n := range names {
		if k := b.members[n]; k != nil {
			k.expireUnheard(now)
		}
	}
	b.changes++
}

// recordVersion records that this member has the leader's table of a heartbeat. The caller must hold
// the lock.
func (b *Heartbeater) recordVersion(m *Beat) {
	b.known = knownTable{m.From.Incarnation, m.Table}
}

// recordChanges records the difference between this member's table and its leader's. If they are
// equal then, the leader confirms all members as alive. The caller must hold the lock.
func (b *Heartbeater) recordChanges(m *Beat, now timekeeper.Millis) {
	b.recordGone(m.Gone, now)
	for _, r := range m.Rows {
		b.recordRow(r, now-timekeeper.Millis(r.AgeMillis))
	}
	b.recordVersion(m)
	if m.Digest == b.digest(false) {
		b.confirmLiveness(now)
	}
}
