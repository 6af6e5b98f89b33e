package dispatcher

import (
	"math"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/request/placer"
)

// slowPace is the pace from which a report counts as one of a slow host.
const slowPace = 1.5

// placer returns a placer that uses the mechanisms that are switched on.
func (x *exchange) placer() placer.Placer {
	return placer.Placer{Without: x.d.Without, Timing: x.timing()}
}

// timing returns the times by which upstreams are compared, or the zero value if they are unknown
// or not used.
func (x *exchange) timing() placer.Timing {
	if x.d.Without.Has(switcher.ExpectedTimes) {
		return placer.Timing{}
	}
	t, ok := x.d.RunTimes.RunTimes(x.service, x.route.Name)
	if !ok {
		return placer.Timing{}
	}
	now := x.d.Clock.Now()
	return placer.Timing{
		Known: t.Known, First: t.First, Mean: t.Mean,
		Objective:     x.route.Objective,
		ObjectiveLeft: x.route.Objective - (now - x.arrivedAt),
		Left:          x.expiresAt - now,
	}
}

// recordExpected records what was expected of the chosen upstream.
func (x *exchange) recordExpected(s placer.State) {
	x.chosen = s
	x.decision.Pace, x.decision.Expected = 0, 0
	if t := x.timing(); s.Paced && t.Known > 0 {
		x.decision.Pace, x.decision.Expected = math.Round(s.Pace*100)/100, t.Response(s)
	}
}

// recordRun records the run time of a request that succeeded. Runs that began in a queue or went
// over another VM are left out, since only a part of their time is known.
func (x *exchange) recordRun() {
	s := x.chosen
	if x.helper != nil || s.RoundTrip == 0 || s.Reported+1 > float64(s.Slots) {
		return
	}
	ran := x.d.Clock.Now() - x.sentAt - s.RoundTrip
	p := x.decision.Placement
	known := p.Reason == assigner.AtHome || p.Former
	x.d.RunTimes.Record(x.service, x.route.Name, known, ran, s.Pace)
}

// measureReport counts the load reports of upstreams by what they say.
func (x *exchange) measureReport(r tracker.Report, read bool) {
	kind := "usual pace"
	switch {
	case !read:
		kind = "not read"
	case r.Pace == 0:
		kind = "no pace"
	case r.Pace >= slowPace:
		kind = "slow host"
	}
	x.d.Meter.Count("load_reports", measurer.Labels{Service: string(x.service), Kind: kind})
}
