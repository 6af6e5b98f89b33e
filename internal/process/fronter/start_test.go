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

// newStartingEntry starts an entry without configuration, upstreams and homes.
func newStartingEntry(t *testing.T) *fronter.Fronter {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fronter.New(fronter.Options{
		Front:  "127.0.0.1:0",
		Homes:  &assigner.Assigner{},
		Bounds: func() fronter.Bounds { return fronter.Bounds{} },
		Log:    log,
		// The metrics path is registered even though no metrics listener is opened.
		MetricsPath: "/metrics",
	})
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

func get(t *testing.T, f *fronter.Fronter) int {
	t.Helper()
	p, err := http.Get("http://" + f.Addresses()[0] + "/x")
	if err != nil {
		t.Error(err)
		return 0
	}
	defer p.Body.Close()
	return p.StatusCode
}

// TestRequestsWaitForStartup guards against requests refused during startup: a request
// waits until configuration, upstreams and homes are known, and is then served.
func TestRequestsWaitForStartup(t *testing.T) {
	is := is.New(t)
	f := newStartingEntry(t)
	status := make(chan int)
	go func() { status <- get(t, f) }()
	config, err := matcher.New(1, matcher.Limits{}, nil, nil)
	is.NoErr(err)
	is.True(f.SetConfig(config))
	is.True(!f.Ready())
	f.SetUpstreamsKnown()
	is.True(!f.Ready()) // homes are missing
	f.SetHomesKnown()
	is.True(f.Ready())
	is.Equal(<-status, http.StatusNotFound)
}

// TestRequestsAreRefusedAfterStartupTimeout guards against callers that wait for an
// entry whose startup does not complete: the first is refused after the timeout, later
// ones at once.
func TestRequestsAreRefusedAfterStartupTimeout(t *testing.T) {
	is := is.New(t)
	f := newStartingEntry(t)
	is.Equal(get(t, f), http.StatusServiceUnavailable)
	is.Equal(get(t, f), http.StatusServiceUnavailable)
	is.True(!f.Ready())
}
