package explainer

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// clockLayout is how times are printed: the day is the reader's own.
const clockLayout = "15:04:05.000"

// Write prints the try for people.
func (t Try) Write(w io.Writer) {
	q := t.Request
	fmt.Fprintf(w, "%s %s: %s", q.Time.Format(clockLayout), q.Source, q.Outcome)
	if q.Reason != "" {
		fmt.Fprintf(w, ", %s", q.Reason)
	}
	fmt.Fprintf(w, " (status %d, %g ms, %d sent)\n", q.Status, q.Millis, q.Tries)
	say := func(format string, args ...any) { fmt.Fprintf(w, "  "+format+"\n", args...) }
	if t.Cause != "" {
		say("%s", t.Cause)
	}
	t.writeSuspect(say)
	if q.Route != "" {
		say("route %s of service %s, %s", q.Route, q.Service, q.Class)
	}
	if q.Organisation != "" {
		say("organisation %s", q.Organisation)
	}
	t.writeTimes(say)
	t.writeConfig(say)
	t.writeUpstream(say)
	if t.Store != nil {
		say("the VM had lost the store (%s) %s before", t.Store.Kind, ago(q, t.Store))
	}
	for _, c := range t.Others {
		say("%d others at this upstream within %s: %s", c.Requests, around, c.Ended)
	}
}

// writeTimes says where the request was before it was sent, in logs that tell.
func (t Try) writeTimes(say func(string, ...any)) {
	q := t.Request
	if q.Objective == 0 {
		return
	}
	text := fmt.Sprintf("objective %g ms", q.Objective)
	if q.Waited > 0 {
		text += fmt.Sprintf(", waited %g ms behind others of its connection", q.Waited)
	}
	if q.Tries > 0 {
		text += fmt.Sprintf(", first sent after %g ms", q.SentAfter)
	}
	say("%s", text)
}

func (t Try) writeConfig(say func(string, ...any)) {
	q := t.Request
	switch {
	case q.Config == 0:
		say("no configuration was known")
	case t.Config == nil:
		say("configuration %d, in force from before the log", q.Config)
	default:
		say("configuration %d, in force there for %s", q.Config, ago(q, t.Config))
	}
	if q.Behind > 0 {
		say("a change was known there for %g ms that had not been read", q.Behind)
	}
	if t.Newer != nil {
		say("configuration %d was in force at %s for %s", t.Newer.Version, t.Newer.Source, ago(q, t.Newer))
	}
}

func (t Try) writeUpstream(say func(string, ...any)) {
	q := t.Request
	if q.Upstream == "" {
		return
	}
	say("upstream %s at %s, %.3g running and waiting as reported, %d of them this VM's own", q.Upstream, q.Site, q.Load, q.Own)
	t.writePlacement(say)
	if u := t.Upstream; u != nil {
		say("last heard of it %s before: %s", ago(q, u), u.state(q.Upstream))
	} else if u := t.Told; u != nil {
		say("%s told of it %s before: %s", u.Source, ago(q, u), u.state(q.Upstream))
	}
	if t.Left != nil {
		say("%s knew %s before that it is %s", t.Left.Source, ago(q, t.Left), t.Left.state(q.Upstream))
	}
}

// state says what a line tells of an upstream.
func (x *Line) state(id string) string {
	switch {
	case x.Message == msgUpstreamGone, slices.Contains(x.GoneUpstreams, id):
		return "gone"
	case x.leaves(id):
		return "leaving"
	case x.ColdFor > 0:
		return fmt.Sprintf("taking work, cold for %g ms", x.ColdFor)
	}
	return "taking work"
}

// ago is the time from an earlier line to the request.
func ago(q Line, x *Line) time.Duration {
	return q.Time.Sub(x.Time).Round(time.Millisecond)
}
