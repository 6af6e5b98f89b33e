package advisor_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/advisor"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

func TestPause(t *testing.T) {
	const date = "Thu, 01 Jan 2026 10:00:00 GMT"
	tests := []struct {
		value string
		pause timekeeper.Millis
	}{
		{"3", 3000},
		{" 3 ", 3000},
		{"0.25", 250},
		{"1.0005", 1001},
		{"2.", 2000},
		{"0", 0},
		{"", 0},
		{"-3", 0},
		{"+3", 0},
		{".", 0},
		{"soon", 0},
		{"3 s", 0},
		{"1,5", 0},
		{"1.2.3", 0},
		{"NaN", 0},
		{"Inf", 0},
		{"1e3", 0},
		{"0x10", 0},
		{"86400", 10 * timekeeper.Minute},
		{strings.Repeat("9", 400), 10 * timekeeper.Minute},
		{"Thu, 01 Jan 2026 10:00:05 GMT", 5000},
		{"Thu, 01 Jan 2026 09:59:00 GMT", 0},
		{"Thu, 01 Jan 2099 10:00:00 GMT", 10 * timekeeper.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.value, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{"Retry-After": {tt.value}, "Date": {date}}
			is.Equal(advisor.Read("X-Leaving", http.StatusServiceUnavailable, h), advisor.Advice{Pause: tt.pause})
			is.Equal(advisor.Read("X-Leaving", http.StatusOK, h), advisor.Advice{}) // only a refusal asks for a pause
		})
	}
}

func TestDateWithoutDateOfTheResponseIsIgnored(t *testing.T) {
	is := is.New(t)
	h := http.Header{"Retry-After": {"Thu, 01 Jan 2099 10:00:00 GMT"}}
	is.Equal(advisor.Read("", http.StatusServiceUnavailable, h), advisor.Advice{})
}

func TestAnyResponseAnnouncesLeaving(t *testing.T) {
	is := is.New(t)
	h := http.Header{"X-Leaving": {"1"}}
	for _, status := range []int{200, 404, 421, 500, 503} {
		is.True(advisor.Read("X-Leaving", status, h).Leaving)
		is.True(!advisor.Read("", status, h).Leaving)
	}
}

func FuzzPause(f *testing.F) {
	for _, v := range []string{"3", "0.5", "Thu, 01 Jan 2026 10:00:05 GMT", "1e999", "٣"} {
		f.Add(v)
	}
	f.Fuzz(func(t *testing.T, v string) {
		p := advisor.Read("", http.StatusServiceUnavailable, http.Header{"Retry-After": {v}, "Date": {v}}).Pause
		if p < 0 || p > 10*timekeeper.Minute {
			t.Errorf("pause of %q is %d ms", v, p)
		}
	})
}
