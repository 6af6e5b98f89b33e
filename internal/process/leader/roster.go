package leader

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
)

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
