package dispatcher_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/limiter"
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// newHarnessWithLimit returns a harness with one organisation that may send 10 requests at
// once and then one every 100 s, and one without a limit.
func newHarnessWithLimit(t *testing.T, kind matcher.Kind) *harness {
	o := keyOf("a", "k")
	o.Limit = authenticator.Limit{PerSecond: 0.01, Burst: 10}
	s := newHarnessWithKeys(t, kind, o, keyOf("free", "f"))
	now := timekeeper.Hour
	s.Limits = limiter.New(limiter.Options{
		Tolerance:    func() limiter.Tolerance { return limiter.Tolerance{Window: 5000} },
		FleetView:    func() limiter.FleetView { return limiter.FleetView{Known: 1, Reachable: 1, IsAllocator: true} },
		Organisation: func(h hasher.Hash) *authenticator.Organisation { return s.Config().Organisations.ByHash(h) },
		Send:         func(limiter.Envelope) {},
		Clock:        timekeeper.Clock{Monotonic: func() timekeeper.Millis { return now }},
	})
	s.Limits.Observe()
	now += timekeeper.Hour
	return s
}

// TestOverLimit sends more requests than an organisation may. The excess is refused at once
// with a Retry-After time; other organisations are served.
func TestOverLimit(t *testing.T) {
	is := is.New(t)
	s := newHarnessWithLimit(t, matcher.Idempotent)
	s.add(t, "u", succeeds)
	last := 0.0
	for i := range 13 {
		id := fmt.Sprint("a", i)
		p, _ := s.do(http.MethodGet, id, withKey("k"))
		if i < 10 {
			is.Equal(p.StatusCode, http.StatusOK)
			continue
		}
		is.Equal(p.StatusCode, http.StatusTooManyRequests)
		is.Equal(s.ran(id), 0)
		after, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after >= last)
		last = after
	}
	p, _ := s.do(http.MethodGet, "f", withKey("f"))
	is.Equal(p.StatusCode, http.StatusOK)
}

// TestTokenOfRequestNotRunIsReturned has an upstream refuse requests, which uses up no tokens.
// Requests that may have run do.
func TestTokenOfRequestNotRunIsReturned(t *testing.T) {
	tests := []struct {
		name  string
		kind  matcher.Kind
		serve http.HandlerFunc
		// served is how many of 10 requests are within the limit after 20 others.
		served int
	}{
		{"refused", matcher.Once, refuses, 10},
		{"lost", matcher.Once, abortsConnection, 0},
		{"failed", matcher.Once, fails, 0},
		{"sent twice", matcher.Idempotent, abortsConnection, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newHarnessWithLimit(t, tt.kind)
			var healthy atomic.Bool
			s.add(t, "u", func(w http.ResponseWriter, r *http.Request) {
				if !healthy.Load() {
					tt.serve(w, r)
					return
				}
				succeeds(w, r)
			})
			for i := range 20 {
				s.do(http.MethodPost, fmt.Sprint("before", i), withKey("k"))
			}
			healthy.Store(true)
			within := 0
			for i := range 10 {
				if p, _ := s.do(http.MethodPost, fmt.Sprint("after", i), withKey("k")); p.StatusCode != http.StatusTooManyRequests {
					within++
				}
			}
			is.Equal(within, tt.served)
		})
	}
}
