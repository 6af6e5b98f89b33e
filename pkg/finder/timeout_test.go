package finder_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/finder"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestUnresponsiveEntryTimesOut guards against a caller that waits forever for an entry
// that accepts requests and never responds, such as a stopped process.
func TestUnresponsiveEntryTimesOut(t *testing.T) {
	is := is.New(t)
	const deadline = 100 * timekeeper.Millis(1)
	var address string
	done := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/Lookup":
			_ = json.NewEncoder(w).Encode(finder.Lookup{LifetimeMillis: 60_000, Entries: []finder.Entry{{Address: address, Incarnation: "00000000000000aa"}}})
		case "/silent":
			<-done
		default:
			w.Header().Set("Gullvale-Outcome", "answered")
			_, _ = io.WriteString(w, "one keg")
		}
	}))
	defer s.Close()
	defer close(done)
	address = s.Listener.Addr().String()
	f := &finder.Finder{Seeds: []string{address}, HTTP: s.Client()}
	q := finder.Request{Service: "s", Method: http.MethodPost, Target: "/silent", Deadline: deadline}
	p, err := f.Send(context.Background(), q)
	is.NoErr(err)
	is.Equal(p.Outcome, finder.Unknown)
	is.Equal(p.Attempts, 1)

	q.Target = "/kegs"
	p, err = f.Send(context.Background(), q)
	is.NoErr(err)
	is.Equal(p.Outcome, finder.Answered)
	text, err := io.ReadAll(p.Body)
	is.NoErr(err)
	is.Equal(string(text), "one keg")
	is.NoErr(p.Body.Close())
}
