package fronter_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/process/fronter"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/matcher"
)

// startEntry starts an entry that knows nothing yet.
func startEntry(t *testing.T) *fronter.Fronter {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fronter.New(fronter.Options{
		Front:  "127.0.0.1:0",
		Homes:  &assigner.Assigner{},
		Bounds: func() fronter.Bounds { return fronter.Bounds{} },
		Log:    log,
		// No listener of metrics is opened, but their path is set up.
		MetricsPath: "/metrics",
	})
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

func ask(t *testing.T, f *fronter.Fronter) int {
	t.Helper()
	p, err := http.Get("http://" + f.Addresses()[0] + "/x")
	if err != nil {
		t.Error(err)
		return 0
	}
	defer p.Body.Close()
	return p.StatusCode
}

// TestRequestsWaitForTheStart sends a request to an entry that learns one after the other
// what it needs: the request is handled with all of it, not refused.
func TestRequestsWaitForTheStart(t *testing.T) {
	is := is.New(t)
	f := startEntry(t)
	status := make(chan int)
	go func() { status <- ask(t, f) }()
	config, err := matcher.New(1, matcher.Limits{}, nil, nil)
	is.NoErr(err)
	is.True(f.SetConfig(config))
	is.True(!f.Ready())
	f.SetListed()
	is.True(!f.Ready()) // homes are missing
	f.SetHomed()
	is.True(f.Ready())
	is.Equal(<-status, http.StatusNotFound)
}

// TestLongStartRefuses has an entry learn nothing: its callers hear so before their time is
// over, and later ones at once.
func TestLongStartRefuses(t *testing.T) {
	is := is.New(t)
	f := startEntry(t)
	is.Equal(ask(t, f), http.StatusServiceUnavailable)
	is.Equal(ask(t, f), http.StatusServiceUnavailable)
	is.True(!f.Ready())
}
