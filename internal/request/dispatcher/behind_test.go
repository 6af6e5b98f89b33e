package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// metrics ends a meter and returns what it counted.
func (s *site) metrics() string {
	s.Meter.Close() // reports what was counted
	text := httptest.NewRecorder()
	s.Meter.Handler().ServeHTTP(text, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return text.Body.String()
}

// TestNoRouteIsToldApart has requests without a route come twice while no change is known
// that was not read, and once while one is. All get the same answer and reason.
func TestNoRouteIsToldApart(t *testing.T) {
	is := is.New(t)
	s := newSite(t, matcher.Idempotent)
	var told dispatcher.Decision
	s.Decided = func(d *dispatcher.Decision) { told = *d }
	for _, behind := range []timekeeper.Millis{0, 0, 900} {
		s.Behind = func() timekeeper.Millis { return behind }
		p, _ := s.ask(http.MethodGet, "id", func(r *http.Request) { r.Host = "other.example" })
		is.Equal(p.StatusCode, http.StatusNotFound)
		is.Equal(told.Reason, "no route")
	}
	text := s.metrics()
	is.True(strings.Contains(text, `gullvale_request_reasons{class="none",kind="no route",service="none"} 2`))
	is.True(strings.Contains(text, `gullvale_request_reasons{class="none",kind="no route, change not read",service="none"} 1`))
}
