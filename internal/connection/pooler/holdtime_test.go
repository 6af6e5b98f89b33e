package pooler_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/exchanger"
)

// TestRequestThatWouldMissItsDeadlineIsRefusedAtOnce has one slot that is held for a second
// per request. While it is busy, a request with too short a deadline is refused at once with
// a retry delay, and one with a long deadline waits and is served.
func TestRequestThatWouldMissItsDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	address, entered, leave := startBlocking(t)
	o, c := newOwner(settings(1, 10, address))
	results := make(chan exchanger.Result, 2)
	run := func() { results <- o.Run(context.Background(), call("x", nil, io.Discard)) }
	// The first request sets the mean hold time of the pool.
	go run()
	<-entered
	c.now.Add(1000)
	leave <- struct{}{}
	is.Equal((<-results).Outcome, exchanger.Answered)
	go run()
	<-entered
	urgent := call("y", nil, io.Discard)
	urgent.Deadline = c.reading() + 1500
	r := o.Run(context.Background(), urgent)
	is.Equal(r.Outcome, exchanger.NotRun)
	is.Equal(r.Reason, exchanger.ReasonNoSlotInTime)
	is.True(r.RetryAfter > 0)
	relaxed := call("z", nil, io.Discard)
	relaxed.Deadline = c.reading() + 60000
	go func() { results <- o.Run(context.Background(), relaxed) }()
	for free, _ := o.Free(key); free != -1; free, _ = o.Free(key) {
		_ = free // the request is queued once free is -1
	}
	leave <- struct{}{}
	<-entered
	leave <- struct{}{}
	is.Equal((<-results).Outcome, exchanger.Answered)
	is.Equal((<-results).Outcome, exchanger.Answered)
}

// failRequests responds to all requests except probes with a server error.
func failRequests(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/health" {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// TestFailingUpstreamIsEjected checks that a failing upstream is ejected, but never
// more than a third of a pool, even if all of its upstreams fail.
func TestFailingUpstreamIsEjected(t *testing.T) {
	for _, x := range []struct {
		name  string
		bad   int
		slots int
	}{
		{"one of four", 1, 6},
		{"all of four", 4, 6},
		{"the only one", 1, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			var upstreams []string
			for i := range 4 {
				if x.name == "the only one" && i > 0 {
					break
				}
				h := func(http.ResponseWriter, *http.Request) {}
				if i < x.bad {
					h = failRequests
				}
				s := httptest.NewServer(http.HandlerFunc(h))
				defer s.Close()
				upstreams = append(upstreams, s.Listener.Addr().String())
			}
			o, _ := newOwner(settings(2, 10, upstreams...))
			for range 200 {
				r := o.Run(context.Background(), call("x", nil, io.Discard))
				is.Equal(r.Outcome, exchanger.Answered)
			}
			_, slots := o.Free(key)
			is.Equal(slots, x.slots)
			is.Equal(o.Pools()[key].Load().Ejections > 0, x.slots != len(upstreams)*2)
		})
	}
}
