package finder_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/finder"
)

// crashingEntry is an entry that responds to lookups and to one request, and terminates
// while it runs the next request on the same connection.
type crashingEntry struct {
	listener net.Listener
	ran      atomic.Int64
}

func startCrashingEntry(t *testing.T) *crashingEntry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &crashingEntry{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go d.run()
	return d
}

func (d *crashingEntry) run() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.serve(c)
	}
}

// serve serves a connection until it is closed or the entry terminates.
func (d *crashingEntry) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path == "/Lookup" {
			d.reply(c, finder.Lookup{LifetimeMillis: 60_000, Entries: []finder.Entry{{Address: d.listener.Addr().String(), Incarnation: "00000000000000aa"}}})
			continue
		}
		if d.ran.Add(1) > 1 {
			_ = d.listener.Close()
			return
		}
		d.reply(c, nil)
	}
}

func (d *crashingEntry) reply(c net.Conn, v any) {
	w := httptest.NewRecorder()
	w.Header().Set("Gullvale-Outcome", "answered")
	if v != nil {
		_ = json.NewEncoder(w).Encode(v)
	}
	p := w.Result()
	p.ContentLength = int64(w.Body.Len())
	_ = p.Write(c)
}

// TestTransportRetryLeavesOutcomeUnknown guards against a request reported as not run
// although it ran: the entry terminates while it runs the request, the transport retries on
// its own, and the new connection is refused.
func TestTransportRetryLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	d := startCrashingEntry(t)
	f := &finder.Finder{Seeds: []string{d.listener.Addr().String()}, HTTP: &http.Client{Transport: &http.Transport{}}}
	get := finder.Request{Service: "s", Method: http.MethodGet, Target: "/x"}
	p, err := f.Send(context.Background(), get)
	is.NoErr(err)
	is.Equal(p.Outcome, finder.Answered)
	is.NoErr(p.Body.Close())
	p, err = f.Send(context.Background(), get)
	is.NoErr(err)
	is.Equal(d.ran.Load(), int64(2))
	is.Equal(p.Outcome, finder.Unknown)
}

// TestTransportDoesNotRetry guards against the transport's own retries of a request that
// must not run twice. The transport treats a request with one of these headers as
// idempotent, whatever its method.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, field := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int64
			var address string
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/Lookup" {
					_ = json.NewEncoder(w).Encode(finder.Lookup{LifetimeMillis: 60_000, Entries: []finder.Entry{{Address: address, Incarnation: "00000000000000aa"}}})
					return
				}
				is.Equal(r.Header.Get(field), "k-1")
				if received.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Gullvale-Outcome", "answered")
			}))
			defer s.Close()
			address = s.Listener.Addr().String()
			f := &finder.Finder{Seeds: []string{address}, HTTP: s.Client()}
			q := finder.Request{Service: "s", Method: http.MethodPost, Target: "/x", Header: http.Header{field: {"k-1"}}}
			p, err := f.Send(context.Background(), q)
			is.NoErr(err)
			is.NoErr(p.Body.Close())
			p, err = f.Send(context.Background(), q)
			is.NoErr(err)
			is.Equal(p.Outcome, finder.Unknown)
			is.Equal(received.Load(), int64(1+p.Attempts))
		})
	}
}
