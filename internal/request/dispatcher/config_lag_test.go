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

// metrics closes the meter and returns what it counted.
func (s *harness) metrics() string {
	s.Meter.Close() // reports what was counted
	text := httptest.NewRecorder()
	s.Meter.Handler().ServeHTTP(text, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return text.Body.String()
}

// TestNoRouteAndNoRouteYetAreCountedSeparately sends requests without a route, two while the
// configuration is current and one while an unread change is known. The two cases are counted
// under different reasons.
func TestNoRouteAndNoRouteYetAreCountedSeparately(t *testing.T) {
	is := is.New(t)
	s := newHarness(t, matcher.Idempotent)
	for _, x := range []struct {
		lag    timekeeper.Millis
		status int
	}{{0, http.StatusNotFound}, {0, http.StatusNotFound}, {900, http.StatusServiceUnavailable}} {
		s.ConfigLag = func() timekeeper.Millis { return x.lag }
		p, _ := s.do(http.MethodGet, "id", func(r *http.Request) { r.Host = "other.example" })
		is.Equal(p.StatusCode, x.status)
	}
	text := s.metrics()
	is.True(strings.Contains(text, `gullvale_request_reasons{class="none",kind="no route",service="none"} 2`))
	is.True(strings.Contains(text, `gullvale_request_reasons{class="none",kind="no route yet",service="none"} 1`))
}
