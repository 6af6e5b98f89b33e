package pooler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
)

// useAllSlots checks that all slots are free and can serve a call at the same time.
func useAllSlots(t *testing.T, o *pooler.Owner, slots int, entered, leave chan struct{}) {
	t.Helper()
	is := is.New(t)
	free, _ := o.Free(key)
	is.Equal(free, slots)
	results := start(context.Background(), o, slots)
	for range slots {
		<-entered
	}
	for range slots {
		leave <- struct{}{}
	}
	for range slots {
		is.Equal((<-results).Outcome, exchanger.Answered)
	}
}

// TestSlotsFollowSettings raises and lowers the number of slots while connections are
// open.
func TestSlotsFollowSettings(t *testing.T) {
	address, entered, leave := startBlocking(t)
	o, _ := newOwner(settings(1, 10, address))
	for _, slots := range []int{1, 6, 2} {
		set := settings(slots, 10, address)
		o.SetUpstreams(map[pooler.Key]pooler.PoolConfig{key: {Settings: set, Upstreams: set.Upstreams}})
		useAllSlots(t, o, slots, entered, leave)
	}
}

// TestSlotIsReleasedHoweverTheRequestEnds checks that all slots are usable after calls that
// ended in one of the ways that make their connection unusable.
func TestSlotIsReleasedHoweverTheRequestEnds(t *testing.T) {
	const slots, calls = 2, 10
	for _, x := range []struct {
		name string
		// raw is what the upstream writes before it closes the connection. If it is
		// empty, the upstream sends a response of 1 MiB.
		raw string
		// refuse makes the caller fail to write the response.
		refuse bool
		// cancel makes the caller cancel once the request is at the upstream.
		cancel bool
	}{
		{name: "no response", raw: " "},
		{name: "not HTTP", raw: "hello\r\n\r\n"},
		{name: "HTTP/1.0", raw: "HTTP/1.0 200 OK\r\n\r\nhello"},
		{name: "close", raw: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "short body", raw: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi"},
		{name: "broken chunk", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
		{name: "upgrade", raw: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nhello"},
		{name: "caller fails to write", refuse: true},
		{name: "caller cancels", cancel: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			entered, leave := make(chan struct{}, 10), make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server notices a cancelled request only after its body is read.
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					t.Error(err)
				}
				switch {
				case r.Method == http.MethodGet:
					entered <- struct{}{}
					<-leave
				case x.cancel:
					entered <- struct{}{}
					<-r.Context().Done()
				case x.raw == "":
					_, _ = w.Write(make([]byte, 1<<20))
				default:
					writeRawResponse(t, w, x.raw)
				}
			}))
			t.Cleanup(s.Close)
			o, c := newOwner(settings(slots, 10, s.Listener.Addr().String()))
			for range calls {
				ctx, cancel := context.WithCancel(context.Background())
				q := call("x", []byte("x"), io.Discard)
				if x.refuse {
					q.Write = func([]byte) error { return errors.New("gone") }
				}
				ended := make(chan exchanger.Result, 1)
				go func() { ended <- o.Run(ctx, q) }()
				if x.cancel {
					<-entered
					cancel()
				}
				<-ended
				cancel()
				c.now.Add(60000) // past any back-off
			}
			useAllSlots(t, o, slots, entered, leave)
		})
	}
}

// writeRawResponse writes raw to the connection and closes it.
func writeRawResponse(t *testing.T, w http.ResponseWriter, raw string) {
	t.Helper()
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprint(conn, raw); err != nil {
		t.Error(err)
	}
}
