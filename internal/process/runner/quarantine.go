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
	// suspectQueue is how many changes wait to be told. What finds no room is told when a
	// link is made anew.
	suspectQueue = 1024

	// tellTime is how long a link to another region may take to stand.
	tellTime = 2 * time.Second
)

// newQuarantine returns the suspects of this daemon.
func (d *Daemon) newQuarantine() *quarantiner.Quarantiner {
	d.found = make(chan quarantiner.Change, suspectQueue)
	return &quarantiner.Quarantiner{Clock: d.clock, Changed: d.foundSuspect, MayTry: d.mayTry}
}

// foundSuspect queues what this daemon found out for the others.
func (d *Daemon) foundSuspect(c quarantiner.Change) {
	select {
	case d.found <- c:
	default:
		d.log.Debug("suspect not told")
	}
}

// loopSuspects tells the other daemons what this one found out. Each passes on what is news to
// it, so all learn of it whoever is linked to whom.
func (d *Daemon) loopSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.found:
			d.noteSuspect(c)
			m := suspectsFrame([]quarantiner.Suspect{c.Now}, false)
			d.links.Broadcast(framer.KindSuspects, m, nil)
			d.tellRegions(ctx, m)
		}
	}
}

// tellRegions tells one daemon of each other region, to which there may be no link yet.
func (d *Daemon) tellRegions(ctx context.Context, m *framer.Suspects) {
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
		go d.runTell(ctx, members[rand.IntN(len(members))], m)
	}
}

func (d *Daemon) runTell(ctx context.Context, to registrar.Member, m *framer.Suspects) {
	wait, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	p := d.links.Peer(d.base, to)
	if !p.Await(wait) || !p.Send(framer.KindSuspects, m) {
		d.log.WithField("peer", to.Name).Debug("suspect not told to a region")
	}
}

func suspectsFrame(list []quarantiner.Suspect, full bool) *framer.Suspects {
	return &framer.Suspects{Packed: quarantiner.Pack(list), Full: full}
}

// suspectsHeard takes what another daemon knows, passes on what is news, and answers with what
// is newer here.
func (d *Daemon) suspectsHeard(s *linker.Session, m *framer.Suspects) error {
	list, err := quarantiner.Unpack(m.Packed)
	if err != nil {
		return err
	}
	adopted, newer := d.quarantine.Learn(list)
	var news []quarantiner.Suspect
	for _, c := range adopted {
		d.noteSuspect(c)
		news = append(news, c.Now)
	}
	if len(news) > 0 {
		d.links.Broadcast(framer.KindSuspects, suspectsFrame(news, false), s)
	}
	if m.Full {
		newer = append(newer, missing(d.quarantine.All(), list)...)
	}
	if len(newer) == 0 {
		return nil
	}
	return s.Send(framer.KindSuspects, suspectsFrame(newer, false))
}

// missing returns those of all that are not in list.
func missing(all, list []quarantiner.Suspect) (out []quarantiner.Suspect) {
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

// noteSuspect writes a line for a request that came into quarantine or left it.
func (d *Daemon) noteSuspect(c quarantiner.Change) {
	switch {
	case c.Quarantined():
		d.logSuspect(c.Now).Warn("request quarantined")
	case c.Released():
		d.logSuspect(c.Before).Warn("request released")
	}
}

func (d *Daemon) logSuspect(s quarantiner.Suspect) *logrus.Entry {
	return d.log.WithFields(logrus.Fields{"fingerprint": s.Fingerprint.String(), "crashes": s.Crashes, "seen": int64(s.Age)})
}

// mayTry tells whether it is this daemon's turn among all members.
func (d *Daemon) mayTry(f quarantiner.Fingerprint, over timekeeper.Millis) bool {
	var names []string
	if s := d.snapshot.Load(); s != nil {
		for _, m := range s.View.Members() {
			names = append(names, string(m.Incarnation))
		}
	}
	return quarantiner.Turn(f, over, string(d.self.Incarnation), names)
}
