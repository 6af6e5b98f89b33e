package leader

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
)

// updateRoster writes the roster when the membership changed. The first write after the
// lease is acquired happens in any case, to put the object under the new fence.
func (l *Leader) updateRoster(ctx context.Context, fence leaser.Fence) {
	l.lock.Lock()
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

// adoptRoster reads the roster of the previous leader and adopts its members. It
// reports false if the roster cannot be read or was written under a later fence.
func (l *Leader) adoptRoster(ctx context.Context, fence leaser.Fence) bool {
	o, err := l.Store.Get(ctx, registrar.ObjectName(l.Region))
	if errors.Is(err, storer.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	r, err := registrar.Decode(o.Body)
	if err != nil || staleFence(fence, r.Fence) {
		return false
	}
	lease, _ := l.Lease.Current()
	l.members.adoptRoster(r, registrar.Incarnation(lease.Before), l.Clock.Now())
	l.lock.Lock()
	defer l.lock.Unlock()
	l.roster = r
	l.rosterRevision = o.Revision
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
		// The outcome is unknown. The roster is read again before the next write.
		l.sealed = false
		return
	}
	l.roster = next
	l.rosterRevision = revision
	l.sealed = true
	l.Log.WithFields(logrus.Fields{"version": next.Version, "members": len(next.Members)}).Info("roster written")
}
