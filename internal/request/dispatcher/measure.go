package dispatcher

import (
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/assigner"
)

// noRouteBehind is the reason under which requests without a route are counted while a
// change is known of and not read.
const noRouteBehind = noRoute + ", change not read"

func (x *exchange) labels(kind string) measurer.Labels {
	return measurer.Labels{Service: x.decision.Service, Class: x.decision.Class, Kind: kind}
}

// reasonKind is the reason under which the request is counted. Requests without a route are
// told apart by whether a change was known of and not read: they may have one that this
// process has yet to learn.
func (e *Decision) reasonKind() string {
	if e.Reason == noRoute && e.Behind > 0 {
		return noRouteBehind
	}
	return e.Reason
}

// measure counts how a request ended.
func (d *Dispatcher) measure(e *Decision) {
	l := measurer.Labels{Service: e.Service, Class: e.Class, Kind: e.Outcome}
	d.Meter.Observe("request_seconds", l, e.Took.Duration())
	if e.SentAfter >= 0 {
		d.Meter.Observe("first_send_seconds", l, e.SentAfter.Duration())
	}
	if e.Reason != "" {
		l.Kind = e.reasonKind()
		d.Meter.Count("request_reasons", l)
	}
	d.measurePlacement(e)
}

// measurePlacement counts why a request's upstream was the choice.
func (d *Dispatcher) measurePlacement(e *Decision) {
	if e.Placement.Reason == assigner.NotPlaced {
		return
	}
	d.Meter.Count("placements", measurer.Labels{Service: e.Service, Class: e.Class, Kind: e.Placement.Kind()})
}
