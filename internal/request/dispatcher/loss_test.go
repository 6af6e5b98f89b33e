package dispatcher_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/dispatcher"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
)

// terminates returns a handler that closes the upstream's listener and then the connection of
// the request.
func terminates(l **httptest.Server) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		(*l).Listener.Close()
		panic(http.ErrAbortHandler)
	}
}

// TestUpstreamStateAfterLostConnection has an upstream close the connection during a request
// for several reasons. The state reported for it is found by dialling it again.
func TestUpstreamStateAfterLostConnection(t *testing.T) {
	tests := []struct {
		name   string
		serve  func(l **httptest.Server) http.HandlerFunc
		before func(s *harness)
		want   dispatcher.UpstreamState
	}{
		{"resets the connection", func(**httptest.Server) http.HandlerFunc { return abortsConnection }, nil, dispatcher.Alive},
		{"breaks off its response", func(**httptest.Server) http.HandlerFunc { return truncates }, nil, dispatcher.Alive},
		{"terminates", terminates, nil, dispatcher.Terminated},
		{"terminates after removal from the catalog", terminates, func(s *harness) { s.catalog.Remove("u") }, dispatcher.Leaving},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness(t, matcher.Once)
			losses := make(chan *dispatcher.Loss, 1)
			s.OnLoss = func(l *dispatcher.Loss) { losses <- l }
			var l *httptest.Server
			serve := x.serve(&l)
			l = s.add(t, "u", func(w http.ResponseWriter, r *http.Request) {
				if x.before != nil {
					x.before(s)
				}
				serve(w, r)
			})
			p, _ := s.do(http.MethodPost, "id", nil)
			is.Equal(p.StatusCode, http.StatusBadGateway)
			loss := <-losses
			is.Equal(loss.UpstreamState, x.want)
			is.Equal(loss.ID, "id")
			is.Equal(loss.Upstream.ID, cataloger.UpstreamID("u"))
			is.Equal(loss.Suspect.Fingerprint, quarantiner.Content{
				Method: "POST", Host: "h.example", Target: "/x?y=z", Body: []byte("body"), Length: 4,
			}.Fingerprint())
		})
	}
}
