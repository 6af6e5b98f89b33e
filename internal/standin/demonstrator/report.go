package demonstrator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// usageWindow is the window over which the slot usage is averaged.
	usageWindow = time.Second

	microsPerMilli = 1000

	// capTolerance allows for the delay between a step of the plan and its
	// observation.
	capTolerance = 0.02
)

type (
	// Report is the result of a demo.
	Report struct {
		Shape   string
		Seconds float64
		Classes []ClassReport
		// Use is the peak slot usage by region, as a mean over one second and
		// at any moment, as fractions of the region's slots.
		Use []RegionUse
		// Drain is the time from the command until no request ran in the domain.
		Drain time.Duration
		// ShiftCapPerMinute is the cap of the shift, ShiftFastest the highest
		// observed rate per minute.
		ShiftCapPerMinute float64
		ShiftFastest      float64
		ShiftMoved        float64
		Verdict           caller.Verdict
		// Shed counts requests that upstreams refused for lack of a free slot.
		Shed    int64
		Lookups uint64

		shiftSamples []shiftSample
	}

	// ClassReport holds the measurements of one class, with latencies in
	// milliseconds.
	ClassReport struct {
		Class    string
		Requests uint64
		Answered uint64
		NotRun   uint64
		Unknown  uint64
		P50      float64
		P90      float64
		P99      float64
		Max      float64
		Reasons  map[string]uint64 `json:",omitempty"`
	}

	// RegionUse is the peak slot usage of a region: Mean over usageWindow, Moment at any moment.
	RegionUse struct {
		Region string
		Mean   float64
		Moment float64
	}

	shiftSample struct {
		at    timekeeper.Millis
		moved float64
	}

	// usage samples the slot usage of each region.
	usage struct {
		fleet *fleet
		slots map[string]int

		lock   sync.Mutex
		recent map[string][]usageSample
		mean   map[string]float64
		peak   map[string]float64
	}

	usageSample struct {
		at       time.Time
		fraction float64
	}
)

// Violated reports whether any guarantee was violated.
func (r *Report) Violated() bool {
	return r.Verdict.Violated() || r.ShiftFastest > r.ShiftCapPerMinute*(1+capTolerance)
}

// recordShift records the moved share whenever it has changed; at is when the
// plan was made.
func (r *Report) recordShift(at timekeeper.Millis, moved float64) {
	if n := len(r.shiftSamples); n > 0 && r.shiftSamples[n-1].moved == moved {
		return
	}
	r.shiftSamples = append(r.shiftSamples, shiftSample{at, moved})
	r.ShiftMoved = moved
}

// maxShiftRate returns the highest rate of the shift per minute over any span of
// at least 2 s. The first step may use credit that accumulated before it, so a
// span that contains the step starts at the sample before the step.
func (r *Report) maxShiftRate() float64 {
	var highest float64
	for i, a := range r.shiftSamples {
		for _, b := range r.shiftSamples[i+1:] {
			if span := b.at - a.at; span >= 2*timekeeper.Second {
				highest = max(highest, (b.moved-a.moved)/span.Duration().Minutes())
			}
		}
	}
	return highest
}

func newUsage(f *fleet) *usage {
	u := &usage{
		fleet:  f,
		slots:  map[string]int{},
		recent: map[string][]usageSample{},
		mean:   map[string]float64{},
		peak:   map[string]float64{},
	}
	for _, s := range f.servers {
		u.slots[s.site.Region()] += s.Slots
	}
	return u
}

func (u *usage) loop(ctx context.Context) {
	timekeeper.Every(ctx, pollInterval, func() { u.sample(time.Now()) })
}

func (u *usage) sample(now time.Time) {
	busy := map[string]int64{}
	for _, s := range u.fleet.servers {
		busy[s.site.Region()] += s.Busy()
	}
	u.lock.Lock()
	defer u.lock.Unlock()
	for region, slots := range u.slots {
		fraction := float64(busy[region]) / float64(slots)
		u.peak[region] = max(u.peak[region], fraction)
		samples := append(u.recent[region], usageSample{now, fraction})
		for now.Sub(samples[0].at) > usageWindow {
			samples = samples[1:]
		}
		u.recent[region] = samples
		u.mean[region] = max(u.mean[region], meanOf(samples))
	}
}

func meanOf(samples []usageSample) float64 {
	var sum float64
	for _, p := range samples {
		sum += p.fraction
	}
	return sum / float64(len(samples))
}

// busyAt returns the number of requests that run at a site.
func (f *fleet) busyAt(site registrar.Site) int64 {
	var n int64
	for _, s := range f.servers {
		if s.site == site {
			n += s.Busy()
		}
	}
	return n
}

// finish completes the report.
func (r *demoRun) finish() {
	p := &r.report
	p.Shape = r.deployment.name
	p.Seconds = r.options.Length.Seconds()
	for _, a := range r.load.Accounts() {
		p.Classes = append(p.Classes, classReport(a))
	}
	slices.SortFunc(p.Classes, func(a, b ClassReport) int { return strings.Compare(a.Class, b.Class) })
	for _, region := range slices.Sorted(maps.Keys(r.usage.mean)) {
		p.Use = append(p.Use, RegionUse{region, r.usage.mean[region], r.usage.peak[region]})
	}
	for _, s := range r.fleet.servers {
		p.Shed += s.Counts().Shed
	}
	r.lock.Lock()
	p.ShiftFastest = p.maxShiftRate()
	r.lock.Unlock()
	p.Verdict = r.load.CheckJournals(r.fleet.journals())
}

func classReport(a caller.Account) ClassReport {
	at := func(q float64) float64 { return float64(a.Latency.ValueAtQuantile(q)) / microsPerMilli }
	return ClassReport{
		Class:    a.Class,
		Requests: a.Requests,
		Answered: a.Answered,
		NotRun:   a.NotRun,
		Unknown:  a.Unknown,
		P50:      at(50),
		P90:      at(90),
		P99:      at(99),
		Max:      float64(a.Latency.Max()) / microsPerMilli,
		Reasons:  a.Reasons,
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nclass\trequests\tanswered\tnot run\tunknown\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			c.Class, c.Requests, c.Answered, c.NotRun, c.Unknown, c.P50, c.P90, c.P99, c.Max)
	}
	t.Flush()
	for _, c := range r.Classes {
		for _, reason := range slices.Sorted(maps.Keys(c.Reasons)) {
			fmt.Fprintf(w, "  %s: %d × %s\n", c.Class, c.Reasons[reason], reason)
		}
	}
	fmt.Fprintln(w)
	for _, u := range r.Use {
		fmt.Fprintf(w, "peak slot usage in %s: %.0f%% over one second, %.0f%% momentary\n", u.Region, 100*u.Mean, 100*u.Moment)
	}
	fmt.Fprintf(w, "shift: %.1f%% moved, peak rate %.1f%%/min, cap %.1f%%/min\n",
		100*r.ShiftMoved, 100*r.ShiftFastest, 100*r.ShiftCapPerMinute)
	fmt.Fprintf(w, "drain: %.1f s\n", r.Drain.Seconds())
	v := r.Verdict
	fmt.Fprintf(w, "lost %d, doubled %d, run after \"not run\" %d, cut %d, wrong %d; shed by upstreams %d\n",
		v.Lost, v.Doubled, v.NotRunRan, v.Cut, v.Wrong, r.Shed)
}
