package finder_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/finder"
)

// TestRedirectIsNotFollowed guards against a request that runs several times because the
// upstream responds with a redirect to an unreachable address, and the failed dial there is
// taken for a request that did not run.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			var ran int
			var address string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/Lookup" {
					_ = json.NewEncoder(w).Encode(finder.Lookup{Entries: []finder.Entry{{Address: address, Incarnation: "00000000000000aa"}}})
					return
				}
				ran++
				w.Header().Set("Gullvale-Outcome", "answered")
				w.Header().Set("Location", "http://"+deadAddress+"/receipt")
				w.WriteHeader(status)
			}))
			defer s.Close()
			address = s.Listener.Addr().String()
			f := &finder.Finder{Seeds: []string{address}, HTTP: s.Client()}
			p, err := f.Send(context.Background(), finder.Request{Service: "s", Method: http.MethodPost, Target: "/x"})
			is.NoErr(err)
			is.Equal(ran, 1)
			is.Equal(p.Outcome, finder.Answered)
			is.Equal(p.Status, status)
			is.Equal(p.Header.Get("Location"), "http://"+deadAddress+"/receipt")
			is.NoErr(p.Body.Close())
		})
	}
}
