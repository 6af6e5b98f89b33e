package dispatcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestRetryReport checks that a report counts what was granted and refused since the last one, and
// what the window holds.
func TestRetryReport(t *testing.T) {
	is := is.New(t)
	now := timekeeper.Millis(0)
	limits := dispatcher.RetryLimits{Ratio: 0.5, Window: 10_000}
	r := &dispatcher.Retries{
		Limits: func() dispatcher.RetryLimits { return limits },
		Clock:  timekeeper.Clock{Monotonic: func() timekeeper.Millis { return now }},
	}
	now = 20_000
	is.Equal(len(r.Report()), 0)
	for range 10 {
		r.CountRequest("ledger")
	}
	r.CountRequest("menu")
	is.True(r.Acquire("ledger"))
	now += 1000
	for r.Acquire("ledger") {
	}
	l := r.Report()
	is.Equal(len(l), 1)
	is.Equal(l[0], dispatcher.RetryUsage{Service: "ledger", Granted: 4, Refused: 1, Requests: 10, Retries: 4, Limits: limits})
	is.Equal(len(r.Report()), 0)
}
