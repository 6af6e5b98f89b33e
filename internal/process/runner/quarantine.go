package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// suspectQueueLength is how many changes may wait to be sent to other daemons.
	// Further changes are dropped; a new link carries all suspects.
	suspectQueueLength = 1024

	// notifyTimeout bounds the wait for a link to another region.
	notifyTimeout = 2 * time.Second
)

// newQuarantine returns the quarantine of this daemon and creates its change queue.
func (d *Daemon) newQuarantine() *quarantiner.Quarantiner {
	d.suspectChanges = make(chan quarantiner.Change, suspectQueueLength)
	return &quarantiner.Quarantiner{Clock: d.clock, OnChange: d.queueSuspect, AllowTrial: d.allowTrial}
}

// queueSuspect queues a change found by this daemon for the other daemons. It drops the
// change if the queue is full.
func (d *Daemon) queueSuspect(c quarantiner.Change) {
	select {
	case d.suspectChanges <- c:
	default:
		d.log.Debug("suspect change dropped: queue full")
	}
}

// loopSuspects sends the changes found by this daemon to the others. Each daemon
// forwards what is new to it, so changes reach daemons without a direct link.
func (d *Daemon) loopSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.suspectChanges:
			d.logSuspectChange(c)
			m := suspectsFrame([]quarantiner.Suspect{c.Now}, false)
			d.links.Broadcast(framer.KindSuspects, m, nil)
			d.notifyRegions(ctx, m)
		}
	}
}

// notifyRegions sends m to one random daemon of each other region, opening a link if
// there is none.
func (d *Daemon) notifyRegions(ctx context.Context, m *framer.Suspects) {
	s := d.snapshot.Load()
	if s == nil {
		return
	}
	others := map[string][]registrar.Member{}
	for _, x := range s.View.Members() {
		if r := x.Site.Region(); r != d.config.Region && !x.Leaving {
			others[r] = append(others[r], x)
		}
	}
	for _, members := range others {
		go d.runNotify(ctx, members[rand.IntN(len(members))], m)
	}
}

func (d *Daemon) runNotify(ctx context.Context, to registrar.Member, m *framer.Suspects) {
	wait, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	p := d.links.Peer(d.base, to)
	if !p.Await(wait) || !p.Send(framer.KindSuspects, m) {
		d.log.WithField("peer", to.Name).Debug("cannot send suspects to another region")
	}
}

func suspectsFrame(list []quarantiner.Suspect, full bool) *framer.Suspects {
	return &framer.Suspects{Packed: quarantiner.Pack(list), Full: full}
}

// handleSuspects merges the suspects of another daemon, forwards those that are new
// here, and replies with those of which this daemon has newer state.
func (d *Daemon) handleSuspects(s *linker.Session, m *framer.Suspects) error {
	list, err := quarantiner.Unpack(m.Packed)
	if err != nil {
		return err
	}
	adopted, newer := d.quarantine.Merge(list)
	var added []quarantiner.Suspect
	for _, c := range adopted {
		d.logSuspectChange(c)
		added = append(added, c.Now)
	}
	if len(added) > 0 {
		d.links.Broadcast(framer.KindSuspects, suspectsFrame(added, false), s)
	}
	if m.Full {
		newer = append(newer, difference(d.quarantine.Suspects(), list)...)
	}
	if len(newer) == 0 {
		return nil
	}
	return s.Send(framer.KindSuspects, suspectsFrame(newer, false))
}

// difference returns the suspects of all that are not in list.
func difference(all, list []quarantiner.Suspect) (out []quarantiner.Suspect) {
	known := map[quarantiner.Fingerprint]bool{}
	for _, s := range list {
		known[s.Fingerprint] = true
	}
	for _, s := range all {
		if !known[s.Fingerprint] {
			out = append(out, s)
		}
	}
	return out
}

// logSuspectChange logs that a request entered or left quarantine.
func (d *Daemon) logSuspectChange(c quarantiner.Change) {
	switch {
	case c.Quarantined():
		d.suspectLogEntry(c.Now).Warn("request quarantined")
	case c.Released():
		d.suspectLogEntry(c.Before).Warn("request released")
	}
}

func (d *Daemon) suspectLogEntry(s quarantiner.Suspect) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"fingerprint": s.Fingerprint.String(), "crashes": s.Crashes, "seen": int64(s.Age)})
}

// allowTrial reports whether it is this daemon's turn among all members to let a
// request through whose quarantine has been over for the given time.
func (d *Daemon) allowTrial(f quarantiner.Fingerprint, over timekeeper.Millis) bool {
	var names []string
	if s := d.snapshot.Load(); s != nil {
		for _, m := range s.View.Members() {
			names = append(names, string(m.Incarnation))
		}
	}
	return quarantiner.IsTrialTurn(f, over, string(d.self.Incarnation), names)
}
