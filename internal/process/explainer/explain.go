package explainer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// othersWindow is how far before and after a request other requests at the same upstream
// are counted. A fault of an upstream affects its requests within about a second.
const othersWindow = time.Second

type (
	// Explanation is one log line about a request and what is known of why it ended so.
	Explanation struct {
		Request Line
		// Config is the line with which the VM put the request's configuration in
		// force, nil if the log does not reach back that far.
		Config *Line
		// Newer is the earliest line of any VM, not later than the request, that puts a
		// newer configuration in force, nil if there is none.
		Newer *Line
		// Upstream is the VM's latest line about the upstream and Told the latest of any
		// VM. Left is the earliest line of any VM that reports the upstream as leaving
		// or gone. VMs that are not the leader of their region log single upstreams only
		// if they leave.
		Upstream, Told, Left *Line
		// Store is the line that reports the store lost, nil if the VM had the store.
		Store *Line
		// Cut is the line that reports that the VM reaches no upstream, nil if it reached some.
		Cut *Line
		// Relayed are the lines of the VMs to which the request was handed over.
		Relayed []*Line
		// Others counts the other requests at the upstream within othersWindow by how
		// they ended.
		Others []Count
		// Evidence is what any VM had logged about the request's fingerprint.
		Evidence []*Line
		// Cause explains the reason in words.
		Cause string
	}

	// Count is the number of requests with the same outcome and reason.
	Count struct {
		Ended    string
		Requests int
	}
)

// causes explains each part of a reason.
var causes = []struct{ part, cause string }{
	{"other incarnation", "another incarnation answers at the address; this one has terminated"},
	{"no answer in time", "the upstream did not answer within the time of the route: see whether others at it were slow too"},
	{"upstream silent", "the connection was open, but nothing arrived over it: the upstream's VM has stalled or is cut off"},
	{"connection lost", "the upstream closed or reset the connection before it answered"},
	{"malformed answer", "what the upstream sent is not a valid response to this request"},
	{"answer of unknown origin", "the response does not identify the upstream: something else listens at its address"},
	{"answer broke off", "the upstream's response ended before it was complete"},
	{"upstream not reached", "no connection to the upstream could be opened"},
	{"no upstream reached", "neither this VM nor one that could help reached an upstream"},
	{"helper not reached", "the VM to which the request was to be handed over accepted no connection"},
	{"helper lost", "the connection to the VM to which the request was handed over was lost: it may have run"},
	{"helper busy", "the VM to which the request was to be handed over had too many requests of others"},
	{"helper reaches no upstream", "the VM to which the request was to be handed over reaches no upstream either"},
	{"helper stopping", "the VM to which the request was to be handed over was about to stop"},
	{"not a member", "the VM to which the request was to be handed over did not know this one"},
	{"not allowed by the helper's configuration", "the configuration in force at the VM to which the request was to be handed over does not allow it"},
	{"not allowed in the helper's region", "route or organisation do not allow the region of the VM to which the request was to be handed over"},
	{"tried", "an attempt at the key's upstream had failed to connect"},
	{"upstream failed", "the upstream reported a failure"},
	{"refused by upstream", "the upstream reported that it did not run the request"},
	{"no configuration", "the VM had just started and knew no configuration yet"},
	{"no route yet", "no route of the configuration in force there matches, and a change was known of that had not been read"},
	{"head too large yet", "longer than the configuration in force there allows, and a change was known of that had not been read"},
	{"body too large yet", "longer than the configuration in force there allows, and a change was known of that had not been read"},
	{"no key yet", "the route needed an API key by the configuration in force there, and a change was known of that had not been read"},
	{"several keys yet", "the request carried more than one API key, and a change was known of that had not been read"},
	{"malformed key yet", "the request carried a malformed API key, and a change was known of that had not been read"},
	{"unknown key yet", "no organisation of the configuration in force there held the key, and a change was known of that had not been read"},
	{"no region allowed yet", "route and organisation have no region in common by the configuration in force there, and a change was known of that had not been read"},
	{"no route", "no route of the configuration in force there matches the host and path"},
	{"no key", "the route needs an API key, and the request carried none"},
	{"several keys", "the request carried more than one API key, so that none was accepted"},
	{"malformed key", "the request carried a malformed API key: too long, or with spaces or commas"},
	{"keys unconfirmed", "the VM could not confirm for too long whether keys were revoked, and the platform's settings have it refuse requests then"},
	{"over its organisation's limit", "the organisation had used its limit over all VMs; what it sends beyond is refused until a token is there"},
	{"use of its organisation's limit unknown", "no limit allocator responded, and this VM's own part was used up: another VM may know"},
	{"unknown key", "no organisation of the configuration in force there holds the request's key: it was never valid, or was taken away"},
	{"no region allowed", "route and organisation have no region in common"},
	{"line", "too many requests waited at the key's upstream"},
	{"cold", "the key's upstream is cold and its warm-up rate was used up"},
	{"failing", "too many recent requests at the key's upstream failed"},
	{"late", "no upstream was expected to answer before the request would have been given up: rejected at once"},
	{"slow", "the key's upstream was expected to answer past the objective, and another one within it"},
	{"down", "the key's upstream could not be reached recently"},
	{"gone", "no upstream of the service accepts requests: see which are leaving or evacuated"},
	{"retry budget used up", "no more retries were allowed at that time"},
	{"quarantined", "three upstreams in a row ended under this request: it is kept from upstreams until it is tried again or an operator lifts it"},
	{"suspected", "more than one upstream in a row ended under this request: it is not retried unless its caller sends it again"},
	{"attempts used up", "the route allows no more attempts"},
	{"may have run", "a request of this kind must not be sent again once it may have run"},
	{"no time left", "the time left was too short for another attempt"},
	{"stopping", "the VM was about to stop before the request could complete"},
	{"caller left", "the caller closed the connection"},
}

