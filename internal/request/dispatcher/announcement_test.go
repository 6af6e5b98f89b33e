package dispatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/request/placer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// announcesLeaving adds the announcement to the response of serve.
func announcesLeaving(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(fields.Leaving, "1")
		serve(w, r)
	}
}

// asksForPause refuses a request and asks for a pause of the given value.
func asksForPause(value string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", value)
		refuses(w, r)
	}
}

// TestAnnouncementIsReportedOnce checks what operators see of the announcements in responses.
func TestAnnouncementIsReportedOnce(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	var leaving, pauses atomic.Int64
	s.OnAnnouncement = func(a *dispatcher.Announcement) {
		switch a.Advice {
		case advisor.Advice{Leaving: true}:
			leaving.Add(1)
		case advisor.Advice{Pause: 60_000}:
			pauses.Add(1)
		default:
			t.Errorf("unexpected announcement %+v", a.Advice)
		}
	}
	s.add(t, "u1", announcesLeaving(succeeds))
	for range 3 {
		s.do(http.MethodGet, "id", nil)
	}
	is.Equal(leaving.Load(), int64(1))
	s.add(t, "u2", asksForPause("60"))
	s.catalog.Remove("u1")
	s.do(http.MethodGet, "id", nil)
	is.True(pauses.Load() > 0)
}

// TestEveryResponseAnnouncesLeaving checks that an upstream gets no more requests after any
// response that announces that it leaves, whatever becomes of the response.
func TestEveryResponseAnnouncesLeaving(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nX-Id: earlier\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nX-Id: first\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"answered", announcesLeaving(succeeds)},
		{"refused", announcesLeaving(refuses)},
		{"failed", announcesLeaving(fails)},
		{"not found", announcesLeaving(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })},
		{"of unknown origin", announcesLeaving(omitsProof)},
		{"truncated", announcesLeaving(truncates)},
		{"to an earlier request", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, extra)
			_ = conn.Close()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, matcher.Idempotent)
			s.add(t, "u1", tt.serve)
			s.do(http.MethodGet, "first", nil)
			is.True(s.ran("first") > 0)
			p, _ := s.do(http.MethodGet, "second", nil)
			is.Equal(p.StatusCode, http.StatusServiceUnavailable)
			is.Equal(s.ran("second"), 0)
		})
	}
}

// TestMisdirectedResponseAnnouncesItsSender guards against sending to the upstream that now has an
// address, after it announced that it leaves in the refusal of a request for the former one.
func TestMisdirectedResponseAnnouncesItsSender(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	l := s.add(t, "former", announcesLeaving(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(fields.Expected) == "present" {
			succeeds(w, r)
			return
		}
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	present := cataloger.Upstream{ID: "present", Service: "s", Address: l.Listener.Addr().String(), Site: "east/a", Slots: 4}
	s.catalog.Put(present)
	// Each key prefers one of the two.
	key := ""
	for n := 0; key == ""; n++ {
		k := fmt.Sprint("k", n)
		all := s.catalog.Current().ByService("s")
		route := s.Config().Match("h.example", "/x")
		if placer.Candidates(nil, hasher.Mix(hasher.OfString(k), route.Hash()), all, func(registrar.Site) bool { return true })[0].ID == "former" {
			key = k
		}
	}
	s.do(http.MethodGet, "id", func(r *http.Request) { r.Header.Set(fields.Key, key) })
	is.True(s.catalog.Current().Usable(present.Incarnation()) == nil)
}

// TestPausedCandidatesMakeRoom guards against refusing a request while upstreams that its key does
// not prefer take work.
func TestPausedCandidatesMakeRoom(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	var pausing atomic.Int64
	serve := func(w http.ResponseWriter, r *http.Request) {
		if pausing.Add(1) <= 6 {
			asksForPause("60")(w, r)
			return
		}
		succeeds(w, r)
	}
	for i := range 8 {
		s.add(t, fmt.Sprint("u", i), serve)
	}
	for i := range 3 {
		p, _ := s.do(http.MethodGet, fmt.Sprint("early-", i), nil)
		is.Equal(p.StatusCode, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after < 1) // others have room
	}
	for i := range 5 {
		id := fmt.Sprint("late-", i)
		p, _ := s.do(http.MethodGet, id, nil)
		is.Equal(p.StatusCode, http.StatusOK)
		is.Equal(s.ran(id), 1)
	}
}

// TestPauseIsNotPassedToTheCaller guards against a caller that waits for the pause of one upstream
// while others take work, and one that returns while all of them pause.
func TestPauseIsNotPassedToTheCaller(t *testing.T) {
	unavailable := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fields.Proof, "p")
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, tt := range []struct {
		name   string
		others http.HandlerFunc
		least  float64
		most   float64
	}{
		{"others take work", succeeds, 0, 1},
		{"all pause", unavailable, 60, 62.1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, matcher.Once)
			s.add(t, "u1", firstOf(unavailable, tt.others))
			s.add(t, "u2", firstOf(unavailable, tt.others))
			p, _ := s.do(http.MethodPost, "id", nil)
			is.Equal(p.StatusCode, http.StatusServiceUnavailable)
			for i := 0; tt.least > 0 && i < 2; i++ {
				p, _ = s.do(http.MethodPost, fmt.Sprint("again-", i), nil)
			}
			after, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(after >= tt.least-1)
			is.True(after <= tt.most)
		})
	}
}
