package dispatcher

import (
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/assigner"
)

func (x *exchange) labels(kind string) measurer.Labels {
	return measurer.Labels{Service: x.decision.Service, Class: x.decision.Class, Kind: kind}
}

// measure counts how a request ended.
func (d *Dispatcher) measure(e *Decision) {
	l := measurer.Labels{Service: e.Service, Class: e.Class, Kind: e.Outcome}
	d.Meter.Observe("request_seconds", l, e.Took.Duration())
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

// measureOrganisation counts how requests of an organisation ended. The first ones that send
// requests have metrics of their own, so that their number stays bounded.
func (d *Dispatcher) measureOrganisation(e *Decision) {
	if e.Organisation == "" {
		return
	}
	l := measurer.Labels{Class: d.organisations.label(e.Organisation), Kind: e.Outcome}
	d.Meter.Observe("organisation_seconds", l, e.Took.Duration())
}

// measurePlacement counts why a request's upstream was the choice.
func (d *Dispatcher) measurePlacement(e *Decision) {
	if e.Placement.Reason == assigner.NotPlaced {
		return
	}
	d.Meter.Count("placements", measurer.Labels{Service: e.Service, Class: e.Class, Kind: e.Placement.Kind()})
}
