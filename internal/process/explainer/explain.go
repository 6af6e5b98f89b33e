package explainer

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// around is how far in time other requests at the same upstream are counted: what
// befalls an upstream befalls its requests within about a second.
const around = time.Second

type (
	// Try is one request of a caller that reached a VM, and what had decided it.
	Try struct {
		Request Line
		// Config is when the configuration that decided was put in force there,
		// nil if the log does not reach back so far.
		Config *Line
		// Newer is the first VM's line of a newer configuration before the
		// request, nil if no VM had one.
		Newer *Line
		// Upstream is what the VM had last heard of the upstream, Told what any VM had,
		// and Left the first line of any VM before the request that it leaves or is gone.
		// VMs that do not lead their region tell only of what leaves.
		Upstream, Told, Left *Line
		// Store is that the VM had lost the store and not regained it.
		Store *Line
		// Others counts how other requests ended at the upstream at that time.
		Others []Count
		// Evidence is what any VM had written about the request by its fingerprint.
		Evidence []*Line
		// Cause says in words what the reason means.
		Cause string
	}

	// Count is how many requests ended in one way.
	Count struct {
		Ended    string
		Requests int
	}
)

// causes says what the parts of a reason mean.
var causes = []struct{ part, cause string }{
	{"other incarnation", "another upstream answers at the address; this one has ended"},
	{"no answer in time", "the upstream did not answer within the time of the route: see whether others at it were slow too"},
	{"upstream silent", "the connection stood, and nothing came over it: the upstream's VM stands still or is cut off"},
	{"connection lost", "the upstream closed or reset the connection before it answered"},
	{"malformed answer", "what the upstream sent is no answer to this request"},
	{"answer of unknown origin", "the answer does not carry the upstream's own mark: something else listens at its address"},
	{"answer broke off", "the upstream's answer ended before it was whole"},
	{"upstream not reached", "no connection to the upstream could be opened"},
	{"upstream failed", "the upstream answered that it failed"},
	{"refused by upstream", "the upstream said that it did not run the request"},
	{"no configuration", "the VM had just started and knew no configuration yet"},
	{"no route yet", "no route of the configuration in force there matches, and a change was known of that had not been read"},
	{"head too large yet", "longer than the configuration in force there allows, and a change was known of that had not been read"},
	{"body too large yet", "longer than the configuration in force there allows, and a change was known of that had not been read"},
	{"no key yet", "the route needed an API key by the configuration in force there, and a change was known of that had not been read"},
	{"several keys yet", "the request carried more than one API key, and a change was known of that had not been read"},
	{"malformed key yet", "what the request carried can't be an API key, and a change was known of that had not been read"},
	{"unknown key yet", "no organisation of the configuration in force there held the key, and a change was known of that had not been read"},
	{"no region allowed yet", "route and organisation have no region in common by the configuration in force there, and a change was known of that had not been read"},
	{"no route", "no route of the configuration in force there matches the host and path"},
	{"no key", "the route needs an API key, and the request carried none"},
	{"several keys", "the request carried more than one API key: which of them counts is not guessed"},
	{"malformed key", "what the request carried can't be an API key: too long, or with spaces or commas"},
	{"keys unconfirmed", "the VM had not heard for too long whether keys were taken away, and the platform has it refuse then"},
	{"over its organisation's limit", "the organisation had used its limit over all VMs; what it sends beyond is refused until a token is there"},
	{"use of its organisation's limit unknown", "no VM that counts for limits answered, and this VM's own part was used: another VM may know"},
	{"unknown key", "no organisation of the configuration in force there holds the request's key: it was never valid, or was taken away"},
	{"no region allowed", "route and organisation have no region in common"},
	{"line", "too many requests waited at the key's upstream"},
	{"cold", "the key's upstream is cold and its rate was used up"},
	{"failing", "the key's upstream failed too many of the requests before"},
	{"down", "the key's upstream was not reached lately"},
	{"gone", "no upstream of the service takes work: see what leaves and what is evacuated"},
	{"retry budget used up", "no more repeats were allowed at that time"},
	{"quarantined", "three upstreams in a row ended under this request: it is kept from upstreams until it is tried again or an operator lifts it"},
	{"suspected", "more than one upstream in a row ended under this request: it is not sent again unless its caller comes back"},
	{"attempts used up", "the route allows no more attempts"},
	{"may have run", "a request of this kind must not be sent again once it may have run"},
	{"no time left", "the rest of its time was too short for another sending"},
	{"stopping", "the VM was to end before the request could"},
	{"caller left", "the caller closed the connection"},
}

// Explain returns what is known of a request, a Try for each line about it.
func (l *Log) Explain(id string) []Try {
	var out []Try
	for i, x := range l.lines {
		if x.Message == msgRequest && x.ID == id {
			out = append(out, l.explain(i))
		}
	}
	slices.SortStableFunc(out, func(a, b Try) int { return a.Request.Time.Compare(b.Request.Time) })
	return out
}

// explain gathers what was known when the request of line n ended.
func (l *Log) explain(n int) Try {
	q := l.lines[n]
	t := Try{Request: q, Cause: causeOf(q.Reason)}
	for i := range l.lines {
		x := &l.lines[i]
		if x.Source == q.Source && i < n {
			t.noteOwn(x)
		}
		if !x.Time.After(q.Time) {
			t.noteAny(x)
		}
	}
	t.Others = l.others(n)
	t.Evidence = l.evidence(n)
	return t
}

// noteOwn takes in an earlier line of the request's VM.
func (t *Try) noteOwn(x *Line) {
	switch {
	case x.Message == msgConfig && x.Version == t.Request.Config:
		t.Config = x
	case x.aboutUpstream(t.Request.Upstream):
		t.Upstream = x
	case x.Message == msgStoreLost:
		t.Store = x
	case x.Message == msgStoreRegained:
		t.Store = nil
	}
}

// noteAny takes in a line of any VM that is not later than the request.
func (t *Try) noteAny(x *Line) {
	switch {
	case x.Message == msgConfig && x.Version > t.Request.Config && earlier(x, t.Newer):
		t.Newer = x
		return
	case !x.aboutUpstream(t.Request.Upstream):
		return
	case x.leaves(t.Request.Upstream) && earlier(x, t.Left):
		t.Left = x
	}
	if t.Told == nil || x.Time.After(t.Told.Time) {
		t.Told = x
	}
}

func (x *Line) aboutUpstream(id string) bool {
	switch x.Message {
	case msgUpstream, msgUpstreamGone:
		return id != "" && x.Upstream == id
	case msgUpstreams:
		return x.leaves(id)
	}
	return false
}

// leaves tells whether the line says that an upstream leaves or is gone.
func (x *Line) leaves(id string) bool {
	switch x.Message {
	case msgUpstream:
		return x.Leaving
	case msgUpstreams:
		return slices.Contains(x.LeavingUpstreams, id) || slices.Contains(x.GoneUpstreams, id)
	}
	return x.Message == msgUpstreamGone
}

func earlier(x, than *Line) bool {
	return than == nil || x.Time.Before(than.Time)
}

// others counts the other requests at the upstream of line n around its time.
func (l *Log) others(n int) []Count {
	q := l.lines[n]
	counts := map[string]int{}
	for i, x := range l.lines {
		if i == n || q.Upstream == "" || x.Message != msgRequest || x.Upstream != q.Upstream || x.Time.Sub(q.Time).Abs() > around {
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

// causeOf says what a reason means, each of its parts in turn.
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
