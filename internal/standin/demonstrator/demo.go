package demonstrator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/finder"
)

const (
	// ShortestRun is the minimum length of a demo in which the shift and the
	// drain complete.
	ShortestRun = 20 * time.Second

	shiftShare = 0.2

	// Start times of the operator changes, as fractions of the length of the run.
	shiftAt   = 0.10
	drainAt   = 0.45
	undrainAt = 0.80

	// shiftFraction is the fraction of the run in which the shift may move its
	// whole share; the cap is derived from it.
	shiftFraction = 0.25

	pollInterval = 20 * time.Millisecond
)

type (
	// Options configures a demo.
	Options struct {
		Shape string
		// Length is the duration of the load.
		Length time.Duration
		// LoadFraction is the load as a fraction of the capacity of all slots.
		LoadFraction float64
		Seed         uint64
		// Out receives progress messages.
		Out io.Writer
	}

	// demoRun is a demo in progress.
	demoRun struct {
		options    Options
		deployment deployment
		fleet      *fleet
		load       *caller.Load
		usage      *usage
		report     Report
		began      time.Time
		lock       sync.Mutex
	}
)

// Run runs a demo and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, err := deploymentByName(o.Shape)
	if err != nil {
		return nil, err
	}
	f, err := startFleet(ctx, d)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	r := &demoRun{options: o, deployment: d, fleet: f, load: &caller.Load{}, usage: newUsage(f)}
	r.began = time.Now()
	r.logf("%s: %d daemons, %d upstreams, load %.0f%% of slots", d.name, len(f.daemons), len(f.servers), 100*o.LoadFraction)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.usage.loop(ctx)
	if err := r.generateLoad(ctx); err != nil {
		return nil, err
	}
	r.load.Wait()
	cancel()
	r.finish()
	return &r.report, nil
}

func (r *demoRun) logf(format string, args ...any) {
	fmt.Fprintf(r.options.Out, "%5.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// generateLoad runs the load and, concurrently, the operator changes.
func (r *demoRun) generateLoad(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, r.options.Length)
	defer cancel()
	var streams sync.WaitGroup
	for _, s := range r.streams() {
		streams.Add(1)
		go r.runStream(loadCtx, s, &streams)
	}
	err := r.operate(loadCtx)
	streams.Wait()
	return err
}

func (r *demoRun) runStream(ctx context.Context, s caller.Stream, wg *sync.WaitGroup) {
	defer wg.Done()
	r.load.Run(ctx, s)
}

// streams returns the load of each service from the blocks of each site.
// Requests are counted in a class named after their service.
func (r *demoRun) streams() []caller.Stream {
	finders := r.fleet.finders()
	var out []caller.Stream
	sites := r.deployment.sites()
	for _, v := range r.deployment.services {
		for n, site := range sites {
			f := finders[site.Region()]
			out = append(out, caller.Stream{
				Class:        string(v.name),
				Service:      string(v.name),
				Rate:         v.requestRate(r.options.LoadFraction) / float64(len(sites)),
				PostFraction: v.postFraction,
				Bytes:        v.bytes,
				Blocks:       clientBlocks(n),
				Finder:       func(string) *finder.Finder { return f },
				Seed:         r.options.Seed*1000 + uint64(len(out)),
			})
		}
	}
	return out
}

// operate performs a shift with a cap, a drain, and an undrain.
func (r *demoRun) operate(ctx context.Context) error {
	if err := r.waitUntil(ctx, shiftAt); err != nil {
		return err
	}
	if err := r.shiftTraffic(ctx); err != nil {
		return err
	}
	if err := r.waitUntil(ctx, drainAt); err != nil {
		return err
	}
	if err := r.drainDomain(ctx); err != nil {
		return err
	}
	if err := r.waitUntil(ctx, undrainAt); err != nil {
		return err
	}
	p := r.deployment.drainDomain.String()
	elapsed, err := r.fleet.operator().set(ctx, resolver.Edit{Path: p, Key: resolver.KeyDrain, Unset: true})
	if err != nil {
		return err
	}
	r.logf("undrain %s: in force on all daemons after %d ms", p, elapsed.Milliseconds())
	return nil
}

func (r *demoRun) waitUntil(ctx context.Context, fraction float64) error {
	due := r.began.Add(time.Duration(fraction * float64(r.options.Length)))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(due)):
		return nil
	}
}

// shiftTraffic shifts a share of the first service's traffic and starts to
// observe the progress of the plan.
func (r *demoRun) shiftTraffic(ctx context.Context) error {
	service := r.deployment.services[0].name
	path := resolver.Path{Region: r.deployment.shiftFrom, Service: service}.String()
	perMinute := shiftShare / (shiftFraction * r.options.Length.Minutes())
	elapsed, err := r.fleet.operator().set(ctx,
		resolver.Edit{Path: path, Key: resolver.KeyShiftTo, Value: resolver.Value(r.deployment.shiftTo)},
		resolver.Edit{Path: path, Key: resolver.KeyShiftShare, Value: resolver.Value(fmt.Sprintf("%g%%", 100*shiftShare))},
		resolver.Edit{Path: path, Key: resolver.KeyShiftCap, Value: resolver.Value(fmt.Sprintf("%.4g%%/min", 100*perMinute))},
	)
	if err != nil {
		return err
	}
	r.logf("shift %s %s → %s %.0f%% at most %.0f%%/min: in force on all daemons after %d ms",
		service, r.deployment.shiftFrom, r.deployment.shiftTo, 100*shiftShare, 100*perMinute, elapsed.Milliseconds())
	r.report.ShiftCapPerMinute = perMinute
	go r.runShiftWatch(ctx)
	return nil
}

// runShiftWatch records the share that has moved until the shift is complete.
func (r *demoRun) runShiftWatch(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		s := r.fleet.daemons[0].Status(ctx)
		if len(s.Shifts) > 0 {
			moved := s.Shifts[0].Have
			r.lock.Lock()
			r.report.recordShift(s.PlanMillis, moved)
			r.lock.Unlock()
			if moved >= shiftShare-0.001 {
				r.logf("shift complete after %.1f s", time.Since(began).Seconds())
				return
			}
		}
		time.Sleep(5 * pollInterval)
	}
}

// drainDomain drains a failure domain and measures the time until no request
// runs there.
func (r *demoRun) drainDomain(ctx context.Context) error {
	p := r.deployment.drainDomain
	began := time.Now()
	elapsed, err := r.fleet.operator().set(ctx, resolver.Edit{Path: p.String(), Key: resolver.KeyDrain, Value: "true"})
	if err != nil {
		return err
	}
	r.logf("drain %s: in force on all daemons after %d ms", p, elapsed.Milliseconds())
	// The domain counts as empty once no request has run for a second, because
	// late callers may still arrive.
	const quiet = time.Second
	last := time.Now()
	for time.Since(last) < quiet {
		if r.fleet.busyAt(resolver.SiteOf(p)) > 0 {
			last = time.Now()
		}
		if err := ctx.Err(); err != nil {
			s := r.fleet.daemons[0].Status(context.Background())
			return fmt.Errorf("drain of %s did not complete: %d requests still running, plan waits for %v", p,
				r.fleet.busyAt(resolver.SiteOf(p)), s.Holds)
		}
		time.Sleep(pollInterval)
	}
	r.report.Drain = last.Sub(began)
	r.logf("drain complete: no requests running after %.1f s", r.report.Drain.Seconds())
	return nil
}
