package pooler_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestDetourStaysBelowLimit fills half of the slots, which is the limit, with requests
// from another site. Further ones are refused, while requests of this site are served.
func TestDetourStaysBelowLimit(t *testing.T) {
	is := is.New(t)
	address, entered, leave := startBlocking(t)
	set := settings(4, 10, address)
	set.Limit = 0.5
	o, _ := newOwner(set)
	results := make(chan exchanger.Result, 10)
	run := func(detour bool) {
		c := call("x", nil, io.Discard)
		c.Detour = detour
		results <- o.Run(context.Background(), c)
	}
	for range 2 {
		go run(true)
		<-entered
	}
	run(true)
	r := <-results
	is.Equal(r.Outcome, exchanger.NotRun)
	is.Equal(r.Reason, exchanger.ReasonAtLimit)
	go run(false)
	<-entered
	close(leave)
	for range 3 {
		is.Equal((<-results).Outcome, exchanger.Answered)
	}
}

// TestRequestsAreRefusedWhileAllUpstreamsAreDown checks that a pool whose only upstream
// refuses connections does not queue requests: after the first failed dial they are refused
// until the back-off ends, with the remaining back-off as the retry delay.
func TestRequestsAreRefusedWhileAllUpstreamsAreDown(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	o, c := newOwner(settings(4, 10, address))
	r := o.Run(context.Background(), call("x", nil, io.Discard))
	is.Equal(r.Reason, exchanger.ReasonUpstreamUnreachable)
	r = o.Run(context.Background(), call("x", nil, io.Discard))
	is.Equal(r.Outcome, exchanger.NotRun)
	is.Equal(r.Reason, exchanger.ReasonNoUpstream)
	is.Equal(r.RetryAfter, 250*timekeeper.Millis(1))
	c.now.Add(250)
	r = o.Run(context.Background(), call("x", nil, io.Discard))
	is.Equal(r.Reason, exchanger.ReasonUpstreamUnreachable)
}
