package fronter_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/process/fronter"
	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/matcher"
)

// observedContext is a cancelled context that records whether Done was called.
type observedContext struct {
	context.Context
	waited bool
}

// Done records the call and returns a closed channel.
func (w *observedContext) Done() <-chan struct{} {
	w.waited = true
	c := make(chan struct{})
	close(c)
	return c
}

// newEntryWithout returns an entry with the mechanisms s disabled, which logs to out and is
// not started.
func newEntryWithout(s switcher.Set, out io.Writer) *fronter.Fronter {
	log := logrus.New()
	log.SetOutput(out)
	return fronter.New(fronter.Options{
		Homes:       &assigner.Assigner{},
		Bounds:      func() fronter.Bounds { return fronter.Bounds{} },
		MetricsPath: "/metrics",
		Without:     s,
		Log:         log,
	})
}

// waitsForStart reports whether a request waits for the startup of an entry.
func waitsForStart(f *fronter.Fronter) bool {
	w := &observedContext{Context: context.Background()}
	f.AwaitStartup(w)
	return w.waited
}

// needsHomes reports whether an entry without homes, but with all else, is not ready.
func needsHomes(f *fronter.Fronter) bool {
	config, err := matcher.New(1, matcher.Limits{}, nil, nil)
	if err != nil || !f.SetConfig(config) {
		panic("no configuration in force")
	}
	f.SetUpstreamsKnown()
	return !f.Ready()
}

func TestDisabledMechanismIsInactive(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		isActive  func(*fronter.Fronter) bool
	}{
		{switcher.StartWaits, waitsForStart},
		{switcher.StartHomes, needsHomes},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.True(tt.isActive(newEntryWithout(0, io.Discard)))
			is.True(!tt.isActive(newEntryWithout(switcher.Of(tt.mechanism), io.Discard)))
		})
	}
}

// TestDisabledMechanismsAreReported checks that a log line and a metric name the disabled
// mechanisms, and that there is neither if all are enabled.
func TestDisabledMechanismsAreReported(t *testing.T) {
	for _, s := range []switcher.Set{0, switcher.Of(switcher.Homes, switcher.Rank)} {
		t.Run(s.String(), func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			f := newEntryWithout(s, &log)
			is.NoErr(f.Start())
			is.Equal(strings.Contains(log.String(), "mechanisms off"), s != 0)
			is.Equal(strings.Contains(log.String(), `without="homes,rank"`), s != 0)
			f.Stop()
			w := httptest.NewRecorder()
			f.Meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			for _, m := range switcher.All() {
				is.Equal(strings.Contains(w.Body.String(), `kind="`+m.String()+`"`), s.Has(m))
			}
		})
	}
}
