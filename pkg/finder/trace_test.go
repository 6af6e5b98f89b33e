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

// errSilent is the error of a transport that runs requests and reports nothing of them.
var errSilent = errors.New("answer lost")

// silent is a transport that answers look-ups, runs every other request and loses its answer.
type silent struct {
	entry finder.Entry
	keys  []string
}

func (s *silent) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/Lookup" {
		s.keys = append(s.keys, r.Header[strings.ToLower("Idempotency-Key")][0])
		return nil, errSilent
	}
	w := httptest.NewRecorder()
	_ = json.NewEncoder(w).Encode(finder.Lookup{Entries: []finder.Entry{s.entry}})
	return w.Result(), nil
}

// TestSilentTransportLeavesDoubt guards against a request that runs under several keys
// because the transport of an embedding program does not report what it wrote.
func TestSilentTransportLeavesDoubt(t *testing.T) {
	is := is.New(t)
	x := &silent{entry: finder.Entry{Address: deadAddress, Incarnation: "00000000000000aa"}}
	f := &finder.Finder{Seeds: []string{deadAddress}, HTTP: &http.Client{Transport: x}}
	p, err := f.Send(context.Background(), finder.Request{Service: "s", Method: http.MethodPost, Target: "/x", Body: []byte("one keg")})
	is.NoErr(err)
	is.Equal(p.Outcome, finder.Unknown)
	is.True(len(x.keys) > 1)
	for _, k := range x.keys {
		is.Equal(k, x.keys[0])
	}
}

// TestUnsentRequestDidNotRun guards against a request left in doubt that the transport
// refused before it opened a connection.
func TestUnsentRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	d := startDying(t)
	f := &finder.Finder{Seeds: []string{d.listener.Addr().String()}, HTTP: &http.Client{Transport: &http.Transport{}}}
	_, err := f.Find(context.Background(), "s", "")
	is.NoErr(err)
	q := finder.Request{Service: "s", Method: http.MethodPost, Target: "/x", Header: http.Header{"X-Till": {"4\n5"}}}
	p, err := f.Send(context.Background(), q)
	is.NoErr(err)
	is.Equal(p.Outcome, finder.NotRun)
	is.Equal(d.ran.Load(), int64(0))
}
