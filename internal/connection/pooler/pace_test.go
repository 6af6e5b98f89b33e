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

// TestNoTimeIsRefusedAtOnce has one slot that is held for a second at a time: a
// request with less time than that is refused before it waits, and told when to
// come back; one with enough time waits and is answered.
func TestNoTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	address, entered, leave := startHeld(t)
	o, c := newOwner(settings(1, 10, address))
	results := make(chan exchanger.Result, 2)
	run := func() { results <- o.Run(context.Background(), call("x", nil, io.Discard)) }
	// The first request teaches the pool its pace.
	go run()
	<-entered
	c.now.Add(1000)
	leave <- struct{}{}
	is.Equal((<-results).Outcome, exchanger.Answered)
	go run()
	<-entered
	hasty := call("y", nil, io.Discard)
	hasty.Deadline = c.reading() + 1500
	r := o.Run(context.Background(), hasty)
	is.Equal(r.Outcome, exchanger.NotRun)
	is.Equal(r.Reason, exchanger.ReasonNoTime)
	is.True(r.RetryAfter > 0)
	patient := call("z", nil, io.Discard)
	patient.Deadline = c.reading() + 60000
	go func() { results <- o.Run(context.Background(), patient) }()
	for free, _ := o.Free(key); free != -1; free, _ = o.Free(key) {
		_ = free // it waits in line as soon as free is -1
	}
	leave <- struct{}{}
	<-entered
	leave <- struct{}{}
	is.Equal((<-results).Outcome, exchanger.Answered)
	is.Equal((<-results).Outcome, exchanger.Answered)
}

// failing answers every request but probes with an error.
func failing(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/health" {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// TestFailingUpstreamIsLeftAlone has one upstream of four fail everything, and
// then all of them: the one is taken out, the rest never are below two thirds.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
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
					h = failing
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
