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

// deadAddress refuses connections: no process may listen on port 1 here.
const deadAddress = "127.0.0.1:1"

// entries is two entries that name each other, with one between them that is gone.
// The first takes requests and closes the connection without an answer, the other
// answers what carries a key of its own, as the key's home does.
type entries struct {
	lock        sync.Mutex
	first, last string
	// keys are the keys that came, in their order, and ran counts what ran.
	keys []string
	ran  int
}

func startEntries(t *testing.T) *entries {
	t.Helper()
	x := &entries{}
	a := httptest.NewServer(http.HandlerFunc(x.breakOff))
	t.Cleanup(a.Close)
	b := httptest.NewServer(http.HandlerFunc(x.answer))
	t.Cleanup(b.Close)
	x.first, x.last = a.Listener.Addr().String(), b.Listener.Addr().String()
	return x
}

func (x *entries) lookup(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(finder.Lookup{Entries: []finder.Entry{
		{Address: x.first, Incarnation: "00000000000000aa"},
		{Address: deadAddress, Incarnation: "00000000000000bb"},
		{Address: x.last, Incarnation: "00000000000000cc"},
	}})
}

func (x *entries) breakOff(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/Lookup" {
		x.lookup(w)
		return
	}
	x.run(r.Header.Get("Idempotency-Key"))
	panic(http.ErrAbortHandler)
}

func (x *entries) answer(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	switch {
	case r.URL.Path == "/Lookup":
		x.lookup(w)
	case key == "" || strings.HasPrefix(key, "00000000000000cc"):
		x.run(key)
		w.Header().Set("Gullvale-Outcome", "answered")
	default:
		x.note(key)
		w.Header().Set("Gullvale-Outcome", "unknown")
		w.WriteHeader(http.StatusBadGateway)
	}
}

func (x *entries) run(key string) {
	x.note(key)
	x.lock.Lock()
	defer x.lock.Unlock()
	x.ran++
}

func (x *entries) note(key string) {
	x.lock.Lock()
	defer x.lock.Unlock()
	x.keys = append(x.keys, key)
}

// TestDoubtStays sends a request whose first entry ends without an answer and whose
// second is not reached. The third must not run it again under a new key, and what
// became of it stays unknown. An idempotent one is simply answered.
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
			x := startEntries(t)
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
