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
	maxRosters = 1000
	maxChanges = 2000

	// pollInterval is the mean interval at which a member without a leader polls the
	// platform.
	pollInterval = 2 * time.Second

	peerTimeout = 2 * time.Second
)

// syncInitial reads the newest settings from the platform or, if that is unreachable,
// from peers. It retries until it succeeds, and returns false if ctx ends first.
func (d *Daemon) syncInitial(ctx context.Context) bool {
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

// syncPlatform reads the rosters, settings, plan and VM list from the platform into the
// replica. The replica is complete up to the revision of the first call.
func (d *Daemon) syncPlatform(ctx context.Context) error {
	all, err := d.store.List(ctx, registrar.Prefix, "", maxRosters)
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
	changes, err := d.store.List(ctx, d.records.ChangePrefix(), after, maxChanges)
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

// syncPeers reads from every listed VM and seed and from every member of the region
// that they report, and keeps the newest objects. It reports whether any peer returned
// objects.
func (d *Daemon) syncPeers(ctx context.Context) bool {
	visited := map[string]bool{d.self.Links: true}
	pending := append(d.listedLinkAddresses(ctx), d.config.Seeds...)
	found := false
	for len(pending) > 0 {
		address := pending[0]
		pending = pending[1:]
		if visited[address] {
			continue
		}
		visited[address] = true
		b, err := d.fetchPeer(ctx, address)
		if err != nil || b.Revision == 0 {
			continue
		}
		found = true
		d.replica.Put(b)
		pending = append(pending, d.regionLinkAddresses()...)
	}
	return found
}

func (d *Daemon) fetchPeer(ctx context.Context, address string) (storer.Batch, error) {
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

// listedLinkAddresses returns the link addresses that daemons would have on the VMs of
// the platform's list, which may be readable when the rest of the platform is not.
func (d *Daemon) listedLinkAddresses(ctx context.Context) []string {
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

// regionLinkAddresses returns the link addresses of the members of this region.
func (d *Daemon) regionLinkAddresses() []string {
	d.inputs.lock.Lock()
	defer d.inputs.lock.Unlock()
	var out []string
	for _, m := range d.inputs.rosters[d.config.Region].Members {
		out = append(out, m.Links)
	}
	return out
}

// loopPoll reads changes from the platform while no leader relays them.
func (d *Daemon) loopPoll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval/2 + rand.N(pollInterval)):
		}
		if d.joiner.LeaderHealthy() {
			continue
		}
		b, err := d.store.Watch(ctx, leader.Prefixes, d.replica.Revision(), 0)
		if errors.Is(err, storer.ErrCompacted) {
			err = d.syncPlatform(ctx)
		}
		if err != nil {
			d.log.WithError(err).Debug("platform not reached")
			continue
		}
		d.replica.Put(b)
	}
}

// loopCloseIdleLinks periodically closes idle links.
func (d *Daemon) loopCloseIdleLinks(ctx context.Context) {
	timekeeper.Every(ctx, linkIdleTimeout/4, d.closeIdleLinks)
}

// linkIdleTimeout is how long an idle link to a daemon of another site is kept open.
const linkIdleTimeout = 60 * time.Second

func (d *Daemon) closeIdleLinks() {
	s := d.snapshot.Load()
	if s == nil {
		return
	}
	leaderID := d.joiner.Leader()
	closed := d.links.RetainPeers(func(i registrar.Incarnation, idle time.Duration) bool {
		m, ok := s.View.Find(i)
		return i == leaderID || idle < linkIdleTimeout && ok || ok && m.Site == d.self.Site
	})
	if closed > 0 {
		d.log.WithFields(logrus.Fields{"links": closed}).Debug("idle links closed")
	}
}
