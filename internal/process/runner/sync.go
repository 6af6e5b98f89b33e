package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/pkg/lister"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	mostRosters = 1000
	mostChanges = 2000

	// pollEvery is how often a member without a lead asks the platform.
	pollEvery = 2 * time.Second

	peerTimeout = 2 * time.Second
)

// syncFirst gets the newest settings that the platform, or without it the
// peers, can show. It reports false when ctx ended.
func (d *Daemon) syncFirst(ctx context.Context) bool {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	for {
		err := d.syncPlatform(ctx)
		if err == nil {
			d.log.Info("settings read from the platform")
			return true
		}
		if d.syncPeers(ctx) {
			d.log.WithError(err).Warn("platform not reached, settings read from peers")
			return true
		}
		d.log.WithError(err).Warn("no settings yet: neither platform nor peers reached")
		select {
		case <-ctx.Done():
			return false
		case <-time.After(b.NextBackOff()):
		}
	}
}

// syncPlatform reads everything that steers. The revision of the first call
// bounds what the copy is complete up to.
func (d *Daemon) syncPlatform(ctx context.Context) error {
	all, err := d.store.List(ctx, registrar.Prefix, "", mostRosters)
	if err != nil {
		return err
	}
	after := d.records.ChangePrefix()
	o, err := d.store.Get(ctx, settingsPrefix+recorder.SnapshotName)
	switch {
	case err == nil:
		s, err := recorder.DecodeSnapshot(o)
		if err != nil {
			return err
		}
		all.Objects = append(all.Objects, o)
		after = d.records.Name(s.Number)
	case !errors.Is(err, storer.ErrNotFound):
		return err
	}
	changes, err := d.store.List(ctx, d.records.ChangePrefix(), after, mostChanges)
	if err != nil {
		return err
	}
	all.Objects = append(all.Objects, changes.Objects...)
	for _, name := range []string{planner.ObjectName, lister.ObjectName} {
		o, err := d.store.Get(ctx, name)
		if err == nil {
			all.Objects = append(all.Objects, o)
		} else if !errors.Is(err, storer.ErrNotFound) {
			return err
		}
	}
	d.replica.Put(all)
	return nil
}

// syncPeers asks every seed and every member they name, and keeps the newest of
// all that they know.
func (d *Daemon) syncPeers(ctx context.Context) bool {
	asked := map[string]bool{d.self.Links: true}
	todo := append(d.listedLinks(ctx), d.config.Seeds...)
	found := false
	for len(todo) > 0 {
		address := todo[0]
		todo = todo[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		b, err := d.fetch(ctx, address)
		if err != nil || b.Revision == 0 {
			continue
		}
		found = true
		d.replica.Put(b)
		todo = append(todo, d.regionLinks()...)
	}
	return found
}

func (d *Daemon) fetch(ctx context.Context, address string) (storer.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var all storer.Batch
	err := d.links.Fetch(ctx, address, d.replica.Revision(), func(b storer.Batch) bool {
		all.Objects = append(all.Objects, b.Objects...)
		all.Revision = b.Revision
		return b.Revision == 0
	}, leader.ReadObjects)
	return all, eris.Wrapf(err, "peer %s", address)
}

// listedLinks returns where daemons would listen for links on the VMs of the
// platform's list, which may answer when the rest of the platform does not.
func (d *Daemon) listedLinks(ctx context.Context) []string {
	o, err := d.store.Get(ctx, lister.ObjectName)
	if err != nil {
		return nil
	}
	l, err := lister.Decode(o.Body)
	if err != nil {
		return nil
	}
	_, port, err := net.SplitHostPort(d.self.Links)
	if err != nil {
		return nil
	}
	var out []string
	for _, v := range l.VMs {
		if !v.Leaving {
			out = append(out, net.JoinHostPort(v.Address, port))
		}
	}
	return out
}

// regionLinks returns the link addresses of the members of our region.
func (d *Daemon) regionLinks() []string {
	d.versions.lock.Lock()
	defer d.versions.lock.Unlock()
	var out []string
	for _, m := range d.versions.rosters[d.config.Region].Members {
		out = append(out, m.Links)
	}
	return out
}

// loopPoll asks the platform for news while no lead passes them on.
func (d *Daemon) loopPoll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollEvery/2 + rand.N(pollEvery)):
		}
		if d.joiner.LeadHealthy() {
			continue
		}
		b, err := d.store.Watch(ctx, leader.Prefixes, d.replica.Revision(), 0)
		if err != nil {
			d.log.WithError(err).Debug("platform not reached")
			continue
		}
		d.replica.Put(b)
	}
}

// loopTidy ends links that nobody needs.
func (d *Daemon) loopTidy(ctx context.Context) {
	timekeeper.Every(ctx, linkIdle/4, d.tidy)
}

// linkIdle is how long an unused link to a daemon of another site is kept.
const linkIdle = 60 * time.Second

func (d *Daemon) tidy() {
	s := d.snapshot.Load()
	if s == nil {
		return
	}
	lead := d.joiner.LeadIs()
	dropped := d.links.Keep(func(i registrar.Incarnation, idle time.Duration) bool {
		m, ok := s.View.Find(i)
		return i == lead || idle < linkIdle && ok || ok && m.Site == d.self.Site
	})
	if dropped > 0 {
		d.log.WithFields(logrus.Fields{"links": dropped}).Debug("idle links ended")
	}
}
