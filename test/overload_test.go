package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/pkg/finder"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestEntryShedsExportsFirst fills an entry with a limit of eight requests in flight: exports are
// refused from the fifth on, short requests from the ninth.
func TestEntryShedsExportsFirst(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/x" {
			<-release
		}
	})
	ledger, depot := httptest.NewServer(handler), httptest.NewServer(handler)
	defer ledger.Close()
	defer depot.Close()
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: startPlatform(t),
		extraSettings: "MostInFlight = 8"})
	d.applySettings(1, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 20\n"+
		"[Region.erie.Domain.a.Service.manifest-depot]\nUpstreams = [%q]\nSlots = 20\nClass = \"export\"\n", ledger.Listener.Addr(), depot.Listener.Addr()))
	eventually(t, "all slots are owned", func() bool { return totalSlots(d) == 40 })
	outcomes := make(chan string, 20)
	sendOne := func(service string) {
		resp, err := d.send(context.Background(), http.MethodGet, service, "/x", nil)
		if err != nil {
			outcomes <- err.Error()
			return
		}
		resp.Body.Close()
		outcomes <- resp.Header.Get("Gullvale-Outcome")
	}
	fill := func(service string, upTo int) {
		for range 4 {
			go sendOne(service)
		}
		eventually(t, fmt.Sprint(upTo, " requests in flight"), func() bool { return d.metric("in_flight") == float64(upTo) })
	}
	expectRefused := func(service string) {
		resp, err := d.send(context.Background(), http.MethodGet, service, "/x", nil)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get("Gullvale-Outcome"), "not-run")
		is.Equal(resp.Header.Get("Gullvale-Reason"), "too many requests at the entry")
		is.True(resp.Header.Get("Retry-After") != "")
	}
	fill("manifest-depot", 4)
	expectRefused("manifest-depot")
	fill("keg-ledger", 8)
	expectRefused("keg-ledger")
	expectRefused("manifest-depot")
	close(release)
	for range 8 {
		is.Equal(<-outcomes, "answered")
	}
}

// BenchmarkOverload offers up to ten times the capacity of the upstreams, with a deadline of half a
// second: goodput is the answered rate as a fraction of what 12 slots of 50 ms can serve, unknown
// the number of requests abandoned while they ran.
func BenchmarkOverload(b *testing.B) {
	const capacity = 12 / 0.05
	for _, load := range []float64{0.8, 1, 1.5, 3, 10} {
		b.Run(fmt.Sprint(load), func(b *testing.B) {
			var upstreams []string
			for range 2 {
				upstreams = append(upstreams, startUpstream(b, "--service-millis", "50"))
			}
			all := startThreeDaemons(b, startPlatform(b))
			all[0].applySettings(3, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q, %q]\nSlots = 6\n", upstreams[0], upstreams[1]))
			eventually(b, "all slots are owned", func() bool { return totalSlots(all...) == 12 })
			for b.Loop() {
				offerLoad(b, load*capacity, all, capacity)
			}
		})
	}
}

// offerLoad sends requests at the given rate for 10 s and reports their outcomes.
func offerLoad(b *testing.B, rate float64, daemons []*daemon, capacity float64) {
	b.Helper()
	const duration = 10 * time.Second
	var seeds []string
	for _, d := range daemons {
		seeds = append(seeds, d.callers)
	}
	f := &finder.Finder{Seeds: seeds, HTTP: caller.NewClient(nil)}
	var load caller.Load
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	load.Run(ctx, caller.Stream{
		Class: "short", Service: "keg-ledger", Rate: rate, PostFraction: 0.5, Bytes: 500,
		Deadline: timekeeper.Second / 2, Blocks: []string{""},
		Finder: func(string) *finder.Finder { return f }, Seed: 7,
	})
	load.Wait()
	for _, d := range daemons {
		b.Logf("%s: owned %v, %.0f ejections", d.name, d.status().Owned, d.metric("upstream_ejections"))
	}
	for _, a := range load.Accounts() {
		b.Logf("%v", a.Reasons)
		b.ReportMetric(float64(a.Answered)/duration.Seconds()/capacity, "goodput")
		b.ReportMetric(float64(a.Unknown), "unknown")
		b.ReportMetric(float64(a.NotRun), "not-run")
		b.ReportMetric(float64(a.Latency.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(a.Latency.ValueAtQuantile(99))/1000, "p99-ms")
	}
}
