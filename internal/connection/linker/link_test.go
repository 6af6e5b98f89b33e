package linker_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

var poolKey = pooler.Key{Site: "erie/a", Service: "keg-ledger"}

// manualClock is a clock that only the test advances.
type manualClock struct{ now atomic.Int64 }

func (s *manualClock) newClock() timekeeper.Clock {
	s.now.Store(1000)
	return timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Millis(s.now.Load()) }}
}

// connectManagers starts two managers and returns them with the link between them.
func connectManagers(t testing.TB, clock timekeeper.Clock) (from, to *linker.Manager, p *linker.Peer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	member := registrar.Member{Incarnation: "b", Site: "erie/a", Links: l.Addr().String()}
	from = &linker.Manager{Clock: clock, Self: func() registrar.Member {
		return registrar.Member{Incarnation: "a", Site: "erie/a"}
	}}
	accepted := make(chan struct{})
	// The link is dialled again if it ends.
	var once sync.Once
	to = &linker.Manager{
		Clock:    clock,
		Self:     func() registrar.Member { return member },
		Accepted: func(*linker.Session) { once.Do(func() { close(accepted) }) },
		Serve: func(context.Context, *exchanger.Call, bool) exchanger.Result {
			return exchanger.Result{Outcome: exchanger.Answered, Whole: true, Upstream: "u"}
		},
		FreeSlots: func(pooler.Key) (int, int) { return 5, 12 },
	}
	go to.Accept(ctx, l)
	p = from.Peer(ctx, member)
	if !p.Await(ctx) {
		t.Fatal("link not established")
	}
	<-accepted
	return from, to, p
}

// TestRequestsUseLinkDialledByTheOtherSide sends requests to a member that refuses
// connections, over the link that the member itself dialled. They are refused once that
// link is closed.
func TestRequestsUseLinkDialledByTheOtherSide(t *testing.T) {
	is := is.New(t)
	var s manualClock
	from, to, dialled := connectManagers(t, s.newClock())
	from.Serve = func(_ context.Context, _ *exchanger.Call, relay bool) exchanger.Result {
		is.True(relay)
		return exchanger.Result{Outcome: exchanger.Answered, Whole: true, Upstream: "v"}
	}
	refusing := registrar.Member{Incarnation: "a", Site: "erie/a", Links: "127.0.0.1:1"}
	back := to.Peer(context.Background(), refusing)
	is.True(back.Await(context.Background()))
	is.True(back.Responsive())
	is.True(!back.Terminated())
	r := back.Run(context.Background(), call(), true)
	is.Equal(r.Outcome, exchanger.Answered)
	is.Equal(r.Upstream, "v")
	is.Equal(dialled.Run(context.Background(), call(), false).Upstream, "u")

	from.RetainPeers(func(registrar.Incarnation, time.Duration) bool { return false })
	for back.Up() {
		time.Sleep(time.Millisecond)
	}
	is.Equal(back.Run(context.Background(), call(), true).Reason, exchanger.ReasonLinkUnreachable)
	is.True(to.RetainPeers(func(registrar.Incarnation, time.Duration) bool { return false }) > 0)
}

func call() *exchanger.Call {
	return &exchanger.Call{
		Head:  exchanger.Head{ID: "1", Site: poolKey.Site, Service: poolKey.Service, Method: "GET", Target: "/"},
		Start: func(exchanger.Response) error { return nil },
		Write: func([]byte) error { return nil },
	}
}

// TestEndFrameCarriesFreeSlots runs one request over a link. Its End frame reports the free
// slots, so that no frame on the control stream is needed.
func TestEndFrameCarriesFreeSlots(t *testing.T) {
	is := is.New(t)
	var s manualClock
	_, to, p := connectManagers(t, s.newClock())
	frames := to.Counters().Frames.Load()
	r := p.Run(context.Background(), call(), false)
	is.Equal(r.Outcome, exchanger.Answered)
	free, slots := p.FreeSlots(poolKey)
	is.Equal(free, 5)
	is.Equal(slots, 12)
	is.Equal(to.Counters().Frames.Load(), frames)
	// A value that the remote end already has is not announced. A very different one is.
	is.True(to.AnnounceFreeSlots(poolKey, 5, 12))
	is.Equal(to.Counters().Frames.Load(), frames)
	is.True(to.AnnounceFreeSlots(poolKey, 0, 12))
	is.Equal(to.Counters().Frames.Load(), frames+1)
}

