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
	planEvery = 500 * time.Millisecond

	// summaryAge is how old a summary may be for the planner to act on it.
	summaryAge = 4 * timekeeper.Second

	mostRegions = 100
)

type (
	// planning is the state of the planner's duty.
	planning struct {
		lease *leaser.Lease
		mover planner.Mover
		seen  map[string]seenSummary
	}

	// seenSummary is a summary and when it was first seen, by our own clock.
	seenSummary struct {
		at      timekeeper.Millis
		summary Summary
	}
)

// runPlanner plans for the fleet while this lead holds that lease too.
func (l *Leader) runPlanner(ctx context.Context) {
	lease := &leaser.Lease{
		Store:   l.Store,
		Name:    PlannerLease,
		Holder:  l.Lease.Holder,
		Address: l.Lease.Address,
		Clock:   l.Clock,
	}
	go l.runPlannerLease(ctx, lease)
	p := planning{lease: lease, seen: map[string]seenSummary{}}
	t := time.NewTicker(planEvery)
	defer t.Stop()
	var under leaser.Fence
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		fence, held := lease.Held()
		if !held {
			under = 0
			continue
		}
		if fence != under {
			p.mover = planner.Mover{}
		}
		if l.plan(ctx, &p, fence, fence != under) {
			under = fence
		}
	}
}

func (l *Leader) runPlannerLease(ctx context.Context, lease *leaser.Lease) {
	lease.Run(ctx, func(f leaser.Fence, held bool) {
		l.Log.WithFields(logrus.Fields{"fence": f, "held": held}).Info("planner's lease changed")
	})
	// The duties end with the lead. Whoever leads next need not wait.
	if _, held := lease.Held(); held {
		ctx, cancel := context.WithTimeout(context.Background(), storer.DefaultTimeout.Duration())
		defer cancel()
		_ = lease.Release(ctx)
	}
}

// plan makes one step. With seal it writes the plan in any case, which shuts
// out a late write of the planner before. It reports whether it could act.
func (l *Leader) plan(ctx context.Context, p *planning, fence leaser.Fence, seal bool) bool {
	last, at, err := l.readPlan(ctx)
	if err != nil || last.Fence > fence {
		return false
	}
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
	return l.writePlan(ctx, p, next, at)
}

func (l *Leader) readPlan(ctx context.Context) (planner.Plan, storer.Revision, error) {
	o, err := l.Store.Get(ctx, planner.ObjectName)
	if errors.Is(err, storer.ErrNotFound) {
		return planner.Plan{}, 0, nil
	}
	if err != nil {
		return planner.Plan{}, 0, err
	}
	plan, err := planner.Decode(o.Body)
	return plan, o.Revision, err
}

func (l *Leader) writePlan(ctx context.Context, p *planning, next planner.Plan, at storer.Revision) bool {
	body, err := next.Encode()
	if err != nil {
		return false
	}
	if _, held := p.lease.Held(); !held {
		return false
	}
	_, err = l.put(ctx, planner.ObjectName, body, at)
	return err == nil
}

// readSummaries notes which summaries moved on since the last look.
func (l *Leader) readSummaries(ctx context.Context, p *planning) error {
	b, err := l.Store.List(ctx, SummaryPrefix, "", mostRegions)
	if err != nil {
		return err
	}
	now := l.Clock.Now()
	for _, o := range b.Objects {
		s, err := DecodeSummary(o.Body)
		if err != nil {
			continue
		}
		old := p.seen[s.Region].summary
		if old.Sequence != s.Sequence || old.Fence != s.Fence {
			p.seen[s.Region] = seenSummary{at: now, summary: s}
		}
	}
	return nil
}

// inForce tells whether every member of every region runs a plan.
func (l *Leader) inForce(p *planning, n planner.Number) bool {
	for region, members := range l.regions() {
		s, ok := p.seen[region]
		if !ok || len(s.summary.Members) < members {
			return false
		}
		for _, m := range s.summary.Members {
			if m.Plan < n {
				return false
			}
		}
	}
	return true
}

// regions returns how many members each roster lists.
func (l *Leader) regions() map[string]int {
	out := map[string]int{}
	for _, o := range l.Replica.Under(registrar.Prefix) {
		if r, err := registrar.Decode(o.Body); err == nil && len(r.Members) > 0 {
			out[r.Region] = len(r.Members)
		}
	}
	return out
}

// load joins the summaries.
func (l *Leader) load(p *planning) planner.Load {
	out := planner.Load{Work: map[resolver.ServiceName]planner.Demand{}}
	now := l.Clock.Now()
	for region := range l.regions() {
		s, ok := p.seen[region]
		if !ok || now-s.at > summaryAge {
			out.Stale = append(out.Stale, region)
			continue
		}
		for _, w := range s.summary.Work {
			if out.Work[w.Service] == nil {
				out.Work[w.Service] = planner.Demand{}
			}
			out.Work[w.Service][w.Origin] += w.Slots
		}
	}
	return out
}
