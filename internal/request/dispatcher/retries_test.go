package dispatcher_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/matcher"
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
		Draw:   func() float64 { return 0.5 },
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
	is.True(l[0].Left < 1)
	l[0].Left = 0
	is.Equal(l[0], dispatcher.RetryUsage{Service: "ledger", Granted: 4, Refused: 1, Requests: 10, Retries: 4, Limits: limits})
	is.Equal(len(r.Report()), 0)
}

// TestReleasedRetryDecreasesNoCounter guards against counts below zero, by which a counter panics:
// a retry may be released in another report than it was granted in.
func TestReleasedRetryDecreasesNoCounter(t *testing.T) {
	is := is.New(t)
	r := &dispatcher.Retries{Since: -10_000, Limits: func() dispatcher.RetryLimits {
		return dispatcher.RetryLimits{Burst: 1, Window: 10_000}
	}}
	is.True(r.Acquire("ledger"))
	is.Equal(r.Report()[0].Granted, 1)
	r.Release("ledger")
	l := r.Report()
	is.Equal(len(l), 1)
	is.Equal(l[0].Granted, 0)
	is.Equal(l[0].Released, 1)
	is.True(r.Acquire("ledger"))
}

// TestUnsentRetryIsChargedOnce guards against a request that uses up the retry budget by attempts
// that reach no upstream.
func TestUnsentRetryIsChargedOnce(t *testing.T) {
	for i := range 12 {
		t.Run(fmt.Sprint("key", i), func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, matcher.Idempotent)
			s.burst = 1
			s.add(t, "refuses", refuses)
			s.add(t, "serves", succeeds)
			for _, id := range []string{"ended1", "ended2", "ended3"} {
				s.add(t, id, succeeds).Close()
			}
			p, _ := s.do(http.MethodGet, "id", func(q *http.Request) { q.Header.Set(fields.Key, fmt.Sprint(i)) })
			is.Equal(p.StatusCode, http.StatusOK)
		})
	}
}

func BenchmarkCountRequest(b *testing.B) {
	r := &dispatcher.Retries{Limits: func() dispatcher.RetryLimits {
		return dispatcher.RetryLimits{Ratio: 0.2, Burst: 2, Window: 10_000}
	}}
	for b.Loop() {
		r.CountRequest("ledger")
	}
}
