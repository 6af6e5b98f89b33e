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
	minTablePoll = 200 * time.Millisecond
	maxTablePoll = 10 * time.Second
)

// inputs holds the latest inputs for the next snapshot.
type inputs struct {
	lock      sync.Mutex
	plan      planner.Plan
	rosters   map[string]registrar.Roster
	table     *locator.Table
	tableName string

	// resolved caches the settings resolved at number.
	resolved *resolver.Resolved
	number   recorder.Number
}

// applyObjects adds new objects from the platform to the snapshot inputs and
// triggers a rebuild.
func (d *Daemon) applyObjects(objects []storer.Object) {
	for _, o := range objects {
		if err := d.applyObject(o); err != nil {
			d.log.WithError(err).WithField("object", o.Name).Warn("cannot decode object")
		}
	}
	d.triggerRebuild()
}

func (d *Daemon) applyObject(o storer.Object) error {
	switch {
	case o.Name == planner.ObjectName:
		return d.applyPlan(o)
	case strings.HasPrefix(o.Name, registrar.Prefix):
		return d.applyRoster(o)
	case o.Name == lister.ObjectName:
		return d.applyList(o)
	case o.Name == settingsPrefix+recorder.SnapshotName:
		return d.applySettingsSnapshot(o)
	case strings.HasPrefix(o.Name, d.records.ChangePrefix()):
		c, err := d.records.Decode(o)
		if err != nil {
			return err
		}
		before := d.applier.Diverged()
		d.applier.Add(c)
		if d.applier.Diverged() > before {
			d.log.WithFields(logrus.Fields{"change": c.Number, "who": c.Who}).Error("the log holds another change than was applied: restart this daemon")
		}
	}
	return nil
}

func (d *Daemon) applyPlan(o storer.Object) error {
	p, err := planner.Decode(o.Body)
	if err != nil {
		return err
	}
	d.inputs.lock.Lock()
	defer d.inputs.lock.Unlock()
	if p.Number > d.inputs.plan.Number {
		d.inputs.plan = p
	}
	return nil
}

func (d *Daemon) applyRoster(o storer.Object) error {
	r, err := registrar.Decode(o.Body)
	if err != nil {
		return err
	}
	d.inputs.lock.Lock()
	defer d.inputs.lock.Unlock()
	if d.inputs.rosters == nil {
		d.inputs.rosters = map[string]registrar.Roster{}
	}
	if r.Version > d.inputs.rosters[r.Region].Version {
		d.inputs.rosters[r.Region] = r
	}
	return nil
}

// knownRoster returns the latest roster of this daemon's region.
func (d *Daemon) knownRoster() registrar.Roster {
	d.inputs.lock.Lock()
	defer d.inputs.lock.Unlock()
	return d.inputs.rosters[d.config.Region]
}

// knownPlan returns the latest plan.
func (d *Daemon) knownPlan() planner.Plan {
	d.inputs.lock.Lock()
	defer d.inputs.lock.Unlock()
	return d.inputs.plan
}

// applyList applies the platform's list of VMs: upstreams on leaving VMs get no new
// requests.
func (d *Daemon) applyList(o storer.Object) error {
	l, err := lister.Decode(o.Body)
	if err != nil {
		return err
	}
	d.owner.SetLeaving(l.Leaving())
	return nil
}

func (d *Daemon) applySettingsSnapshot(o storer.Object) error {
	s, err := recorder.DecodeSnapshot(o)
	if err != nil {
		return err
	}
	if err := d.applier.Restore(s); err != nil {
		return err
	}
	// Drop the changes from more than SnapshotEvery before the snapshot. Readers start at
	// the snapshot and don't need them.
	d.replica.Forget(func(name string) bool {
		n, ok := d.records.NumberOf(name)
		return ok && n+recorder.SnapshotEvery < s.Number
	})
	return nil
}

// triggerRebuild schedules a rebuild of the snapshot. It never blocks.
func (d *Daemon) triggerRebuild() {
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
			d.buildSnapshot()
		}
	}
}

// buildSnapshot builds the next snapshot and puts it in force.
func (d *Daemon) buildSnapshot() {
	inputs, rosterVersions := d.snapshotInputs()
	next, err := steerer.Build(inputs)
	if err != nil {
		d.log.WithError(err).Error("cannot build snapshot")
		return
	}
	last := d.snapshot.Load()
	if last != nil && (next.Number < last.Number || next.Plan.Number < last.Plan.Number) {
		// The numbers in force never decrease within a process.
		panic("runner: new snapshot has an older settings or plan number")
	}
	d.snapshot.Store(next)
	d.claimer.Set(next.View, rosterVersions, next.Settings)
	d.logVersions(last, next)
	d.joiner.TriggerHeartbeat()
}

// snapshotInputs returns the inputs of the next snapshot and the roster version of each
// region.
func (d *Daemon) snapshotInputs() (steerer.Inputs, map[string]uint64) {
	i := &d.inputs
	i.lock.Lock()
	defer i.lock.Unlock()
	tree, number := d.applier.State()
	if i.resolved == nil || i.number != number {
		i.resolved = tree.Resolve()
		i.number = number
	}
	if i.table == nil {
		i.table = &locator.Table{}
	}
	rosters := make([]registrar.Roster, 0, len(i.rosters))
	versions := map[string]uint64{}
	for _, r := range i.rosters {
		rosters = append(rosters, r)
		versions[r.Region] = r.Version
	}
	return steerer.Inputs{
		Settings: i.resolved,
		Number:   number,
		Plan:     i.plan,
		View:     registrar.NewView(rosters).Without(d.unreachable.list()).Without(d.formerIncarnations(rosters)),
		Table:    i.table,
		Home:     d.self.Site,
		Self:     d.Self(),
		Wall:     d.clock.WallNow(),
	}, versions
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

// loopBlocks loads the table of client blocks named in the settings, with back-off
// after a failure.
func (d *Daemon) loopBlocks(ctx context.Context) {
	pause := minTablePoll
	for {
		if s := d.snapshot.Load(); s != nil && d.needsTable(s.Settings.BlockTable) {
			if d.loadTable(ctx, s.Settings.BlockTable) {
				pause = minTablePoll
			} else {
				pause = min(pause*2, maxTablePoll)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
}

func (d *Daemon) needsTable(name string) bool {
	d.inputs.lock.Lock()
	defer d.inputs.lock.Unlock()
	return name != "" && name != d.inputs.tableName
}

// loadTable loads a table and puts it in force; the old table stays in use until the
// new one is complete. It reports whether the table was loaded.
func (d *Daemon) loadTable(ctx context.Context, name string) bool {
	t, err := locator.Load(ctx, d.store, name)
	if err != nil {
		d.log.WithError(err).WithField("table", name).Warn("cannot load client blocks")
		return false
	}
	d.inputs.lock.Lock()
	d.inputs.table = t
	d.inputs.tableName = name
	d.inputs.lock.Unlock()
	d.log.WithFields(logrus.Fields{"table": name, "blocks": t.Len()}).Info("client blocks in force")
	d.triggerRebuild()
	return true
}
