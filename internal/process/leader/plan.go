package leader

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	planInterval = 500 * time.Millisecond

	// maxSummaryAge is the age above which the planner treats a summary as stale.
	maxSummaryAge = 10 * timekeeper.Second
)

type (
	// plannerState is the state of the planner.
	plannerState struct {
		lease     *leaser.Lease
		mover     planner.Mover
		summaries map[string]observedSummary
		// summaryRevision is the revision up to which summaries were read.
		summaryRevision storer.Revision
		// last is the plan as last read or written, at the revision of its object. Both
		// are valid only if known is set.
		last  planner.Plan
		at    storer.Revision
		known bool
	}

	// observedSummary is a summary and the local time at which it was first seen.
	observedSummary struct {
		at      timekeeper.Millis
		summary Summary
	}
)

// runPlanner plans for the fleet while this leader also holds the planner lease.
func (l *Leader) runPlanner(ctx context.Context) {
	lease := &leaser.Lease{
		Store:   l.Store,
		Name:    PlannerLease,
		Holder:  l.Lease.Holder,
		Address: l.Lease.Address,
		Clock:   l.Clock,
	}
	l.planner.Store(lease)
	go l.runPlannerLease(ctx, lease)
	p := plannerState{lease: lease, summaries: map[string]observedSummary{}}
	t := time.NewTicker(planInterval)
	defer t.Stop()
	var activeFence leaser.Fence
	var activeEra storer.Era
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		fence, held := lease.Held()
		if !held {
			activeFence = 0
			p.known = false
			continue
		}
		if fence != activeFence {
			p.mover = planner.Mover{}
		}
		era := l.Store.Era()
		if l.plan(ctx, &p, fence, fence != activeFence || era != activeEra) {
			activeFence, activeEra = fence, era
		}
	}
}

// PlannerFence returns the fence of the planner lease, 0 if it is not held.
func (l *Leader) PlannerFence() leaser.Fence {
	lease := l.planner.Load()
	if lease == nil {
		return 0
	}
	fence, _ := lease.Held()
	return fence
}

// FenceRegressions returns the number of fence regressions of both leases, each of which
// breaks an invariant.
func (l *Leader) FenceRegressions() uint64 {
	n := l.Lease.FenceRegressions()
	if lease := l.planner.Load(); lease != nil {
		n += lease.FenceRegressions()
	}
	return n
}

func (l *Leader) runPlannerLease(ctx context.Context, lease *leaser.Lease) {
	lease.Run(ctx, func(f leaser.Fence, held bool) {
		l.Log.WithFields(logrus.Fields{"fence": f, "held": held}).Info("planner's lease changed")
	})
	// Planning ends with the leadership. Releasing the lease saves the next leader
	// the wait for its expiry.
	if _, held := lease.Held(); held {
		ctx, cancel := context.WithTimeout(context.Background(), storer.DefaultTimeout.Duration())
		defer cancel()
		_ = lease.Release(ctx)
	}
}

// plan runs one planning step and reports whether it succeeded. With seal it writes
// the plan even if it is unchanged, so that a delayed write by the previous planner
// fails, and that the store has it again after it returned from an older copy.
func (l *Leader) plan(ctx context.Context, p *plannerState, fence leaser.Fence, seal bool) bool {
	if err := l.readPlan(ctx, p); err != nil || p.last.Fence > fence {
		p.known = false
		return false
	}
	last := p.last
	if err := l.readSummaries(ctx, p); err != nil {
		return false
	}
	settings, number := l.Settings()
	if settings == nil || len(settings.Sites) == 0 {
		return false
	}
	in := planner.Input{
		Settings: settings,
		Number:   number,
		Last:     last,
		InForce:  l.inForce(p, last.Number),
		Load:     l.load(p),
		Now:      l.Clock.Now(),
		Wall:     l.Clock.WallNow(),
	}
	next, changed := p.mover.Step(in)
	if seal && next.Number == last.Number {
		next.Number++
	}
	if !changed && !seal {
		return true
	}
	next.Fence = fence
	return l.writePlan(ctx, p, next)
}

// readPlan reads the plan unless it is known from the last read or write.
func (l *Leader) readPlan(ctx context.Context, p *plannerState) error {
	if p.known && p.at.Era() == l.Store.Era() {
		return nil
	}
	o, err := l.Store.Get(ctx, planner.ObjectName)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	var stored planner.Plan
	p.at = storer.RevisionAt(l.Store.Era(), 0)
	if err == nil {
		if stored, err = planner.Decode(o.Body); err != nil {
			return err
		}
		p.at = o.Revision
	}
	if l.KnownPlan != nil {
		stored = newerPlan(stored, l.KnownPlan())
	}
	p.last = newerPlan(stored, p.last)
	p.known = true
	return nil
}

// newerPlan returns the plan with the larger number, a if both have the same.
func newerPlan(a, b planner.Plan) planner.Plan {
	if b.Number > a.Number {
		return b
	}
	return a
}

func (l *Leader) writePlan(ctx context.Context, p *plannerState, next planner.Plan) bool {
	body, err := next.Encode()
	if err != nil {
		return false
	}
	if _, held := p.lease.Held(); !held {
		return false
	}
	at, err := l.put(ctx, planner.ObjectName, body, p.at)
	if err != nil {
		// Either the revision differs or the outcome is unknown. The plan is read
		// again before the next write.
		p.known = false
		return false
	}
	p.last, p.at = next, at
	return true
}

// readSummaries records the summaries that changed since the last call.
func (l *Leader) readSummaries(ctx context.Context, p *plannerState) error {
	b, err := l.Store.Watch(ctx, []string{SummaryPrefix}, p.summaryRevision, 0)
	var another *storer.EraError
	if errors.As(err, &another) {
		// The next call reads the summaries of the store's present copy.
		p.summaryRevision = storer.RevisionAt(another.Present, 0)
	}
	if err != nil {
		return err
	}
	p.summaryRevision = b.Revision
	now := l.Clock.Now()
	for _, o := range b.Objects {
		s, err := DecodeSummary(o.Body)
		if err != nil {
			continue
		}
		old := p.summaries[s.Region].summary
		if old.Sequence != s.Sequence || old.Fence != s.Fence {
			p.summaries[s.Region] = observedSummary{at: now, summary: s}
		}
	}
	return nil
}

// inForce reports whether every member of every region runs plan number n or a later
// one.
func (l *Leader) inForce(p *plannerState, n planner.Number) bool {
	for region, members := range l.memberCounts() {
		s := p.summaries[region].summary
		if have, _ := s.Members(); have < members || !s.runsPlan(n) {
			return false
		}
	}
	return true
}

// memberCounts returns the number of members on the roster of each region.
func (l *Leader) memberCounts() map[string]int {
	out := map[string]int{}
	for _, o := range l.Replica.WithPrefix(registrar.Prefix) {
		if r, err := registrar.Decode(o.Body); err == nil && len(r.Members) > 0 {
			out[r.Region] = len(r.Members)
		}
	}
	return out
}

// load adds up the work in the summaries of all regions. Regions without a recent
// summary are listed as stale.
func (l *Leader) load(p *plannerState) planner.Load {
	out := planner.Load{Work: map[resolver.ServiceName]planner.Demand{}}
	now := l.Clock.Now()
	for region := range l.memberCounts() {
		s, ok := p.summaries[region]
		if !ok || now-s.at > maxSummaryAge {
			out.Stale = append(out.Stale, region)
			continue
		}
		s.summary.AddWork(&out)
	}
	return out
}
