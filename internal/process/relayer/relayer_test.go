package relayer_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/internal/process/relayer"
	"github.com/gullvale/gullvale/pkg/storer"
)

const kind = "config"

// change is one with a body of some bytes.
func change(from, to uint64, size int) heartbeater.Changes {
	return heartbeater.Changes{Kind: kind, From: from, To: to, Body: bytes.Repeat([]byte{'x'}, size)}
}

// serve starts a server that knows some changes, and returns its address.
func serve(t *testing.T, missed func(kind string, from uint64) []heartbeater.Changes) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &relayer.Server{Missed: missed}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func TestFetch(t *testing.T) {
	for _, c := range []struct {
		name  string
		knows []heartbeater.Changes
		// whole is how many of them one answer holds.
		whole int
	}{
		{"one", []heartbeater.Changes{change(3, 4, 150_000)}, 1},
		{"from within a range", []heartbeater.Changes{change(1, 9, 10)}, 1},
		{"several", []heartbeater.Changes{change(3, 4, 0), change(4, 7, 100), change(7, 8, 1000)}, 3},
		{"many large", []heartbeater.Changes{change(3, 4, 150_000), change(4, 5, 150_000), change(5, 6, 150_000)}, 2},
		{"one that is longer than an answer", []heartbeater.Changes{change(3, 4, 2<<20), change(4, 5, 10)}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(k string, from uint64) []heartbeater.Changes {
				is.Equal(k, kind)
				is.Equal(from, uint64(3))
				return c.knows
			})
			got, err := relayer.Fetch(context.Background(), address, kind, 3)
			is.NoErr(err)
			is.Equal(len(got), c.whole)
			for i, g := range got {
				is.Equal(len(g.Body), len(c.knows[i].Body))
				is.Equal([]uint64{g.From, g.To}, []uint64{c.knows[i].From, c.knows[i].To})
			}
		})
	}
}

func TestFetchRefusesOthers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []heartbeater.Changes
	}{
		{"empty", nil},
		{"behind a gap", []heartbeater.Changes{change(4, 5, 10)}},
		{"gap within", []heartbeater.Changes{change(3, 5, 10), change(6, 7, 10)}},
		{"nothing new", []heartbeater.Changes{change(2, 3, 10)}},
		{"backward", []heartbeater.Changes{change(3, 5, 10), change(3, 4, 10)}},
		{"another kind", []heartbeater.Changes{{Kind: "servers", From: 3, To: 4}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				is.NoErr(heartbeater.WriteChanges(w, c.answers))
			}))
			defer s.Close()
			_, err := relayer.Fetch(context.Background(), s.Listener.Addr().String(), kind, 3)
			is.True(errors.Is(err, relayer.ErrOther))
			is.Equal(relayer.Outcome(err), "other")
		})
	}
}

func TestFetchRefusesGarbage(t *testing.T) {
	var whole bytes.Buffer
	if err := heartbeater.WriteChanges(&whole, []heartbeater.Changes{change(3, 4, 100), change(4, 5, 100)}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, body string
	}{
		{"text", "it works"},
		{"cut", whole.String()[:whole.Len()-1]},
		{"length beyond all bounds", "\xff\xff\xff\xff\xff\x7f"},
		{"zeros", strings.Repeat("\x00", 1000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := w.Write([]byte(c.body))
				is.NoErr(err)
			}))
			defer s.Close()
			_, err := relayer.Fetch(context.Background(), s.Listener.Addr().String(), kind, 3)
			is.True(errors.Is(err, relayer.ErrOther))
		})
	}
}

func TestFetchFromNobody(t *testing.T) {
	is := is.New(t)
	_, err := relayer.Fetch(context.Background(), "", kind, 3)
	is.True(errors.Is(err, relayer.ErrNoLead))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = relayer.Fetch(context.Background(), l.Addr().String(), kind, 3)
	is.True(errors.Is(err, storer.ErrUnreachable)) // as of a former version that has no listener
}

func TestServerRefuses(t *testing.T) {
	address := serve(t, func(k string, _ uint64) []heartbeater.Changes {
		if k != kind {
			return nil
		}
		return []heartbeater.Changes{change(3, 4, 10)}
	})
	for _, c := range []struct {
		name, method, target string
		status               int
	}{
		{"known", http.MethodGet, "/Missed?Kind=config&From=3", http.StatusOK},
		{"write", http.MethodPost, "/Missed?Kind=config&From=3", http.StatusMethodNotAllowed},
		{"head", http.MethodHead, "/Missed?Kind=config&From=3", http.StatusMethodNotAllowed},
		{"another path", http.MethodGet, "/objects/config", http.StatusNotFound},
		{"another kind", http.MethodGet, "/Missed?Kind=secrets&From=3", http.StatusNotFound},
		{"no kind", http.MethodGet, "/Missed?From=3", http.StatusNotFound},
		{"no revision", http.MethodGet, "/Missed?Kind=config", http.StatusBadRequest},
		{"bad revision", http.MethodGet, "/Missed?Kind=config&From=-1", http.StatusBadRequest},
		{"long header", http.MethodGet, "/Missed?Kind=config&From=3&x=" + strings.Repeat("x", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, err := http.NewRequest(c.method, "http://"+address+c.target, nil)
			is.NoErr(err)
			p, err := http.DefaultClient.Do(q)
			is.NoErr(err)
			is.NoErr(p.Body.Close())
			is.Equal(p.StatusCode, c.status)
		})
	}
}

// TestServerBoundsAnswers has more members ask at once than are answered: the others are told
// so at once and read the store.
func TestServerBoundsAnswers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := &relayer.Server{Missed: func(string, uint64) []heartbeater.Changes {
		<-release
		return []heartbeater.Changes{change(3, 4, 10)}
	}}
	const asking = 200
	statuses := make(chan int, asking)
	var all sync.WaitGroup
	for range asking {
		all.Go(func() {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/Missed?Kind=config&From=3", nil))
			statuses <- w.Code
		})
	}
	refused := 0
	for range asking - relayer.MaxAnswers {
		is.Equal(<-statuses, http.StatusServiceUnavailable)
		refused++
	}
	close(release)
	all.Wait()
	for range asking - refused {
		is.Equal(<-statuses, http.StatusOK)
	}
}
