package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/forwarder"
	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	site    registrar.Site       = "erie/a"
	service resolver.ServiceName = "keg-ledger"
)

// newForwarder is the only daemon of a site with one upstream.
func newForwarder(t *testing.T, upstream http.HandlerFunc) *forwarder.Forwarder {
	t.Helper()
	u := httptest.NewServer(upstream)
	t.Cleanup(u.Close)
	tree, problems := resolver.Tree{}.Apply([]resolver.Edit{
		{Path: string(site) + ":" + string(service), Key: resolver.KeyUpstreams, Value: resolver.Value(u.Listener.Addr().String())},
	})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	settings := tree.Resolve()
	self := registrar.Member{Incarnation: "a", Site: site}
	view := registrar.NewView([]registrar.Roster{{Region: site.Region(), Members: []registrar.Member{self}}})
	var blocks locator.Builder
	snapshot, err := steerer.Build(steerer.Parts{Settings: settings, View: view, Table: blocks.Table(), Home: site, Self: self})
	if err != nil {
		t.Fatal(err)
	}
	var now atomic.Int64
	clock := timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Millis(now.Load()) }}
	owner := &pooler.Owner{Clock: clock}
	set := settings.At(site, service)
	for _, a := range owner.Set(map[pooler.Key]pooler.Owned{{Site: site, Service: service}: {Settings: set, Upstreams: set.Upstreams}}) {
		owner.Claimed(a, 0)
	}
	now.Add(int64(timekeeper.Hour))
	return &forwarder.Forwarder{
		Base: t.Context(), Clock: clock, Owner: owner, Meter: measurer.New(),
		Self:     func() registrar.Member { return self },
		Snapshot: func() *steerer.Snapshot { return snapshot },
	}
}

// TestDoubtStays has the only upstream take a request and break off. Nobody is left
// to try it, which does not mean that it did not run.
func TestDoubtStays(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int64
			f := newForwarder(t, func(http.ResponseWriter, *http.Request) {
				ran.Add(1)
				panic(http.ErrAbortHandler)
			})
			c := &exchanger.Call{
				Head:  exchanger.Head{Service: service, Site: site, Method: method, Target: "/x", Host: "s", Header: http.Header{}},
				Start: func(exchanger.Answer) error { return nil },
				Write: func([]byte) error { return nil },
			}
			r := f.RunLinked(context.Background(), c, true)
			is.Equal(r.Outcome, exchanger.Unknown)
			is.True(ran.Load() >= 1)
		})
	}
}
