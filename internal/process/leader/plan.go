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
	summaryAge = 10 * timekeeper.Second
)

type (
	// planning is the state of the planner's duty.
	planning struct {
		lease *leaser.Lease
		mover planner.Mover
		seen  map[string]seenSummary
		// since is up to where summaries were read.
		since storer.Revision
		// last is the plan as read or written last; known tells that there is
		// one, at its revision.
		last  planner.Plan
		at    storer.Revision
		known bool
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
	l.planner.Store(lease)
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
			p.known = false
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

// PlannerFence returns the fence under which this lead plans, 0 when it does not.
func (l *Leader) PlannerFence() leaser.Fence {
	lease := l.planner.Load()
	if lease == nil {
		return 0
	}
	fence, _ := lease.Held()
	return fence
}

// Broken counts broken invariants of the leases.
func (l *Leader) Broken() uint64 {
	n := l.Lease.Broken()
	if lease := l.planner.Load(); lease != nil {
		n += lease.Broken()
	}
	return n
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

// readPlan reads the plan unless it is known from the last write.
func (l *Leader) readPlan(ctx context.Context, p *planning) error {
	if p.known {
		return nil
	}
	o, err := l.Store.Get(ctx, planner.ObjectName)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	p.last, p.at = planner.Plan{}, o.Revision
	if err == nil {
		if p.last, err = planner.Decode(o.Body); err != nil {
			return err
		}
	}
	p.known = true
	return nil
}

func (l *Leader) writePlan(ctx context.Context, p *planning, next planner.Plan) bool {
	body, err := next.Encode()
	if err != nil {
		return false
	}
	if _, held := p.lease.Held(); !held {
		return false
	}
	at, err := l.put(ctx, planner.ObjectName, body, p.at)
	if err != nil {
		// Another revision, or nobody knows: it is read anew.
		p.known = false
		return false
	}
	p.last, p.at = next, at
	return true
}

// readSummaries notes which summaries moved on since the last look.
func (l *Leader) readSummaries(ctx context.Context, p *planning) error {
	b, err := l.Store.Watch(ctx, []string{SummaryPrefix}, p.since, 0)
	if err != nil {
		return err
	}
	p.since = b.Revision
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
		s := p.seen[region].summary
		if have, _ := s.Members(); have < members || !s.runsPlan(n) {
			return false
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
		s.summary.AddWork(&out)
	}
	return out
}
