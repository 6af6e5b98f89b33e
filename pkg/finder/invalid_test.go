package finder_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/pkg/finder"
)

// TestInvalidRefusalLeavesOutcomeUnknown guards against a request that is reported as not run, or sent
// again under another key so that it may run twice, because of a head that is no response.
func TestInvalidRefusalLeavesOutcomeUnknown(t *testing.T) {
	const outcome = "Gullvale-Outcome: not-run\r\n"
	for name, invalid := range map[string]string{
		"status 000":   responder.Respond("000 Trouble", outcome, ""),
		"status 600":   responder.Respond("600 Trouble", outcome, ""),
		"invalid name": responder.Respond("503 Service Unavailable", outcome+"Bad : x\r\n", ""),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			keys := make(chan string, 10)
			entry := &responder.Responder{Bodies: make(chan responder.Body, 10), Response: func(q *http.Request) string {
				keys <- q.Header.Get("Idempotency-Key")
				return invalid
			}}
			address := entry.Start(t)
			directory := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(finder.Lookup{LifetimeMillis: 60_000, Entries: []finder.Entry{{Address: address, Incarnation: "00000000000000aa"}}})
			}))
			t.Cleanup(directory.Close)
			f := &finder.Finder{Seeds: []string{directory.Listener.Addr().String()}, HTTP: &http.Client{Transport: &http.Transport{}}}
			p, err := f.Send(context.Background(), finder.Request{Service: "s", Method: http.MethodPost, Target: "/x"})
			is.NoErr(err)
			is.Equal(p.Outcome, finder.Unknown)
			first := <-keys
			is.True(first != "")
			for len(keys) > 0 {
				is.Equal(<-keys, first)
			}
		})
	}
}
