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

// gate is a dialer whose dials hang until it is opened, except those for which passes
// returns true.
type gate struct {
	dials  atomic.Int64
	passes func(nth int64) bool
	open   chan struct{}
}

// newGate returns a gate that opens at the end of the test.
func newGate(t *testing.T, passes func(nth int64) bool) *gate {
	t.Helper()
	g := &gate{passes: passes, open: make(chan struct{})}
	t.Cleanup(func() { close(g.open) })
	return g
}

func (g *gate) dial(ctx context.Context, address string) (net.Conn, error) {
	if !g.passes(g.dials.Add(1)) {
		select {
		case <-g.open:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// newGatedOwner is newOwner with connections that are dialled through a gate.
func newGatedOwner(s *resolver.Service, g *gate) *pooler.Owner {
	c := &clock{}
	o := &pooler.Owner{Clock: timekeeper.Clock{Monotonic: c.reading}, Dial: g.dial}
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
// first dial succeeds, so each call gets its connection before its own dial ends. Further
// calls must not start dials beyond the number of slots and one spare.
func TestOvertakenDialsAreCounted(t *testing.T) {
	is := is.New(t)
	const slots = 3
	address, entered, leave := startBlocking(t)
	g := newGate(t, func(nth int64) bool { return nth == 1 })
	o := newGatedOwner(settings(slots, 10, address), g)
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
	dials := g.dials.Load()
	t.Log("dials:", dials)
	is.True(dials <= slots+1)
}

// TestHungDialHoldsNoSlot checks that all slots remain usable while the dial of a call
// hangs that was served over another connection.
func TestHungDialHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	const slots = 2
	address, entered, leave := startBlocking(t)
	g := newGate(t, func(nth int64) bool { return nth != 2 })
	o := newGatedOwner(settings(slots, 10, address), g)
	first := start(context.Background(), o, 1)
	<-entered
	second := start(context.Background(), o, 1)
	for g.dials.Load() != 2 {
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
	g := newGate(t, func(nth int64) bool { return nth > cancelled })
	o := newGatedOwner(settings(slots, 10, address), g)
	for i := range int64(cancelled) {
		ctx, cancel := context.WithCancel(context.Background())
		results := start(ctx, o, 1)
		for g.dials.Load() != i+1 {
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
	g := newGate(t, func(nth int64) bool { return nth != 2 })
	o := newGatedOwner(settings(slots, 10, s.Listener.Addr().String()), g)
	probed := make(chan bool, 10)
	o.Probed = func(_ pooler.Key, _ string, ok bool) { probed <- ok }
	first := start(context.Background(), o, 1)
	<-entered
	second := start(context.Background(), o, 1)
	for g.dials.Load() != 2 {
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
