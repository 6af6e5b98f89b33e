package explainer

import (
	"fmt"
	"slices"
	"time"
)

// maxEvidence is the maximum number of lines shown about a request that crashed its
// upstreams. The latest are shown.
const maxEvidence = 8

// evidence returns the lines of any VM about the fingerprint of the request of line n that
// are not later than it, oldest first.
func (l *Log) evidence(n int) (out []*Line) {
	q := l.lines[n]
	if q.Fingerprint == "" {
		return nil
	}
	for i := range l.lines {
		x := &l.lines[i]
		if x.Fingerprint == q.Fingerprint && !x.Time.After(q.Time) && x.concernsSuspect() {
			out = append(out, x)
		}
	}
	slices.SortStableFunc(out, func(a, b *Line) int { return a.Time.Compare(b.Time) })
	return out[max(len(out)-maxEvidence, 0):]
}

func (x *Line) concernsSuspect() bool {
	switch x.Message {
	case msgConnectionLost, msgQuarantined, msgReleased:
		return true
	}
	return false
}

// writeSuspect writes what was known of the request as one that crashes its upstreams.
func (e Explanation) writeSuspect(printf func(string, ...any)) {
	q := e.Request
	if q.Crashes > 0 {
		printf("%d upstreams in a row had ended under this request (%s), the last known there %s before", q.Crashes, q.Fingerprint,
			(time.Duration(q.LastCrashMillis) * time.Millisecond).Round(time.Millisecond))
	}
	for _, x := range e.Evidence {
		printf("%s", x.evidenceText(q))
	}
}

// evidenceText describes what a line says about the request q.
func (x *Line) evidenceText(q Line) string {
	switch x.Message {
	case msgQuarantined:
		return fmt.Sprintf("%s had it in quarantine from %s before on", x.Source, timeBefore(q, x))
	case msgReleased:
		return fmt.Sprintf("%s let it out of quarantine %s before", x.Source, timeBefore(q, x))
	}
	return fmt.Sprintf("%s lost its connection to %s under it %s before: %s", x.Source, x.Upstream, timeBefore(q, x), upstreamStateTexts[x.UpstreamState])
}

// upstreamStateTexts describes the states of upstreams that closed a connection.
var upstreamStateTexts = map[string]string{
	"ended":       "the upstream had ended",
	"alive":       "the upstream accepted a new connection",
	"unreachable": "the upstream could not be reached then",
	"leaving":     "the upstream was known to leave",
}
