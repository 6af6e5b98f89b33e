package claimer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/process/claimer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/standin/server"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
)

const (
	site    = "erie/a"
	service = "s"
	slots   = 3
	nodes   = 3
	servers = 4
)

// node is a daemon reduced to the transfer of upstreams.
type node struct {
	member  registrar.Member
	owner   *pooler.Owner
	links   *linker.Manager
	claimer *claimer.Claimer
}

func newNode(ctx context.Context, t *testing.T, n int) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x := &node{member: registrar.Member{Incarnation: registrar.Incarnation(fmt.Sprint("i", n)), Site: site, Links: l.Addr().String()}}
	self := func() registrar.Member { return x.member }
	x.owner = &pooler.Owner{}
	x.links = &linker.Manager{Self: self, Control: x.control, Serve: func(ctx context.Context, c *exchanger.Call, _ bool) exchanger.Result {
		return x.owner.Run(ctx, c)
	}}
	x.claimer = &claimer.Claimer{Self: self, Owner: x.owner, Links: x.links}
	go x.links.Accept(ctx, l)
	return x
}

func (x *node) control(s *linker.Session, f framer.Frame) {
	switch f.Kind {
	case framer.KindClaim:
		var m framer.Claim
		if f.Decode(&m) == nil {
			_ = s.Send(framer.KindReleased, x.claimer.HandleClaim(&m))
		}
	case framer.KindReleased:
		var m framer.Released
		if f.Decode(&m) == nil {
			x.claimer.HandleReleased(&m)
		}
	}
}

// TestTransferNeverExceedsUpstreamSlots marks daemons as leaving and not leaving under
// load, and delivers each change to the daemons at different times. No upstream may ever
// receive more requests at once than it has slots, and in the end each must have exactly
// one owner.
func TestTransferNeverExceedsUpstreamSlots(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var upstreams []*server.Server
	var addresses []string
	for range servers {
		u := &server.Server{Slots: slots, ServiceMillis: 3}
		h := httptest.NewServer(u)
		defer h.Close()
		upstreams = append(upstreams, u)
		addresses = append(addresses, h.Listener.Addr().String())
	}
	settings := settingsFor(t, addresses)
	var all []*node
	for n := range nodes {
		all = append(all, newNode(ctx, t, n))
	}
	random := rand.New(rand.NewPCG(1, 2))
	leaving := make([]bool, nodes)
	version := uint64(0)
	deliver := func() {
		version++
		view := viewOf(all, leaving)
		versions := map[string]uint64{"erie": version}
		for _, n := range random.Perm(nodes) {
			all[n].claimer.Set(view, versions, settings)
			time.Sleep(rand.N(3 * time.Millisecond))
		}
	}
	deliver()
	for _, x := range all {
		go x.claimer.Run(ctx)
		go x.owner.RunUpkeep(ctx)
	}
	var answered atomic.Int64
	var load sync.WaitGroup
	for w := range 40 {
		load.Add(1)
		go func() {
			defer load.Done()
			runLoad(ctx, all, w, &answered)
		}()
	}
	for range 25 {
		n := random.IntN(nodes)
		leaving[n] = !leaving[n]
		deliver()
		before := answered.Load()
		waitFor(t, "more requests are answered", func() bool { return answered.Load() > before+20 })
	}
	clear(leaving)
	deliver()
	waitFor(t, "each slot has exactly one owner", func() bool { return ownedSlots(all) == slots*servers })
	cancel()
	load.Wait()
	for _, u := range upstreams {
		c := u.Counts()
		is.Equal(c.Shed, int64(0))
		is.True(c.Peak <= slots)
		is.True(c.Served > 0)
	}
}

func settingsFor(t *testing.T, addresses []string) *resolver.Resolved {
	t.Helper()
	list := ""
	for _, a := range addresses {
		list += a + ","
	}
	tree, problems := resolver.Tree{}.Apply([]resolver.Edit{
		{Path: site + ":" + service, Key: resolver.KeyUpstreams, Value: resolver.Value(list)},
		{Path: "/", Key: resolver.KeySlots, Value: resolver.Value(fmt.Sprint(slots))},
	})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return tree.Resolve()
}

func viewOf(all []*node, leaving []bool) *registrar.View {
	r := registrar.Roster{Region: "erie"}
	for n, x := range all {
		m := x.member
		m.Leaving = leaving[n]
		r.Members = append(r.Members, m)
	}
	return registrar.NewView([]registrar.Roster{r})
}

// runLoad sends requests to all daemons in turn.
func runLoad(ctx context.Context, all []*node, w int, answered *atomic.Int64) {
	for i := 0; ctx.Err() == nil; i++ {
		x := all[(w+i)%len(all)]
		r := x.owner.Run(ctx, &exchanger.Call{
			Head: exchanger.Head{
				Service: service, Site: site, Method: http.MethodPost, Header: http.Header{},
				Target: fmt.Sprintf("/x?Token=%d-%d&Bytes=10", w, i),
			},
			Start: func(exchanger.Response) error { return nil },
			Write: func(p []byte) error {
				_, err := io.Discard.Write(p)
				return err
			},
		})
		if r.Outcome == exchanger.Answered {
			answered.Add(1)
		} else {
			time.Sleep(time.Millisecond)
		}
	}
}

func ownedSlots(all []*node) int {
	total := 0
	for _, x := range all {
		_, n := x.owner.Free(pooler.Key{Site: site, Service: service})
		total += n
	}
	return total
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(time.Minute)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