// TestAnnouncementsAreRateLimited changes the free slots far more often than the rate limit
// allows. AnnounceFreeSlots reports false for the changes that it did not announce, and
// succeeds again later.
func TestAnnouncementsAreRateLimited(t *testing.T) {
	is := is.New(t)
	var s manualClock
	_, to, _ := connectManagers(t, s.newClock())
	before := to.Counters().ControlOut.Load()
	refused := 0
	for i := range 2000 {
		if !to.AnnounceFreeSlots(poolKey, 12*(i%2), 12) {
			refused++
		}
	}
	is.True(refused > 900)
	is.True(to.Counters().ControlOut.Load()-before <= 5<<10)
	s.now.Add(1000)
	announced := to.AnnounceFreeSlots(poolKey, 0, 12) && to.AnnounceFreeSlots(poolKey, 12, 12)
	is.True(announced)
}

// TestLinkWithoutRecentRepliesIsPinged advances the clock after a request, so that the link
// has no recent replies. The link is pinged, and the remote end replies.
func TestLinkWithoutRecentRepliesIsPinged(t *testing.T) {
	is := is.New(t)
	var s manualClock
	from, _, p := connectManagers(t, s.newClock())
	is.Equal(p.Run(context.Background(), call(), false).Outcome, exchanger.Answered)
	is.Equal(from.Counters().Pings.Load(), uint64(0))
	s.now.Add(300)
	for from.Counters().Pings.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(p.Responsive())
}

// TestShortAnswersAreWhole closes the link in the middle of a response. No part of a
// short response may have been passed on, so that the request can be retried.
func TestShortAnswersAreWhole(t *testing.T) {
	for _, c := range []struct {
		length  int64
		outcome exchanger.Outcome
		started bool
	}{{20, exchanger.Unknown, false}, {1 << 20, exchanger.Answered, true}, {-1, exchanger.Answered, true}} {
		t.Run(fmt.Sprint(c.length), func(t *testing.T) {
			is := is.New(t)
			var s manualClock
			from, to, p := connectManagers(t, s.newClock())
			returned := make(chan struct{})
			to.Serve = func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
				is.NoErr(x.Start(exchanger.Response{Status: 200, Length: c.length}))
				is.NoErr(x.Write(make([]byte, 10)))
				for _, s := range to.AcceptedSessions() {
					s.Close()
				}
				<-returned
				return exchanger.Result{}
			}
			started := false
			x := call()
			x.Start = func(exchanger.Response) error {
				started = true
				return nil
			}
			r := p.Run(context.Background(), x, false)
			close(returned)
			is.Equal(r.Outcome, c.outcome)
			is.Equal(started, c.started)
			is.True(!r.Whole)
			is.True(from.Counters().Lost.Load() == 1)
		})
	}
}

// TestAnswersArePaced checks that Pace is called for every chunk of a response.
func TestAnswersArePaced(t *testing.T) {
	is := is.New(t)
	var s manualClock
	_, to, p := connectManagers(t, s.newClock())
	var paced atomic.Int64
	to.Pace = func(_ context.Context, m registrar.Member, c *exchanger.Call, n int) error {
		is.Equal(m.Incarnation, registrar.Incarnation("a"))
		is.Equal(pooler.KeyOf(c), poolKey)
		paced.Add(int64(n))
		return nil
	}
	to.Serve = func(_ context.Context, c *exchanger.Call, _ bool) exchanger.Result {
		is.NoErr(c.Start(exchanger.Response{Status: 200, Length: 30}))
		for range 3 {
			is.NoErr(c.Write(make([]byte, 10)))
		}
		return exchanger.Result{Outcome: exchanger.Answered, Whole: true}
	}
	c := call()
	got := 0
	c.Write = func(b []byte) error {
		got += len(b)
		return nil
	}
	r := p.Run(context.Background(), c, false)
	is.True(r.Whole)
	is.Equal(got, 30)
	is.Equal(paced.Load(), int64(30))
}
