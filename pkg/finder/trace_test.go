package finder_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/finder"
)

// errResponseLost is the error returned by untracedTransport.
var errResponseLost = errors.New("response lost")

// untracedTransport is a transport without httptrace support. It responds to lookups, runs
// every other request and loses the response.
type untracedTransport struct {
	entry finder.Entry
	keys  []string
}

func (s *untracedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/Lookup" {
		s.keys = append(s.keys, r.Header[strings.ToLower("Idempotency-Key")][0])
		return nil, errResponseLost
	}
	w := httptest.NewRecorder()
	_ = json.NewEncoder(w).Encode(finder.Lookup{Entries: []finder.Entry{s.entry}})
	return w.Result(), nil
}

// TestTransportWithoutTraceLeavesOutcomeUnknown guards against a request that runs under
// several keys because the transport set by the caller does not support httptrace.
func TestTransportWithoutTraceLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	x := &untracedTransport{entry: finder.Entry{Address: deadAddress, Incarnation: "00000000000000aa"}}
	f := &finder.Finder{Seeds: []string{deadAddress}, HTTP: &http.Client{Transport: x}}
	p, err := f.Send(context.Background(), finder.Request{Service: "s", Method: http.MethodPost, Target: "/x", Body: []byte("one keg")})
	is.NoErr(err)
	is.Equal(p.Outcome, finder.Unknown)
	is.True(len(x.keys) > 1)
	for _, k := range x.keys {
		is.Equal(k, x.keys[0])
	}
}

// TestUnsentRequestDidNotRun guards against an unknown outcome for a request that the
// transport rejected before it opened a connection.
func TestUnsentRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	d := startCrashingEntry(t)
	f := &finder.Finder{Seeds: []string{d.listener.Addr().String()}, HTTP: &http.Client{Transport: &http.Transport{}}}
	_, err := f.Find(context.Background(), "s", "")
	is.NoErr(err)
	q := finder.Request{Service: "s", Method: http.MethodPost, Target: "/x", Header: http.Header{"X-Till": {"4\n5"}}}
	p, err := f.Send(context.Background(), q)
	is.NoErr(err)
	is.Equal(p.Outcome, finder.NotRun)
	is.Equal(d.ran.Load(), int64(0))
}
