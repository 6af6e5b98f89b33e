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

// watched is a context that ends once somebody waits for its end.
type watched struct {
	context.Context
	waited bool
}

// Done returns a channel that is closed.
func (w *watched) Done() <-chan struct{} {
	w.waited = true
	c := make(chan struct{})
	close(c)
	return c
}

// without returns an entry that logs to out and has not started.
func without(s switcher.Set, out io.Writer) *fronter.Fronter {
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

// waitsForStart tells whether a request waits for an entry that knows nothing yet.
func waitsForStart(f *fronter.Fronter) bool {
	w := &watched{Context: context.Background()}
	f.AwaitStart(w)
	return w.waited
}

// needsHomes tells whether an entry that knows all but the homes is not ready.
func needsHomes(f *fronter.Fronter) bool {
	config, err := matcher.New(1, matcher.Limits{}, nil, nil)
	if err != nil || !f.SetConfig(config) {
		panic("no configuration in force")
	}
	f.SetListed()
	return !f.Ready()
}

func TestSwitchedOff(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		acts      func(*fronter.Fronter) bool
	}{
		{switcher.StartWaits, waitsForStart},
		{switcher.StartHomes, needsHomes},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.True(tt.acts(without(0, io.Discard)))
			is.True(!tt.acts(without(switcher.Of(tt.mechanism), io.Discard)))
		})
	}
}

// TestWhatIsOffIsTold starts an entry with two mechanisms off: a line and a metric name
// them, and nothing is told where all are on.
func TestWhatIsOffIsTold(t *testing.T) {
	for _, s := range []switcher.Set{0, switcher.Of(switcher.Homes, switcher.Rank)} {
		t.Run(s.String(), func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			f := without(s, &log)
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
