package prober_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/prober"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// network is a set of upstreams, some of which do not accept connections.
type network struct {
	*prober.Prober
	upstreams []*cataloger.Upstream
	changes   chan prober.Change

	lock   sync.Mutex
	down   map[string]bool
	hang   bool
	probes int
}

func newNetwork(t *testing.T, size int) *network {
	n := &network{down: map[string]bool{}, changes: make(chan prober.Change, 100)}
	var c cataloger.Catalog
	for i := range size {
		c.Put(cataloger.Upstream{
			ID: cataloger.UpstreamID(fmt.Sprint("u", i)), Address: fmt.Sprint("u", i), Site: registrar.Site(fmt.Sprint("east/", i%3)),
		})
	}
	all := c.Current().AllUsable()
	n.upstreams = slices.Collect(all.All())
	n.Prober = &prober.Prober{
		Upstreams: func() *cataloger.Pool { return all },
		Probe:     n.dial,
		Site:      "east/0",
		OnChange:  func(c prober.Change) { n.changes <- c },
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go n.Run(ctx)
	return n
}

// setDown makes the first upstreams refuse connections, or not respond to them.
func (n *network) setDown(count int, hang bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	clear(n.down)
	for _, u := range n.upstreams[:count] {
		n.down[u.Address] = true
	}
	n.hang = hang
}

func (n *network) dial(ctx context.Context, u *cataloger.Upstream) {
	began := n.Clock.Now()
	n.lock.Lock()
	n.probes++
	down, hang := n.down[u.Address], n.hang
	n.lock.Unlock()
	if down && hang {
		<-ctx.Done()
	}
	if down {
		n.RecordUnreached(u.Address)
		return
	}
	n.RecordReached(u.Address, began)
}

func (n *network) await(t *testing.T, cut bool) prober.Change {
	t.Helper()
	select {
	case c := <-n.changes:
		if c.Cut != cut {
			t.Fatalf("cut is %v", c.Cut)
		}
		return c
	case <-time.After(5 * time.Second):
		t.Fatalf("no change to %v", cut)
	}
	return prober.Change{}
}

// TestCutIsFoundAndEnds guards against a VM that does not notice that it reaches no upstream, or
// that it does again.
func TestCutIsFoundAndEnds(t *testing.T) {
	for _, size := range []int{1, 3, 44} {
		for _, hang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d upstreams, hang %v", size, hang), func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, size)
				n.setDown(size, hang)
				began := time.Now()
				n.RecordUnreached("u0")
				n.await(t, true)
				is.True(time.Since(began) < 500*time.Millisecond)
				is.True(n.Cut())
				n.setDown(0, false)
				n.await(t, false)
				is.True(!n.Cut())
				is.True(!n.Doubtful())
			})
		}
	}
}

// TestFailedUpstreamsAreNoCut guards against a VM that takes the failure of upstreams for a cut of
// its own links.
func TestFailedUpstreamsAreNoCut(t *testing.T) {
	for down, maxCut := range map[int]int{1: 0, 15: 0, 30: 20} {
		for _, hang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d of 45, hang %v", down, hang), func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, 45)
				n.setDown(down, hang)
				var dials sync.WaitGroup
				cut := 0
				for i := range 100 {
					dials.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
						defer cancel()
						n.dial(ctx, n.upstreams[i*7%45])
					})
					time.Sleep(10 * time.Millisecond)
					if n.Cut() {
						cut++
					}
				}
				dials.Wait()
				is.True(cut <= maxCut)
			})
		}
	}
}

// TestProbesAreBounded guards against a VM that is cut off and dials without bound.
func TestProbesAreBounded(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 44)
	n.setDown(44, false)
	n.RecordUnreached("u0")
	n.await(t, true)
	time.Sleep(time.Second)
	n.lock.Lock()
	defer n.lock.Unlock()
	is.True(n.probes <= 8+2*5)
}

// TestEarlierSuccessDisprovesNothing guards against an old dial or response that hides a cut.
func TestEarlierSuccessDisprovesNothing(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t, 3)
	n.setDown(3, true)
	before := n.Clock.Now() - 1
	n.RecordUnreached("u0")
	n.RecordReached("u1", before)
	n.RecordResponse("u2", before)
	n.await(t, true)
	is.True(n.Cut())
}

// TestSettle guards against a refused dial that is taken for the end of an upstream although all
// others refuse as well.
func TestSettle(t *testing.T) {
	is := is.New(t)
	settles := func(down int) bool {
		n := newNetwork(t, 12)
		n.setDown(down, false)
		n.RecordUnreached("u0")
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		return n.Settle(ctx)
	}
	is.True(settles(1))
	is.True(!settles(12))
	is.True(newNetwork(t, 12).Settle(context.Background())) // nothing failed
}
