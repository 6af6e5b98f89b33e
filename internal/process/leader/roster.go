package leader

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
)

// versionsPerEra is the number of roster versions in an era of the store. A later era begins above
// all versions of earlier ones, which the leader need not know.
const versionsPerEra = 1 << 32

// updateRoster writes the roster when the membership changed. The first write after the
// lease is acquired, or after the store has returned from an older copy, happens in any case,
// to put the object under the new fence.
func (l *Leader) updateRoster(ctx context.Context, fence leaser.Fence) {
	l.lock.Lock()
	l.sealed = l.sealed && l.rosterRevision.Era() == l.Store.Era()
	sealed := l.sealed
	l.lock.Unlock()
	if !sealed && !l.adoptRoster(ctx, fence) {
		return
	}
	for _, m := range l.members.removeExpired(l.Clock.Now(), l.Clock.WallNow()) {
		l.Log.WithField("member", m.Name).Info("member lapsed")
	}
	list, past := l.members.list()
	l.lock.Lock()
	next := l.roster
	at := l.rosterRevision
	restored := l.restored
	l.lock.Unlock()
	if sealed && sameMembers(next.Members, list) && next.Era >= restored {
		return
	}
	if now, held := l.Lease.Held(); !held || now != fence {
		return
	}
	next.Region = l.Region
	next.Fence = fence
	next.Version = max(next.Version, uint64(at.Era())*versionsPerEra) + 1
	next.Members = list
	next.Past = past
	next.Era = max(next.Era, restored)
	l.writeRoster(ctx, next, at)
}

// adoptRoster reads the roster of the previous leader and adopts its members. It
// reports false if the roster cannot be read or was written under a later fence.
func (l *Leader) adoptRoster(ctx context.Context, fence leaser.Fence) bool {
	o, err := l.Store.Get(ctx, registrar.ObjectName(l.Region))
	absent := errors.Is(err, storer.ErrNotFound)
	if err != nil && !absent {
		return false
	}
	var r registrar.Roster
	if !absent {
		if r, err = registrar.Decode(o.Body); err != nil {
			return false
		}
	}
	if l.KnownRoster != nil {
		r = newerRoster(r, l.KnownRoster())
	}
	if staleFence(fence, r.Fence) {
		return false
	}
	l.lock.Lock()
	written := l.roster
	l.rosterRevision = o.Revision
	if absent {
		l.rosterRevision = storer.RevisionAt(l.Store.Era(), 0)
	}
	l.roster = newerRoster(written, r)
	l.lock.Unlock()
	if written.Fence == fence && written.Version >= r.Version {
		// The store returned from a copy that lacks this leader's own roster.
		return true
	}
	lease, _ := l.Lease.Current()
	l.members.adoptRoster(r, registrar.Incarnation(lease.Before), l.Clock.Now())
	return true
}

func newerRoster(a, b registrar.Roster) registrar.Roster {
	if b.Version > a.Version {
		return b
	}
	return a
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
		// The outcome is unknown. The roster is read again before the next write.
		l.sealed = false
		return
	}
	l.roster = next
	l.rosterRevision = revision
	l.sealed = true
	l.Log.WithFields(logrus.Fields{"version": next.Version, "members": len(next.Members)}).Info("roster written")
}