// Explain returns an Explanation for each log line about the request with the given ID, by
// time.
func (l *Log) Explain(id string) []Explanation {
	var out []Explanation
	for i, x := range l.lines {
		if x.Message == msgRequest && x.ID == id {
			out = append(out, l.explain(i))
		}
	}
	slices.SortStableFunc(out, func(a, b Explanation) int { return a.Request.Time.Compare(b.Request.Time) })
	return out
}

// explain gathers what was known when the request of line n ended.
func (l *Log) explain(n int) Explanation {
	q := l.lines[n]
	e := Explanation{Request: q, Cause: causeOf(q.Reason)}
	for i := range l.lines {
		x := &l.lines[i]
		if x.Source == q.Source && i < n {
			e.addOwnLine(x)
		}
		if !x.Time.After(q.Time) {
			e.addAnyLine(x)
		}
	}
	e.Others = l.countOthers(n)
	e.Evidence = l.evidence(n)
	e.Relayed = l.relayed(q.ID)
	return e
}

// relayed returns the lines of VMs to which a request was handed over.
func (l *Log) relayed(id string) (list []*Line) {
	for i := range l.lines {
		if x := &l.lines[i]; x.Message == msgRelayed && x.ID == id {
			list = append(list, x)
		}
	}
	return list
}

// addOwnLine evaluates an earlier line of the request's VM.
func (e *Explanation) addOwnLine(x *Line) {
	switch {
	case x.Message == msgConfig && x.Version == e.Request.Config:
		e.Config = x
	case x.concernsUpstream(e.Request.Upstream):
		e.Upstream = x
	case x.Message == msgStoreLost:
		e.Store = x
	case x.Message == msgStoreRegained:
		e.Store = nil
	case x.Message == msgCut:
		e.Cut = x
	case x.Message == msgReached:
		e.Cut = nil
	}
}

// addAnyLine evaluates a line of any VM that is not later than the request.
func (e *Explanation) addAnyLine(x *Line) {
	switch {
	case x.Message == msgConfig && x.Version > e.Request.Config && isEarlier(x, e.Newer):
		e.Newer = x
		return
	case !x.concernsUpstream(e.Request.Upstream):
		return
	case x.reportsLeaving(e.Request.Upstream) && isEarlier(x, e.Left):
		e.Left = x
	}
	if e.Told == nil || x.Time.After(e.Told.Time) {
		e.Told = x
	}
}

func (x *Line) concernsUpstream(id string) bool {
	switch x.Message {
	case msgUpstream, msgUpstreamGone:
		return id != "" && x.Upstream == id
	case msgUpstreams:
		return x.reportsLeaving(id)
	}
	return false
}

// reportsLeaving reports whether the line says that an upstream is leaving or gone.
func (x *Line) reportsLeaving(id string) bool {
	switch x.Message {
	case msgUpstream:
		return x.Leaving
	case msgUpstreams:
		return slices.Contains(x.LeavingUpstreams, id) || slices.Contains(x.GoneUpstreams, id)
	}
	return x.Message == msgUpstreamGone
}

func isEarlier(x, than *Line) bool {
	return than == nil || x.Time.Before(than.Time)
}

// countOthers counts the other requests at the upstream of line n within othersWindow, most
// frequent first.
func (l *Log) countOthers(n int) []Count {
	q := l.lines[n]
	counts := map[string]int{}
	for i, x := range l.lines {
		if i == n || q.Upstream == "" || x.Message != msgRequest || x.Upstream != q.Upstream || x.Time.Sub(q.Time).Abs() > othersWindow {
			continue
		}
		ended := x.Outcome
		if x.Reason != "" {
			ended += ", " + x.Reason
		}
		counts[ended]++
	}
	var out []Count
	for e, k := range counts {
		out = append(out, Count{Ended: e, Requests: k})
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Ended, b.Ended))
	})
	return out
}

// causeOf explains a reason, which may have several parts.
func causeOf(reason string) string {
	var out []string
	for _, part := range strings.Split(reason, ", ") {
		for _, c := range causes {
			if c.part == part {
				out = append(out, c.cause)
			}
		}
	}
	return strings.Join(out, "; ")
}
