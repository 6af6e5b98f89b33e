package pooler_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/standin/server"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// startPausing starts an upstream that refuses requests and asks for the current pause, or
// responds if that is "".
func startPausing(t *testing.T, pause *atomic.Value, arrived *atomic.Int64) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		if v := pause.Load().(string); v != "" {
			w.Header().Set(server.HeaderNotRun, "1")
			w.Header().Set("Retry-After", v)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestEarlierResponseDoesNotEndDraining guards against an upstream that gets requests again since
// a response that it made before it began to drain arrives afterwards.
func TestEarlierResponseDoesNotEndDraining(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}, 10), make(chan struct{})
	var draining atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if draining.Load() {
			w.Header().Set(server.HeaderDraining, "1")
			return
		}
		entered <- struct{}{}
		<-leave
	}))
	t.Cleanup(s.Close)
	o, c := newOwner(settings(4, 10, s.Listener.Addr().String()))
	earlier := start(context.Background(), o, 1)
	<-entered
	c.now.Add(1)
	draining.Store(true)
	is.Equal(o.Run(context.Background(), call("x", nil, io.Discard)).Outcome, exchanger.Answered)
	c.now.Add(1)
	leave <- struct{}{}
	is.Equal((<-earlier).Outcome, exchanger.Answered)
	c.now.Add(60000) // past any ramp-up
	r := o.Run(context.Background(), call("x", nil, io.Discard))
	is.Equal(r.Outcome, exchanger.NotRun)
	is.Equal(r.Reason, exchanger.ReasonNoUpstream)
}

// TestPausedUpstreamGetsNoCalls guards against calls to an upstream within the pause that it asked
// for, against a shorter pause that ends a longer one, and against calls that wait for a pause.
func TestPausedUpstreamGetsNoCalls(t *testing.T) {
	is := is.New(t)
	var pause atomic.Value
	var arrived atomic.Int64
	pause.Store("")
	set := settings(4, 10, startPausing(t, &pause, &arrived))
	o, c := newOwner(set)
	is.Equal(o.Run(context.Background(), call("x", nil, io.Discard)).Outcome, exchanger.Answered)
	for _, v := range []string{"3", "20.5"} {
		pause.Store(v)
		r := o.Run(context.Background(), call("x", nil, io.Discard))
		is.Equal(r.Reason, exchanger.ReasonUpstreamRefused)
		is.True(r.RetryAfter >= 3000)
		before := arrived.Load()
		length := map[string]timekeeper.Millis{"3": 3000, "20.5": 20500}[v]
		for range 4 {
			r := o.Run(context.Background(), call("x", nil, io.Discard))
			is.Equal(r.Reason, exchanger.ReasonNoUpstream)
			is.True(r.RetryAfter >= length-1) // it says when the upstream takes work again
			c.now.Add(int64(length) / 5)
			length -= length / 5
		}
		is.Equal(arrived.Load(), before)
		c.now.Add(int64(length))
	}
}

// TestPauseSurvivesChangeOfOwnership guards against a pause that is forgotten when the upstream is
// removed and owned again, as on a reload.
func TestPauseSurvivesChangeOfOwnership(t *testing.T) {
	is := is.New(t)
	var pause atomic.Value
	var arrived atomic.Int64
	pause.Store("100")
	set := settings(4, 10, startPausing(t, &pause, &arrived))
	o, c := newOwner(set)
	is.Equal(o.Run(context.Background(), call("x", nil, io.Discard)).Reason, exchanger.ReasonUpstreamRefused)
	before := arrived.Load()
	o.SetUpstreams(map[pooler.Key]pooler.PoolConfig{key: {Settings: set}})
	ownUpstreams(o, c, set) // 60 s
	is.Equal(o.Run(context.Background(), call("x", nil, io.Discard)).Reason, exchanger.ReasonNoUpstream)
	is.Equal(arrived.Load(), before)
	c.now.Add(40_000)
	pause.Store("")
	is.Equal(o.Run(context.Background(), call("x", nil, io.Discard)).Outcome, exchanger.Answered)
}

// TestQueuedCallsAreRefusedWhenAllUpstreamsPause guards against calls that wait in the queue until
// their deadline, since the pause that ends their wait began after they queued.
func TestQueuedCallsAreRefusedWhenAllUpstreamsPause(t *testing.T) {
	is := is.New(t)
	entered, leave := make(chan struct{}, 10), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-leave
		w.Header().Set(server.HeaderNotRun, "1")
		w.Header().Set("Retry-After", "30")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	o, _ := newOwner(settings(1, 10, s.Listener.Addr().String()))
	results := start(context.Background(), o, 4)
	<-entered
	leave <- struct{}{}
	reasons := map[exchanger.Reason]int{}
	for range 4 {
		r := <-results
		is.Equal(r.Outcome, exchanger.NotRun)
		is.True(r.RetryAfter >= 30_000)
		reasons[r.Reason]++
	}
	is.Equal(reasons, map[exchanger.Reason]int{exchanger.ReasonUpstreamRefused: 1, exchanger.ReasonNoUpstream: 3})
	is.Equal(len(entered), 0)
}
