package explainer

import (
	"fmt"
	"slices"
	"time"
)

// mostEvidence is how many lines about a request that ended its upstreams are shown, the
// latest ones.
const mostEvidence = 8

// evidence returns what any VM had written before the request of line n about that request, by
// its fingerprint, oldest first.
func (l *Log) evidence(n int) (out []*Line) {
	q := l.lines[n]
	if q.Fingerprint == "" {
		return nil
	}
	for i := range l.lines {
		x := &l.lines[i]
		if x.Fingerprint == q.Fingerprint && !x.Time.After(q.Time) && x.tellsOfSuspect() {
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b *Line) int { return a.Time.Compare(b.Time) })
	return out[max(len(out)-mostEvidence, 0):]
}

func (x *Line) tellsOfSuspect() bool {
	switch x.Message {
	case msgLost, msgQuarantined, msgReleased:
		return true
	}
	return false
}

// writeSuspect says what was known of the request as one that ends its upstreams.
func (t Try) writeSuspect(say func(string, ...any)) {
	q := t.Request
	if q.Crashes > 0 {
		say("%d upstreams in a row had ended under this request (%s), the last known there %s before", q.Crashes, q.Fingerprint,
			(time.Duration(q.Seen) * time.Millisecond).Round(time.Millisecond))
	}
	for _, x := range t.Evidence {
		say("%s", x.evidence(q))
	}
}

// evidence says what a line tells of the request.
func (x *Line) evidence(q Line) string {
	switch x.Message {
	case msgQuarantined:
		return fmt.Sprintf("%s had it in quarantine from %s before on", x.Source, ago(q, x))
	case msgReleased:
		return fmt.Sprintf("%s let it out of quarantine %s before", x.Source, ago(q, x))
	}
	return fmt.Sprintf("%s lost its connection to %s under it %s before: %s", x.Source, x.Upstream, ago(q, x), endings[x.Ending])
}

// endings says what became of upstreams that closed a connection.
var endings = map[string]string{
	"ended":       "the upstream had ended",
	"alive":       "the upstream took a new connection",
	"unreachable": "nothing was heard of the upstream then",
	"leaving":     "the upstream was known to leave",
}
