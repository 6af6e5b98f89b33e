package pooler_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// testDialer is a dialer that counts its dials. The nth dial connects if connects returns
// true for n, and otherwise hangs until unblock is closed.
type testDialer struct {
	dials    atomic.Int64
	connects func(nth int64) bool
	unblock  chan struct{}
}

// newTestDialer returns a testDialer whose hanging dials end with the test.
func newTestDialer(t *testing.T, connects func(nth int64) bool) *testDialer {
	t.Helper()
	d := &testDialer{connects: connects, unblock: make(chan struct{})}
	t.Cleanup(func() { close(d.unblock) })
	return d
}

func (d *testDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if !d.connects(d.dials.Add(1)) {
		select {
		case <-d.unblock:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// newOwnerWithDialer is like newOwner, but connects to the upstreams with d.
func newOwnerWithDialer(s *resolver.Service, d *testDialer) *pooler.Owner {
	c := &clock{}
	o := &pooler.Owner{Clock: timekeeper.Clock{Monotonic: c.reading}, Dial: d.dial}
	ownUpstreams(o, c, s)
	return o
}

// start starts calls and returns a channel that receives their results.
func start(ctx context.Context, o *pooler.Owner, calls int) chan exchanger.Result {
	results := make(chan exchanger.Result, calls)
	for range calls {
		go func() { results <- o.Run(ctx, call("x", nil, io.Discard)) }()
	}
	return results
}

// awaitBusy waits until the given number of slots is busy.
func awaitBusy(o *pooler.Owner, busy int) {
	for o.Pools()[key].Load().Busy != busy {
		runtime.Gosched()
	}
}

// TestOvertakenDialsAreCounted checks that pending dials count as connections. Only the
// first dial succeeds, and each call gets that connection before its own dial ends. Further
// calls must not start dials beyond the number of slots and one spare.
func TestOvertakenDialsAreCounted(t *testing.T) {
	is := is.New(t)
	const slots = 3
	address, entered, leave := startBlocking(t)
	d := newTestDialer(t, func(nth int64) bool { return nth == 1 })
	o := newOwnerWithDialer(settings(slots, 10, address), d)
	for range 10 {
		results := start(context.Background(), o, slots)
		awaitBusy(o, slots)
		for range slots {
			<-entered
			leave <- struct{}{}
		}
		for range slots {
			is.Equal((<-results).Outcome, exchanger.Answered)
		}
	}
	dials := d.dials.Load()
	t.Log("dials:", dials)
	is.True(dials <= slots+1)
}

// TestHungDialHoldsNoSlot checks that all slots remain usable while the dial of a call
// hangs, after the call itself was served over another connection.
func TestHungDialHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	const slots = 2
	address, entered, leave := startBlocking(t)
	d := newTestDialer(t, func(nth int64) bool { return nth != 2 })
	o := newOwnerWithDialer(settings(slots, 10, address), d)
	first := start(context.Background(), o, 1)
	<-entered
	second := start(context.Background(), o, 1)
	for d.dials.Load() != 2 {
		runtime.Gosched()
	}
	leave <- struct{}{}
	<-entered
	leave <- struct{}{}
	is.Equal((<-first).Outcome, exchanger.Answered)
	is.Equal((<-second).Outcome, exchanger.Answered)
	useAllSlots(t, o, slots, entered, leave)
}

// TestCancelledDialHoldsNoSlot checks that all slots are usable after calls with hanging
// dials were cancelled, more of them than an upstream may have connections.
func TestCancelledDialHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	const slots, cancelled = 2, 10
	address, entered, leave := startBlocking(t)
	d := newTestDialer(t, func(nth int64) bool { return nth > cancelled })
	o := newOwnerWithDialer(settings(slots, 10, address), d)
	for i := range int64(cancelled) {
		ctx, cancel := context.WithCancel(context.Background())
		results := start(ctx, o, 1)
		for d.dials.Load() != i+1 {
			runtime.Gosched()
		}
		cancel()
		is.Equal((<-results).Outcome, exchanger.NotRun)
	}
	useAllSlots(t, o, slots, entered, leave)
}

// TestProbeNeedsNoSlot checks that a probe succeeds while all connections for requests
// are in use or hang in their dial.
func TestProbeNeedsNoSlot(t *testing.T) {
	is := is.New(t)
	const slots = 2
	entered, leave := make(chan struct{}, 10), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			return
		}
		entered <- struct{}{}
		<-leave
	}))
	t.Cleanup(s.Close)
	d := newTestDialer(t, func(nth int64) bool { return nth != 2 })
	o := newOwnerWithDialer(settings(slots, 10, s.Listener.Addr().String()), d)
	probed := make(chan bool, 10)
	o.Probed = func(_ pooler.Key, _ string, ok bool) { probed <- ok }
	first := start(context.Background(), o, 1)
	<-entered
	second := start(context.Background(), o, 1)
	for d.dials.Load() != 2 {
		runtime.Gosched()
	}
	leave <- struct{}{}
	<-entered
	is.Equal((<-first).Outcome, exchanger.Answered)
	third := start(context.Background(), o, 1)
	<-entered
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go o.RunUpkeep(ctx)
	is.True(<-probed)
	close(leave)
	is.Equal((<-second).Outcome, exchanger.Answered)
	is.Equal((<-third).Outcome, exchanger.Answered)
}
