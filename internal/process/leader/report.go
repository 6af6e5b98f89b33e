package leader

import (
	"context"
	"errors"

	"github.com/gullvale/gullvale/pkg/leaser"
	"github.com/gullvale/gullvale/pkg/storer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// minSummaryInterval is the time between two summaries while only the load changes,
	// maxSummaryInterval the time between two summaries without any change.
	minSummaryInterval = timekeeper.Second
	maxSummaryInterval = 5 * timekeeper.Second
)

// summaryState is the last summary written. revision is that of the object and is
// valid only if known is set.
type summaryState struct {
	Summary
	revision  storer.Revision
	known     bool
	writtenAt timekeeper.Millis
}

// updateSummary writes the region's summary: at once when a number in force changed,
// after minSummaryInterval when the load changed, and after maxSummaryInterval in any case.
func (l *Leader) updateSummary(ctx context.Context, fence leaser.Fence, last *summaryState) {
	now := l.Clock.Now()
	next := Summary{Region: l.Region, Fence: fence, Sequence: last.Sequence + 1, AtMillis: l.Clock.WallNow()}
	l.members.summarize(&next)
	if last.revision.Era() != l.Store.Era() {
		// The store has returned from an older copy.
		last.known, last.writtenAt = false, now-maxSummaryInterval
	}
	since := now - last.writtenAt
	if since < minSummaryInterval && sameNumbers(last.Summary, next) {
		return
	}
	if since < maxSummaryInterval && sameNumbers(last.Summary, next) && sameLoad(last.Summary, next) {
		return
	}
	if !last.known && !l.readSummary(ctx, fence, last) {
		return
	}
	body, err := next.Encode()
	if err != nil {
		return
	}
	revision, err := l.put(ctx, SummaryPrefix+l.Region, body, last.revision)
	if err != nil {
		// Either the revision differs or the outcome is unknown. The summary is read
		// again before the next write.
		last.known = false
		return
	}
	*last = summaryState{Summary: next, revision: revision, known: true, writtenAt: now}
}

// readSummary reads the revision of the summary object. It reports false if the read
// fails or if a later leader has written the object.
func (l *Leader) readSummary(ctx context.Context, fence leaser.Fence, last *summaryState) bool {
	o, err := l.Store.Get(ctx, SummaryPrefix+l.Region)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return false
	}
	if old, err := DecodeSummary(o.Body); err == nil && staleFence(fence, old.Fence) {
		return false
	}
	last.revision = o.Revision
	if err != nil {
		last.revision = storer.RevisionAt(l.Store.Era(), 0)
	}
	last.known = true
	return true
}
