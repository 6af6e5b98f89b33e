package finder_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/finder"
)

// deadAddress refuses connections, since no process listens on port 1.
const deadAddress = "127.0.0.1:1"

// testEntries is a list of three entries. The first runs requests and closes the
// connection without a response, the second is unreachable, and the last, like the
// home of a key, runs only requests without a key or with a key that names it.
type testEntries struct {
	lock        sync.Mutex
	first, last string
	// keys holds the received keys in order, and ran counts the requests that ran.
	keys []string
	ran  int
}

func startTestEntries(t *testing.T) *testEntries {
	t.Helper()
	x := &testEntries{}
	a := httptest.NewServer(http.HandlerFunc(x.abort))
	t.Cleanup(a.Close)
	b := httptest.NewServer(http.HandlerFunc(x.respond))
	t.Cleanup(b.Close)
	x.first, x.last = a.Listener.Addr().String(), b.Listener.Addr().String()
	return x
}

func (x *testEntries) lookup(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(finder.Lookup{Entries: []finder.Entry{
		{Address: x.first, Incarnation: "00000000000000aa"},
		{Address: deadAddress, Incarnation: "00000000000000bb"},
		{Address: x.last, Incarnation: "00000000000000cc"},
	}})
}

func (x *testEntries) abort(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/Lookup" {
		x.lookup(w)
		return
	}
	x.run(r.Header.Get("Idempotency-Key"))
	panic(http.ErrAbortHandler)
}

func (x *testEntries) respond(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	switch {
	case r.URL.Path == "/Lookup":
		x.lookup(w)
	case key == "" || strings.HasPrefix(key, "00000000000000cc"):
		x.run(key)
		w.Header().Set("Gullvale-Outcome", "answered")
	default:
		x.recordKey(key)
		w.Header().Set("Gullvale-Outcome", "unknown")
		w.WriteHeader(http.StatusBadGateway)
	}
}

func (x *testEntries) run(key string) {
	x.recordKey(key)
	x.lock.Lock()
	defer x.lock.Unlock()
	x.ran++
}

func (x *testEntries) recordKey(key string) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.keys = append(x.keys, key)
}

// TestDoubtStays guards against a request that runs twice under different keys. The first
// entry runs it and closes the connection without a response, and the second is
// unreachable. The outcome must stay unknown, except that a request with an idempotent
// method is answered by the third entry.
func TestDoubtStays(t *testing.T) {
	for _, c := range []struct {
		method  string
		outcome finder.Outcome
		ran     int
	}{
		{http.MethodPost, finder.Unknown, 1},
		{http.MethodGet, finder.Answered, 2},
	} {
		t.Run(c.method, func(t *testing.T) {
			is := is.New(t)
			x := startTestEntries(t)
			f := &finder.Finder{Seeds: []string{x.last}, HTTP: &http.Client{Transport: &http.Transport{}}}
			p, err := f.Send(context.Background(), finder.Request{Service: "s", Method: c.method, Target: "/x", Body: []byte("one keg")})
			is.NoErr(err)
			is.Equal(p.Outcome, c.outcome)
			is.Equal(x.ran, c.ran)
			is.Equal(len(x.keys), 2)
			is.Equal(x.keys[0], x.keys[1])
		})
	}
}
