package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

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
// that was not read, and once while one is.
func TestNoRouteIsToldApart(t *testing.T) {
	is := is.New(t)
	s := newSite(t, matcher.Idempotent)
	for _, x := range []struct {
		behind timekeeper.Millis
		status int
	}{{0, http.StatusNotFound}, {0, http.StatusNotFound}, {900, http.StatusServiceUnavailable}} {
		s.Behind = func() timekeeper.Millis { return x.behind }
		p, _ := s.ask(http.MethodGet, "id", func(r *http.Request) { r.Host = "other.example" })
		is.Equal(p.StatusCode, x.status)
	}
	text := s.metrics()
	is.True(strings.Contains(text, `gullvale_request_reasons{class="none",kind="no route",service="none"} 2`))
	is.True(strings.Contains(text, `gullvale_request_reasons{class="none",kind="no route yet",service="none"} 1`))
}
