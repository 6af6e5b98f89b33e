package runner

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// restoreTimeout is how long changes of settings wait for a region that does not write again what it
// knows, after the store has returned from an older copy.
const restoreTimeout = 30 * timekeeper.Second

// restoration tells when the store has all accepted changes of settings again after it has returned
// from an older copy.
type restoration struct {
	lock sync.Mutex
	// restored is the era in which it has, and era the latest one, observed since.
	restored storer.Era
	era      storer.Era
	since    timekeeper.Millis
}

// restoredEra returns the era of the store if it has all accepted changes of settings in it.
func (d *Daemon) restoredEra(ctx context.Context) (storer.Era, error) {
	r := &d.restoration
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.restored == d.store.Era() {
		return r.restored, nil
	}
	b, err := d.store.List(ctx, registrar.Prefix, "", maxRosters)
	if err != nil {
		return 0, err
	}
	era := b.Revision.Era()
	if r.era != era {
		r.era, r.since = era, d.clock.Now()
	}
	for region, at := range d.restoredRegions(b.Objects) {
		if at >= era {
			continue
		}
		if d.clock.Now()-r.since < restoreTimeout {
			return 0, eris.Wrapf(storer.ErrUnreachable, "region %s has not confirmed its changes of settings since the platform returned from an older copy (era %d)", region, era)
		}
		d.log.WithField("region", region).WithField("era", era).Warn("region has not confirmed its changes of settings")
	}
	r.restored = era
	return era, nil
}

// restoredRegions returns the era that the roster of each region with members states: the stored one,
// or the one that this daemon knows where the store has none.
func (d *Daemon) restoredRegions(stored []storer.Object) map[string]storer.Era {
	d.inputs.lock.Lock()
	all := maps.Clone(d.inputs.rosters)
	d.inputs.lock.Unlock()
	out := map[string]storer.Era{}
	for _, r := range all {
		if len(r.Members) > 0 {
			out[r.Region] = r.Era
		}
	}
	for _, o := range stored {
		r, err := registrar.Decode(o.Body)
		if err == nil && len(r.Members) > 0 {
			out[r.Region] = max(out[r.Region], r.Era)
		}
	}
	return out
}

// keepChange adds a change that was accepted here or read from the log to the replica, from which it
// is written again if the store loses it. The leader relays the object with its revision.
func (d *Daemon) keepChange(c recorder.Change) {
	name := d.records.Name(c.Number)
	if _, ok := d.replica.Get(name); ok {
		return
	}
	body, err := json.Marshal(c)
	if err != nil {
		d.log.WithError(err).WithField("change", c.Number).Error("cannot encode change")
		return
	}
	// The lowest revision of any era: the store's own is above it.
	d.replica.Put(storer.Batch{Objects: []storer.Object{{Name: name, Revision: storer.RevisionAt(0, 1), Body: body}}})
}
