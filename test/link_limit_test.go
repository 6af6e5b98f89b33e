package integration_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/pkg/finder"
)

// BenchmarkExports sends exports and short requests between two regions over a link of 2 MB/s that
// the exports alone would saturate, without and with an export rate limit, and reports the latency
// of both classes.
func BenchmarkExports(b *testing.B) {
	const link = 2000 // KB/s
	for _, rate := range []int{0, 1500000, 1000000} {
		b.Run(fmt.Sprint("limit=", rate), func(b *testing.B) {
			address := startPlatform(b)
			far, p := startBehindProxy(b, daemonOptions{name: "michigan-a", region: "michigan", domain: "a", platform: address})
			near := startDaemon(b, daemonOptions{name: "erie-a", region: "erie", domain: "a", platform: address})
			far.applySettings(2, fmt.Sprintf("ExportBytesPerSecond = %d\n[Region.michigan.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 20\n"+
				"[Region.michigan.Domain.a.Service.manifest-depot]\nUpstreams = [%q]\nSlots = 20\nClass = \"export\"\n",
				rate, startUpstream(b), startUpstream(b)))
			eventually(b, "all slots are owned", func() bool { return totalSlots(far) == 40 })
			p.addToxic(fmt.Sprintf(`{"type":"bandwidth","stream":"downstream","attributes":{"rate":%d}}`, link))
			for b.Loop() {
				runMixedLoad(b, near)
			}
		})
	}
}

// runMixedLoad sends both classes of requests through one entry and reports their latency.
func runMixedLoad(b *testing.B, entry *daemon) {
	b.Helper()
	// Lookups would return entries near the upstreams; all connections go to this entry instead.
	dialEntry := func(ctx context.Context, network, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, network, entry.callers)
	}
	f := &finder.Finder{Seeds: []string{entry.callers}, HTTP: caller.NewClient(dialEntry)}
	var load caller.Load
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stream := caller.Stream{Blocks: []string{""}, Finder: func(string) *finder.Finder { return f }, Deadline: 60000}
	short, export := stream, stream
	short.Class, short.Service, short.Rate, short.Bytes, short.Seed = "short", "keg-ledger", 50, 500, 7
	export.Class, export.Service, export.Rate, export.Bytes, export.Seed = "export", "manifest-depot", 3, 600<<10, 8
	go load.Run(ctx, export)
	load.Run(ctx, short)
	load.Wait()
	for _, a := range load.Accounts() {
		b.ReportMetric(float64(a.Latency.ValueAtQuantile(50))/1000, a.Class+"-p50-ms")
		b.ReportMetric(float64(a.Latency.ValueAtQuantile(99))/1000, a.Class+"-p99-ms")
		b.ReportMetric(float64(a.Requests-a.Answered), a.Class+"-not-answered")
	}
}
