package runner

import (
	"context"
	"fmt"
	"slices"

	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/storer"
)

const maxSummaries = 100

// summaries reads the latest summary of each region's leader from the platform.
func (d *Daemon) summaries(ctx context.Context) ([]leader.Summary, error) {
	b, err := d.store.List(ctx, leader.SummaryPrefix, "", maxSummaries)
	if err != nil {
		return nil, err
	}
	var out []leader.Summary
	for _, o := range b.Objects {
		if s, err := leader.DecodeSummary(o.Body); err == nil {
			out = append(out, s)
		}
	}
	return out, nil
}

// memberCount returns the number of members on all rosters.
func (d *Daemon) memberCount() int {
	s := d.snapshot.Load()
	if s == nil {
		return 0
	}
	return len(s.View.Members())
}

func (d *Daemon) inForce(ctx context.Context, n recorder.Number) (operator.InForceResponse, error) {
	a := operator.InForceResponse{Number: n, Members: d.memberCount()}
	all, err := d.summaries(ctx)
	if err != nil {
		return a, err
	}
	a.InForce = countInForce(all, n)
	return a, nil
}

func countInForce(all []leader.Summary, n recorder.Number) int {
	count := 0
	for _, s := range all {
		count += s.InForce(n)
	}
	return count
}

// Status describes the fleet as this daemon knows it.
func (d *Daemon) Status(ctx context.Context) operator.Status {
	st := d.ownStatus()
	s := d.snapshot.Load()
	if s == nil {
		return st
	}
	st.Settings = s.Number
	st.Plan = s.Plan.Number
	st.PlanMillis = s.Plan.AtMillis
	st.Holds = s.Plan.Holds
	st.Blocks = s.Table.Len()
	tree, _ := d.applier.State()
	st.Drained = drainedPaths(tree)
	for _, x := range s.Settings.Shifts {
		st.Shifts = append(st.Shifts, shiftStatus(s, x))
	}
	all, err := d.summaries(ctx)
	st.Platform = err == nil
	st.InForce = countInForce(all, s.Number)
	for _, x := range all {
		st.Regions = append(st.Regions, regionStatus(s.Settings, x))
	}
	return st
}

// ownStatus returns the part of the status that concerns only this daemon.
func (d *Daemon) ownStatus() operator.Status {
	fence, leads := d.leader.Lease.Held()
	st := operator.Status{
		Daemon:      d.self.Name,
		Site:        d.self.Site,
		Members:     d.memberCount(),
		Lead:        leads,
		LeadReached: leads || d.joiner.LeaderHealthy(),
		Valid:       d.joiner.Valid(),
		Control:     d.controlStatus(),

		Fence:            fence,
		PlannerFence:     d.leader.PlannerFence(),
		InvariantsBroken: d.leader.FenceRegressions(),
	}
	for k, p := range d.owner.Pools() {
		l := p.Load()
		st.Owned = append(st.Owned, operator.OwnedStatus{
			Service: k.Service, Site: k.Site, Slots: l.Slots, Busy: l.Busy, Waiting: l.Waiting,
		})
	}
	return st
}

func drainedPaths(t resolver.Tree) []string {
	var out []string
	for _, p := range t.Paths() {
		if v, ok := t.Get(p, resolver.KeyDrain); ok && v == "true" {
			out = append(out, p.String())
		}
	}
	return out
}

// shiftStatus returns the progress of a shift.
func shiftStatus(s *steerer.Snapshot, x resolver.Shift) operator.ShiftStatus {
	have := s.Plan.Shift(x.Service, x.From, x.To).Moved
	return operator.ShiftStatus{Service: x.Service, From: x.From, To: x.To, Want: x.Share, Have: have}
}

func regionStatus(settings *resolver.Resolved, x leader.Summary) operator.RegionStatus {
	r := operator.RegionStatus{Region: x.Region, Fence: uint64(x.Fence)}
	r.Members, r.Leaving = x.Members()
	for _, l := range x.Sites {
		i := slices.IndexFunc(r.Services, func(s operator.ServiceStatus) bool { return s.Service == l.Service })
		if i < 0 {
			i = len(r.Services)
			r.Services = append(r.Services, operator.ServiceStatus{Service: l.Service})
		}
		s := &r.Services[i]
		s.Slots += l.Slots
		s.Busy += l.Busy
		s.Peak += l.Peak
		s.Waiting += l.Waiting
		if set := settings.At(l.Site, l.Service); set != nil {
			s.Limit += float64(l.Slots) * set.Limit
		}
	}
	return r
}

func (d *Daemon) controlStatus() operator.ControlStatus {
	l := d.links.Counters()
	p := d.store.Calls()
	return operator.ControlStatus{
		UpMillis:        d.clock.Now() - d.started,
		LinkBytesIn:     l.ControlIn.Load(),
		LinkBytesOut:    l.ControlOut.Load(),
		LinkFrames:      l.Frames.Load(),
		WireBytesIn:     l.WireIn.Load(),
		WireBytesOut:    l.WireOut.Load(),
		Pings:           l.Pings.Load(),
		RequestsHanded:  l.Handed.Load(),
		PlatformReads:   p.Reads.Load(),
		PlatformWrites:  p.Writes.Load(),
		PlatformWatches: p.Watches.Load(),
		PlatformBytes:   p.Bytes.Load(),
	}
}

// outlook computes headroom and losses from the load that the leaders reported.
func (d *Daemon) outlook(ctx context.Context) (operator.Outlook, error) {
	s := d.snapshot.Load()
	if s == nil {
		return operator.Outlook{}, storer.ErrNotFound
	}
	load, err := d.load(ctx)
	if err != nil {
		return operator.Outlook{}, err
	}
	losses, headroom := planner.Losses(s.Settings, load, d.clock.WallNow())
	return operator.Outlook{Headroom: headroom, Losses: losses}, nil
}

// load sums the load that the leaders reported.
func (d *Daemon) load(ctx context.Context) (planner.Load, error) {
	var load planner.Load
	all, err := d.summaries(ctx)
	for _, s := range all {
		s.AddWork(&load)
	}
	return load, err
}

// checkOverload predicts the use of sites under a tree and lists what it would overload,
// based on the load that the leaders reported. It fails during an outage of the
// platform, in which no change can be recorded either.
func (d *Daemon) checkOverload(t resolver.Tree) ([]planner.Use, parser.Problems) {
	ctx, cancel := context.WithTimeout(d.base, peerTimeout)
	defer cancel()
	load, err := d.load(ctx)
	if err != nil {
		return nil, parser.Problems{{Text: fmt.Sprintf("cannot read the current load: %v", err)}}
	}
	next := t.Resolve()
	wall := d.clock.WallNow()
	return planner.Predict(next, load, wall), planner.Check(next, load, wall)
}
