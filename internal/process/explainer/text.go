package explainer

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// timeLayout is the format of printed times, without the date.
const timeLayout = "15:04:05.000"

// Write prints the explanation in human-readable form.
func (e Explanation) Write(w io.Writer) {
	q := e.Request
	fmt.Fprintf(w, "%s %s: %s", q.Time.Format(timeLayout), q.Source, q.Outcome)
	if q.Reason != "" {
		fmt.Fprintf(w, ", %s", q.Reason)
	}
	fmt.Fprintf(w, " (status %d, %g ms, %d sent)\n", q.Status, q.ElapsedMillis, q.Attempts)
	printf := func(format string, args ...any) { fmt.Fprintf(w, "  "+format+"\n", args...) }
	if e.Cause != "" {
		printf("%s", e.Cause)
	}
	e.writeSuspect(printf)
	if q.Route != "" {
		printf("route %s of service %s, %s", q.Route, q.Service, q.Class)
	}
	if q.Organisation != "" {
		printf("organisation %s", q.Organisation)
	}
	e.writeTimes(printf)
	e.writeConfig(printf)
	e.writeUpstream(printf)
	if e.Store != nil {
		printf("the VM had lost the store (%s) %s before", e.Store.Kind, timeBefore(q, e.Store))
	}
	if e.Cut != nil {
		printf("the VM had reached no upstream for %s", timeBefore(q, e.Cut))
	}
	if q.Helper != "" {
		printf("handed over to %s", q.Helper)
	}
	for _, x := range e.Relayed {
		printf("%s: %s", x.Source, x.relayedText())
	}
	for _, c := range e.Others {
		printf("%d others at this upstream within %s: %s", c.Requests, othersWindow, c.Ended)
	}
}

// writeTimes writes the objective and the delays before the request was sent, if the log
// has them.
func (e Explanation) writeTimes(printf func(string, ...any)) {
	q := e.Request
	if q.Objective == 0 {
		return
	}
	text := fmt.Sprintf("objective %g ms", q.Objective)
	if q.PipelineWait > 0 {
		text += fmt.Sprintf(", waited %g ms behind others of its connection", q.PipelineWait)
	}
	if q.Attempts > 0 {
		text += fmt.Sprintf(", first sent after %g ms", q.SentAfter)
	}
	printf("%s", text)
}

func (e Explanation) writeConfig(printf func(string, ...any)) {
	q := e.Request
	switch {
	case q.Config == 0:
		printf("no configuration was known")
	case e.Config == nil:
		printf("configuration %d, in force from before the log", q.Config)
	default:
		printf("configuration %d, in force there for %s", q.Config, timeBefore(q, e.Config))
	}
	if q.ConfigLag > 0 {
		printf("a change was known there for %g ms that had not been read", q.ConfigLag)
	}
	if e.Newer != nil {
		printf("configuration %d was in force at %s for %s", e.Newer.Version, e.Newer.Source, timeBefore(q, e.Newer))
	}
}

func (e Explanation) writeUpstream(printf func(string, ...any)) {
	q := e.Request
	if q.Upstream == "" {
		return
	}
	printf("upstream %s at %s, %.3g running and waiting as reported, %d of them this VM's own", q.Upstream, q.Site, q.Load, q.OwnRequests)
	if q.Pace > 0 {
		printf("work took %.3g times as long as usual on its host; a response was expected after %g ms", q.Pace, q.Expected)
	}
	e.writePlacement(printf)
	if u := e.Upstream; u != nil {
		printf("last heard of it %s before: %s", timeBefore(q, u), u.upstreamText(q.Upstream))
	} else if u := e.Told; u != nil {
		printf("%s told of it %s before: %s", u.Source, timeBefore(q, u), u.upstreamText(q.Upstream))
	}
	if e.Left != nil {
		printf("%s knew %s before that it is %s", e.Left.Source, timeBefore(q, e.Left), e.Left.upstreamText(q.Upstream))
	}
}

// relayedText describes what became of a request that was handed over.
func (x *Line) relayedText() string {
	text := fmt.Sprintf("%s for %s, upstream %s", x.Outcome, x.From, x.Upstream)
	if x.Reason != "" {
		text += ", " + x.Reason
	}
	return text
}

// upstreamText describes the state of an upstream according to a line.
func (x *Line) upstreamText(id string) string {
	switch {
	case x.Message == msgUpstreamGone, slices.Contains(x.GoneUpstreams, id):
		return "gone"
	case x.reportsLeaving(id):
		return "leaving"
	case x.ColdMillis > 0:
		return fmt.Sprintf("taking work, cold for %g ms", x.ColdMillis)
	}
	return "taking work"
}

// timeBefore returns how long before the request q the line x was written.
func timeBefore(q Line, x *Line) time.Duration {
	return q.Time.Sub(x.Time).Round(time.Millisecond)
}
