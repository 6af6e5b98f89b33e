package dispatcher_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestMechanismsSwitchedOff checks the effect of switching off each mechanism: with is the
// count with the mechanism on, off the count with it switched off.
func TestMechanismsSwitchedOff(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		count     func(*testing.T, switcher.Set) int
		with, off int
	}{
		{switcher.Homes, countHomes, 1, 0},
		{switcher.RefusedStay, countSentToRefusing, 2, 1},
		{switcher.BackOff, countDialsOfUnreachable, 1, 2},
		{switcher.PipelinedRequests, countOverlapping, 1, 0},
		{switcher.Waiting, countAnsweredWithFullHome, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.count(t, 0), tt.with)
			is.Equal(tt.count(t, switcher.Of(tt.mechanism)), tt.off)
		})
	}
}

// newHarnessWithHomes returns a harness whose keys have homes.
func newHarnessWithHomes(t *testing.T, without switcher.Set) *harness {
	s := newHarness(t, matcher.Idempotent)
	s.Homes = &assigner.Assigner{Region: "east", Regions: []string{"east"}}
	s.Without = without
	return s
}

// countHomes returns how many keys have a home after one request.
func countHomes(t *testing.T, without switcher.Set) int {
	s := newHarnessWithHomes(t, without)
	s.add(t, "u1", succeeds)
	s.do(http.MethodGet, "id", nil)
	all, _ := s.Homes.All()
	return len(all)
}

// countSentToRefusing returns how often a request is sent to the upstream that refuses it
// once.
func countSentToRefusing(t *testing.T, without switcher.Set) int {
	s := newHarnessWithHomes(t, without)
	var first atomic.Pointer[string]
	var sent atomic.Int64
	for _, id := range []string{"u1", "u2", "u3"} {
		s.add(t, id, func(w http.ResponseWriter, r *http.Request) {
			refuse := first.CompareAndSwap(nil, &id)
			if *first.Load() == id {
				sent.Add(1)
			}
			if refuse {
				refuses(w, r)
				return
			}
			succeeds(w, r)
		})
	}
	s.do(http.MethodGet, "id", nil)
	return int(sent.Load())
}

// countDialsOfUnreachable returns how often two requests at the same instant dial an upstream
// that does not exist.
func countDialsOfUnreachable(t *testing.T, without switcher.Set) int {
	s := newHarnessWithHomes(t, without)
	var dials atomic.Int64
	s.Upstreams = &tracker.Set{
		Dial: func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			return nil, net.ErrClosed
		},
		Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return 1000 }},
	}
	s.catalog.Put(cataloger.Upstream{ID: "dead", Service: "s", Address: "127.0.0.1:1", Site: "east/a", Slots: 4})
	for _, id := range []string{"id1", "id2"} {
		s.do(http.MethodGet, id, nil)
	}
	return int(dials.Load())
}

// countOverlapping returns 1 if an idempotent request may be handled concurrently with others,
// else 0.
func countOverlapping(t *testing.T, without switcher.Set) int {
	s := newHarnessWithHomes(t, without)
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Host = "h.example"
	if s.MayOverlap(r) {
		return 1
	}
	return 0
}

// countAnsweredWithFullHome returns how many requests are answered for a key whose home is
// full, while another upstream is neither idle nor full.
func countAnsweredWithFullHome(t *testing.T, without switcher.Set) int {
	s := newHarnessWithHomes(t, without)
	var answered atomic.Int64
	for _, id := range []string{"u1", "u2"} {
		s.add(t, id, func(w http.ResponseWriter, r *http.Request) {
			answered.Add(1)
			succeeds(w, r)
		})
	}
	s.Upstreams.Clock = timekeeper.Clock{Monotonic: func() timekeeper.Millis { return 1000 }}
	s.do(http.MethodGet, "first", nil)
	all, _ := s.Homes.All()
	for u := range s.catalog.Current().ByService("s").All() {
		r := tracker.Report{Running: 4, Slots: 4}
		if u.Hash() == all[0].Upstream {
			r.Waiting = 20
		}
		s.Upstreams.StateOf(u).RecordLoad(r)
	}
	answered.Store(0)
	s.do(http.MethodGet, "second", nil)
	return int(answered.Load())
}
