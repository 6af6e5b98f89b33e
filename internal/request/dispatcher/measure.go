package dispatcher

import (
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/assigner"
)

func (x *exchange) labels(kind string) measurer.Labels {
	return measurer.Labels{Service: x.decision.Service, Class: x.decision.Class, Kind: kind}
}

// measure records the metrics of a finished request.
func (d *Dispatcher) measure(e *Decision) {
	l := measurer.Labels{Service: e.Service, Class: e.Class, Kind: e.Outcome}
	d.Meter.Observe("request_seconds", l, e.Elapsed.Duration())
	if e.SentAfter >= 0 {
		d.Meter.Observe("first_send_seconds", l, e.SentAfter.Duration())
	}
	if e.Reason != "" {
		l.Kind = e.Reason
		d.Meter.Count("request_reasons", l)
	}
	d.measureOrganisation(e)
	d.measurePlacement(e)
}

// measureOrganisation records the metrics of the request's organisation. Only the first
// organisations seen have a label of their own, so that the number of series is bounded.
func (d *Dispatcher) measureOrganisation(e *Decision) {
	if e.Organisation == "" {
		return
	}
	l := measurer.Labels{Class: d.organisations.label(e.Organisation), Kind: e.Outcome}
	d.Meter.Observe("organisation_seconds", l, e.Elapsed.Duration())
}

// measurePlacement counts requests by the reason for their placement.
func (d *Dispatcher) measurePlacement(e *Decision) {
	if e.Placement.Reason == assigner.NotPlaced {
		return
	}
	d.Meter.Count("placements", measurer.Labels{Service: e.Service, Class: e.Class, Kind: e.Placement.Kind()})
}
