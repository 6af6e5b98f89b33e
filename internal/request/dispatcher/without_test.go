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

// TestSwitchedOff plays what each mechanism answers: with says what is counted with it,
// off what is counted without.
func TestSwitchedOff(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		count     func(*testing.T, switcher.Set) int
		with, off int
	}{
		{switcher.Homes, homesGiven, 1, 0},
		{switcher.RefusedStay, sentToRefusing, 2, 1},
		{switcher.BackOff, dialsOfDead, 1, 2},
		{switcher.RequestsAhead, overlapping, 1, 0},
		{switcher.Waiting, visitsOfFullHome, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.count(t, 0), tt.with)
			is.Equal(tt.count(t, switcher.Of(tt.mechanism)), tt.off)
		})
	}
}

// homedSite is a site whose keys have homes.
func homedSite(t *testing.T, without switcher.Set) *site {
	s := newSite(t, matcher.Idempotent)
	s.Homes = &assigner.Assigner{Region: "east", Regions: []string{"east"}}
	s.Without = without
	return s
}

// homesGiven returns how many keys have a home after a request.
func homesGiven(t *testing.T, without switcher.Set) int {
	s := homedSite(t, without)
	s.add(t, "u1", good)
	s.ask(http.MethodGet, "id", nil)
	all, _ := s.Homes.All()
	return len(all)
}

// sentToRefusing returns how often a request is sent to the upstream that refuses it once.
func sentToRefusing(t *testing.T, without switcher.Set) int {
	s := homedSite(t, without)
	var first atomic.Pointer[string]
	var sent atomic.Int64
	for _, id := range []string{"u1", "u2", "u3"} {
		s.add(t, id, func(w http.ResponseWriter, r *http.Request) {
			refuse := first.CompareAndSwap(nil, &id)
			if *first.Load() == id {
				sent.Add(1)
			}
			if refuse {
				sheds(w, r)
				return
			}
			good(w, r)
		})
	}
	s.ask(http.MethodGet, "id", nil)
	return int(sent.Load())
}

// dialsOfDead returns how often two requests, at one moment, dial an upstream that is not
// there.
func dialsOfDead(t *testing.T, without switcher.Set) int {
	s := homedSite(t, without)
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
		s.ask(http.MethodGet, id, nil)
	}
	return int(dials.Load())
}

// overlapping returns 1 if an idempotent request may be handled beside others.
func overlapping(t *testing.T, without switcher.Set) int {
	s := homedSite(t, without)
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Host = "h.example"
	if s.MayOverlap(r) {
		return 1
	}
	return 0
}

// visitsOfFullHome returns how many requests of a key are answered whose home is full,
// beside an upstream that is as busy as it can be without being full.
func visitsOfFullHome(t *testing.T, without switcher.Set) int {
	s := homedSite(t, without)
	var answered atomic.Int64
	for _, id := range []string{"u1", "u2"} {
		s.add(t, id, func(w http.ResponseWriter, r *http.Request) {
			answered.Add(1)
			good(w, r)
		})
	}
	s.Upstreams.Clock = timekeeper.Clock{Monotonic: func() timekeeper.Millis { return 1000 }}
	s.ask(http.MethodGet, "first", nil)
	all, _ := s.Homes.All()
	for _, u := range s.catalog.Current().Of("s") {
		r := tracker.Report{Running: 4, Slots: 4}
		if u.Hash() == all[0].Upstream {
			r.Waiting = 20
		}
		s.Upstreams.Of(u).Note(r)
	}
	answered.Store(0)
	s.ask(http.MethodGet, "second", nil)
	return int(answered.Load())
}
