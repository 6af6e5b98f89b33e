package dispatcher_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/matcher"
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
