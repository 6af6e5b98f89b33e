package leader

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// restoreTimeout bounds one attempt to write changes again, so that the other duties go on.
const restoreTimeout = 2 * timekeeper.Second

// updateRestored writes the accepted changes of settings again that the store lacks since it has
// returned from an older copy. The roster states the era in which this is done.
func (l *Leader) updateRestored(ctx context.Context) {
	era := l.Replica.Revision().Era()
	if era == l.restoredEra() || era != l.Store.Era() {
		return
	}
	adopted, done := l.rosterIn(era)
	if !adopted {
		return
	}
	if done || l.Records == nil {
		l.setRestored(era)
		return
	}
	if !l.members.haveReported(era, l.lastChange()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout.Duration())
	defer cancel()
	changes := l.changesBefore(era)
	written, err := l.Records.Restore(ctx, era, changes)
	if err == nil {
		err = l.restoreSnapshot(ctx, era)
	}
	log := l.Log.WithFields(logrus.Fields{"era": era, "known": len(changes), "written": written, "last": l.lastChange()})
	if err != nil {
		log.WithError(err).Warn("changes of settings not written again")
		return
	}
	log.Info("changes of settings are in the store again")
	l.setRestored(era)
}

func (l *Leader) restoredEra() storer.Era {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.restored
}

func (l *Leader) setRestored(e storer.Era) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.restored = e
}

// rosterIn reports whether this leader has written the roster in an era, and so knows the members
// to wait for, and whether it states that the changes are in the store again: by a former leader.
func (l *Leader) rosterIn(e storer.Era) (adopted, restored bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	adopted = l.sealed && l.rosterRevision.Era() == e
	return adopted, adopted && l.roster.Era == e
}

// restoreSnapshot saves the snapshot of the replica again if it is of an era before e.
func (l *Leader) restoreSnapshot(ctx context.Context, e storer.Era) error {
	s, at := l.snapshot()
	if s.Number == 0 || at == e {
		return nil
	}
	return l.Records.SaveSnapshot(ctx, s)
}

// changesBefore returns the changes of the replica that the store may lack in an era: those that
// were read in earlier ones, after the snapshot that the store has.
func (l *Leader) changesBefore(e storer.Era) []recorder.Change {
	s, at := l.snapshot()
	if at != e {
		s = recorder.Snapshot{}
	}
	var out []recorder.Change
	for _, o := range l.Replica.WithPrefix(l.Records.ChangePrefix()) {
		c, err := l.Records.Decode(o)
		if err == nil && c.Number > s.Number && o.Revision.Era() < e {
			out = append(out, c)
		}
	}
	return out
}

// snapshot returns the snapshot of the replica and its era, the zero snapshot if there is none.
func (l *Leader) snapshot() (recorder.Snapshot, storer.Era) {
	o, ok := l.Replica.Get(l.Records.Prefix + recorder.SnapshotName)
	if !ok {
		return recorder.Snapshot{}, 0
	}
	s, err := recorder.DecodeSnapshot(o)
	if err != nil {
		return recorder.Snapshot{}, 0
	}
	return s, o.Revision.Era()
}

// lastChange returns the number of the last change of settings that the replica holds, as a change
// or in the snapshot.
func (l *Leader) lastChange() recorder.Number {
	if l.Records == nil {
		return 0
	}
	s, _ := l.snapshot()
	all := l.Replica.WithPrefix(l.Records.ChangePrefix())
	if len(all) == 0 {
		return s.Number
	}
	n, _ := l.Records.NumberOf(all[len(all)-1].Name)
	return max(n, s.Number)
}

// fetchChanges asks a member for the objects that it knows, if it reports a change of settings that
// this leader lacks and that the store may have lost.
func (l *Leader) fetchChanges(s *linker.Session, h *framer.Heartbeat) {
	if l.restoredEra() == l.Store.Era() || recorder.Number(h.Changes) <= l.lastChange() {
		return
	}
	if s.Send(framer.KindFetch, &framer.Fetch{}) != nil {
		s.Close()
	}
}
