package pooler_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/standin/server"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// startWithBody starts an upstream that refuses every request and connects every probe,
// with the given body in each response.
func startWithBody(t *testing.T, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			w.Header().Set(server.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestRefusalsReuseOneConnection checks that refusals with a body take one connection.
func TestRefusalsReuseOneConnection(t *testing.T) {
	is := is.New(t)
	d := newTestDialer(t, func(int64) bool { return true })
	o := newOwnerWithDialer(settings(1, 1, startWithBody(t, "all slots are in use\n")), d)
	for range 10 {
		r := o.Run(context.Background(), call("x", nil, io.Discard))
		is.Equal(r.Reason, exchanger.ReasonUpstreamRefused)
	}
	is.Equal(d.dials.Load(), int64(1))
}

// TestProbesReuseOneConnection checks that probes with a body in the response take one
// connection.
func TestProbesReuseOneConnection(t *testing.T) {
	is := is.New(t)
	d := newTestDialer(t, func(int64) bool { return true })
	c := &clock{}
	o := &pooler.Owner{Clock: timekeeper.Clock{Monotonic: c.reading}, Dial: d.dial}
	probed := make(chan bool, 10)
	o.Probed = func(_ pooler.Key, _ string, ok bool) { probed <- ok }
	ownUpstreams(o, c, settings(1, 1, startWithBody(t, "healthy\n")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go o.RunUpkeep(ctx)
	for range 5 {
		is.True(<-probed)
		c.now.Add(int64(timekeeper.Hour))
	}
	is.Equal(d.dials.Load(), int64(1))
}

// TestRefusalDoesNotWaitForItsBody checks that a refusal is returned although its body
// does not end or does not arrive.
func TestRefusalDoesNotWaitForItsBody(t *testing.T) {
	for _, x := range []struct{ name, length string }{
		{"never ends", ""},
		{"is long", "100000"},
		{"never arrives", "5"},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(server.HeaderNotRun, "1")
				if x.length != "" {
					w.Header().Set("Content-Length", x.length)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				if err := http.NewResponseController(w).Flush(); err != nil {
					t.Error(err)
				}
				<-r.Context().Done()
			}))
			t.Cleanup(s.Close)
			o, _ := newOwner(settings(1, 1, s.Listener.Addr().String()))
			for range 3 {
				r := o.Run(context.Background(), call("x", nil, io.Discard))
				is.Equal(r.Reason, exchanger.ReasonUpstreamRefused)
			}
		})
	}
}
