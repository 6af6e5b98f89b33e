package pooler_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// gate is a dialer whose dials hang until it is opened, but for those that may
// pass.
type gate struct {
	begun  atomic.Int64
	passes func(nth int64) bool
	open   chan struct{}
}

// newGate returns a gate that opens when the test ends.
func newGate(t *testing.T, passes func(nth int64) bool) *gate {
	t.Helper()
	g := &gate{passes: passes, open: make(chan struct{})}
	t.Cleanup(func() { close(g.open) })
	return g
}

func (g *gate) dial(ctx context.Context, address string) (net.Conn, error) {
	if !g.passes(g.begun.Add(1)) {
		select {
		case <-g.open:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

// newGatedOwner is newOwner with connections through a gate.
func newGatedOwner(s *resolver.Service, g *gate) *pooler.Owner {
	c := &clock{}
	o := &pooler.Owner{Clock: timekeeper.Clock{Monotonic: c.reading}, Dial: g.dial}
	own(o, c, s)
	return o
}

// start begins calls, each of which sends its result.
func start(ctx context.Context, o *pooler.Owner, calls int) chan exchanger.Result {
	results := make(chan exchanger.Result, calls)
	for range calls {
		go func() { results <- o.Run(ctx, call("x", nil, io.Discard)) }()
	}
	return results
}

// awaitBusy waits until so many slots are held.
func awaitBusy(o *pooler.Owner, busy int) {
	for o.Pools()[key].Load().Busy != busy {
		runtime.Gosched()
	}
}

// TestOvertakenDialsAreCounted lets the first dial through while all others hang,
// so calls in threes are answered over one connection: each is given it before its
// own dial ends. Dials under way count as connections, so the next calls begin
// none beyond the slots and a spare one.
func TestOvertakenDialsAreCounted(t *testing.T) {
	is := is.New(t)
	const slots = 3
	address, entered, leave := startHeld(t)
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
	begun := g.begun.Load()
	t.Log("dials begun:", begun)
	is.True(begun <= slots+1)
}
