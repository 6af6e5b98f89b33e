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

// useAllSlots has a call in each slot at the same time.
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

// TestSlotsFollowSettings gives an upstream more slots and fewer while connections
// are open.
func TestSlotsFollowSettings(t *testing.T) {
	address, entered, leave := startHeld(t)
	o, _ := newOwner(settings(1, 10, address))
	for _, slots := range []int{1, 6, 2} {
		set := settings(slots, 10, address)
		o.Set(map[pooler.Key]pooler.Owned{key: {Settings: set, Upstreams: set.Upstreams}})
		useAllSlots(t, o, slots, entered, leave)
	}
}

// TestEveryEndGivesTheSlotBack ends calls in each way that leaves their connection
// useless. All slots can be used after that.
func TestEveryEndGivesTheSlotBack(t *testing.T) {
	const slots, calls = 2, 10
	for _, x := range []struct {
		name string
		// raw is what the upstream writes before it closes the connection, empty
		// when it goes on to the body that it announced.
		raw string
		// refuse tells that the caller takes nothing of the answer.
		refuse bool
		// cancel tells that the caller goes once the request is at the upstream.
		cancel bool
	}{
		{name: "no answer", raw: " "},
		{name: "not HTTP", raw: "hello\r\n\r\n"},
		{name: "HTTP/1.0", raw: "HTTP/1.0 200 OK\r\n\r\nhello"},
		{name: "close", raw: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "short body", raw: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi"},
		{name: "broken chunk", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
		{name: "upgrade", raw: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nhello"},
		{name: "caller takes nothing", refuse: true},
		{name: "caller goes", cancel: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			entered, leave := make(chan struct{}, 10), make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// The server sees that a caller went once the body is read.
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
					answerRaw(t, w, x.raw)
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
				c.now.Add(60000) // an upstream that was not reached is back
			}
			useAllSlots(t, o, slots, entered, leave)
		})
	}
}

// answerRaw writes an answer as it stands and closes the connection.
func answerRaw(t *testing.T, w http.ResponseWriter, raw string) {
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
