package leader

import (
	"context"
	"errors"

	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// summaryEvery is the time between two summaries while only the load
	// changes, summaryLatest that without any change.
	summaryEvery  = timekeeper.Second
	summaryLatest = 5 * timekeeper.Second
)

// summaryState is the summary written last.
type summaryState struct {
	Summary
	at      storer.Revision
	known   bool
	written timekeeper.Millis
}

// dutySummary writes what the region does: at once when a number in force
// changed, soon when the load did, and now and then in any case.
func (l *Leader) dutySummary(ctx context.Context, fence leaser.Fence, last *summaryState) {
	now := l.Clock.Now()
	next := Summary{Region: l.Region, Fence: fence, Sequence: last.Sequence + 1, AtMillis: l.Clock.WallNow()}
	l.members.summarize(&next)
	since := now - last.written
	if since < summaryEvery && sameNumbers(last.Summary, next) {
		return
	}
	if since < summaryLatest && sameNumbers(last.Summary, next) && sameLoad(last.Summary, next) {
		return
	}
	if !last.known && !l.readSummary(ctx, fence, last) {
		return
	}
	body, err := next.Encode()
	if err != nil {
		return
	}
	at, err := l.put(ctx, SummaryPrefix+l.Region, body, last.at)
	if err != nil {
		// Another revision, or nobody knows: it is read anew before the next.
		last.known = false
		return
	}
	*last = summaryState{Summary: next, at: at, known: true, written: now}
}

// readSummary finds the revision of the summary object. It reports false when it
// cannot, or when a later lead has written there.
func (l *Leader) readSummary(ctx context.Context, fence leaser.Fence, last *summaryState) bool {
	o, err := l.Store.Get(ctx, SummaryPrefix+l.Region)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false
	}
	if old, err := DecodeSummary(o.Body); err == nil && staleLead(fence, old.Fence) {
		return false
	}
	last.at = o.Revision
	last.known = true
	return true
}
