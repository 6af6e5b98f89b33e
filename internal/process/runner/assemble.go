package runner

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/lister"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
)

const (
	firstTablePause = 200 * time.Millisecond
	lastTablePause  = 10 * time.Second
)

// versions is the parts of the next snapshot.
type versions struct {
	lock      sync.Mutex
	plan      planner.Plan
	rosters   map[string]registrar.Roster
	table     *locator.Table
	tableName string

	// resolved caches the work on settings with a number.
	resolved *resolver.Resolved
	number   recorder.Number
}

// objectsChanged takes new objects of the platform into the parts.
func (d *Daemon) objectsChanged(objects []storer.Object) {
	for _, o := range objects {
		if err := d.objectChanged(o); err != nil {
			d.log.WithError(err).WithField("object", o.Name).Warn("object not understood")
		}
	}
	d.trigger()
}

func (d *Daemon) objectChanged(o storer.Object) error {
	switch {
	case o.Name == planner.ObjectName:
		return d.planChanged(o)
	case strings.HasPrefix(o.Name, registrar.Prefix):
		return d.rosterChanged(o)
	case o.Name == lister.ObjectName:
		return d.listChanged(o)
	case o.Name == settingsPrefix+recorder.SnapshotName:
		return d.snapshotChanged(o)
	case strings.HasPrefix(o.Name, d.records.ChangePrefix()):
		c, err := d.records.Decode(o)
		if err != nil {
			return err
		}
		d.applier.Add(c)
	}
	return nil
}

func (d *Daemon) planChanged(o storer.Object) error {
	p, err := planner.Decode(o.Body)
	if err != nil {
		return err
	}
	d.versions.lock.Lock()
	defer d.versions.lock.Unlock()
	if p.Number > d.versions.plan.Number {
		d.versions.plan = p
	}
	return nil
}

func (d *Daemon) rosterChanged(o storer.Object) error {
	r, err := registrar.Decode(o.Body)
	if err != nil {
		return err
	}
	d.versions.lock.Lock()
	defer d.versions.lock.Unlock()
	if d.versions.rosters == nil {
		d.versions.rosters = map[string]registrar.Roster{}
	}
	if r.Version > d.versions.rosters[r.Region].Version {
		d.versions.rosters[r.Region] = r
	}
	return nil
}

// listChanged acts on the platform's list of VMs: upstreams on VMs that leave get
// nothing new.
func (d *Daemon) listChanged(o storer.Object) error {
	l, err := lister.Decode(o.Body)
	if err != nil {
		return err
	}
	d.owner.SetLeaving(l.Leaving())
	return nil
}

func (d *Daemon) snapshotChanged(o storer.Object) error {
	s, err := recorder.DecodeSnapshot(o)
	if err != nil {
		return err
	}
	if err := d.applier.Restore(s); err != nil {
		return err
	}
	// Changes far behind a snapshot help nobody any more.
	d.replica.Forget(func(name string) bool {
		n, ok := d.records.NumberOf(name)
		return ok && n+recorder.SnapshotEvery < s.Number
	})
	return nil
}

// trigger has the snapshot rebuilt soon.
func (d *Daemon) trigger() {
	select {
	case d.rebuild <- struct{}{}:
	default:
	}
}

func (d *Daemon) loopRebuild(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.rebuild:
			d.build()
		}
	}
}

// build makes the next snapshot and puts it in force.
func (d *Daemon) build() {
	parts, versions := d.parts()
	next, err := steerer.Build(parts)
	if err != nil {
		d.log.WithError(err).Error("snapshot not built")
		return
	}
	last := d.snapshot.Load()
	if last != nil && (next.Number < last.Number || next.Plan.Number < last.Plan.Number) {
		// Numbers in force never go down in a process.
		panic("runner: a snapshot would take settings or plan back")
	}
	d.snapshot.Store(next)
	d.claimer.Set(next.View, versions, next.Settings)
	d.logVersions(last, next)
	d.joiner.Poke()
}

func (d *Daemon) parts() (steerer.Parts, map[string]uint64) {
	v := &d.versions
	v.lock.Lock()
	defer v.lock.Unlock()
	tree, number := d.applier.State()
	if v.resolved == nil || v.number != number {
		v.resolved = tree.Resolve()
		v.number = number
	}
	if v.table == nil {
		v.table = &locator.Table{}
	}
	rosters := make([]registrar.Roster, 0, len(v.rosters))
	numbers := map[string]uint64{}
	for _, r := range v.rosters {
		rosters = append(rosters, r)
		numbers[r.Region] = r.Version
	}
	return steerer.Parts{
		Settings: v.resolved,
		Number:   number,
		Plan:     v.plan,
		View:     registrar.NewView(rosters).Without(d.suspects.list()).Without(d.replaced(rosters)),
		Table:    v.table,
		Home:     d.self.Site,
		Self:     d.Self(),
		Wall:     d.clock.WallNow(),
	}, numbers
}

func (d *Daemon) logVersions(last, next *steerer.Snapshot) {
	if last != nil && last.Number == next.Number {
		return
	}
	d.log.WithFields(logrus.Fields{
		"settings": next.Number,
		"plan":     next.Plan.Number,
		"rejected": d.applier.Rejected(),
	}).Info("settings in force")
}

// loopBlocks loads the table of client blocks that the settings name.
func (d *Daemon) loopBlocks(ctx context.Context) {
	pause := firstTablePause
	for {
		if s := d.snapshot.Load(); s != nil && d.tableWanted(s.Settings.BlockTable) {
			if d.loadTable(ctx, s.Settings.BlockTable) {
				pause = firstTablePause
			} else {
				pause = min(pause*2, lastTablePause)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
}

func (d *Daemon) tableWanted(name string) bool {
	d.versions.lock.Lock()
	defer d.versions.lock.Unlock()
	return name != "" && name != d.versions.tableName
}

// loadTable puts a table in force. The old one stays until the new is whole.
func (d *Daemon) loadTable(ctx context.Context, name string) bool {
	t, err := locator.Load(ctx, d.store, name)
	if err != nil {
		d.log.WithError(err).WithField("table", name).Warn("client blocks not loaded")
		return false
	}
	d.versions.lock.Lock()
	d.versions.table = t
	d.versions.tableName = name
	d.versions.lock.Unlock()
	d.log.WithFields(logrus.Fields{"table": name, "blocks": t.Len()}).Info("client blocks in force")
	d.trigger()
	return true
}
