package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/internal/standin/server"
	"github.com/gullvale/gullvale/pkg/finder"
)

// failureDomain is a daemon, an upstream whose journal outlives it, and the callers of its blocks.
type failureDomain struct {
	region, domain string
	block          string
	daemon         *daemon
	server         *server.Server
	http           *httptest.Server
	load           *caller.Load
}

// fail stops the upstream and the daemon of the domain.
func (d *failureDomain) fail() {
	d.failUpstream()
	d.daemon.kill()
}

func (d *failureDomain) failUpstream() {
	d.http.Listener.Close()
	d.http.CloseClientConnections()
}

// startDomains starts failure domains, each with its own block of callers.
func startDomains(t *testing.T, slots int, names ...string) []*failureDomain {
	t.Helper()
	return startDomainsWithServiceTime(t, slots, 5, names...)
}

// startDomainsWithServiceTime is startDomains with a mean service time of the upstreams in
// milliseconds.
func startDomainsWithServiceTime(t *testing.T, slots int, serviceMillis float64, names ...string) []*failureDomain {
	t.Helper()
	address := startPlatform(t)
	var domains []*failureDomain
	var settings, blocks strings.Builder
	for i, n := range names {
		region, domain, _ := strings.Cut(n, "/")
		upstream := &server.Server{Slots: slots, ServiceMillis: serviceMillis}
		d := &failureDomain{region: region, domain: domain, block: fmt.Sprintf("10.%d.0.1", i), server: upstream, http: httptest.NewServer(upstream), load: &caller.Load{}}
		t.Cleanup(d.http.Close)
		d.daemon = startDaemon(t, daemonOptions{name: region + "-" + domain, region: region, domain: domain, platform: address})
		fmt.Fprintf(&settings, "[Region.%s.Domain.%s.Service.keg-ledger]\nUpstreams = [%q]\nSlots = %d\n", region, domain, d.http.Listener.Addr(), slots)
		fmt.Fprintf(&blocks, "10.%d.0.0/16 %s\n", i, n)
		domains = append(domains, d)
	}
	first := domains[0].daemon
	first.waitReady()
	req, err := http.NewRequest(http.MethodPost, "http://"+first.operators+operator.PathBlocks+"?Name=places", strings.NewReader(blocks.String()))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("upload of blocks: status %d", resp.StatusCode)
	}
	first.applySettings(len(domains), "BlockTable = \"places\"\n"+settings.String())
	eventually(t, "all slots are owned and all blocks known", func() bool {
		owned := 0.0
		for _, d := range domains {
			if d.daemon.status().Blocks != len(domains) {
				return false
			}
			owned += totalSlots(d.daemon)
		}
		return owned == float64(len(domains)*slots)
	})
	return domains
}

// startCallers sends requests from the callers of each domain until the test ends. stop returns
// once no new requests are started.
func startCallers(t *testing.T, rate float64, domains []*failureDomain) (stop func()) {
	t.Helper()
	return startCallersWithPosts(t, rate, 0.3, domains)
}

// startCallersWithPosts is startCallers with the given fraction of POST requests, which must not
// run twice.
func startCallersWithPosts(t *testing.T, rate, postFraction float64, domains []*failureDomain) (stop func()) {
	t.Helper()
	var seeds []string
	for _, d := range domains {
		seeds = append(seeds, d.daemon.callers)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	for i, d := range domains {
		f := &finder.Finder{Seeds: seeds, HTTP: caller.NewClient(nil)}
		s := caller.Stream{
			Class: "short", Service: "keg-ledger", Rate: rate, PostFraction: postFraction, Bytes: 500, Deadline: 5000,
			Blocks: []string{d.block}, Finder: func(string) *finder.Finder { return f }, Seed: uint64(i),
		}
		running.Go(func() { d.load.Run(ctx, s) })
	}
	return stop
}

func (d *failureDomain) account() caller.Account {
	for _, a := range d.load.Accounts() {
		return a
	}
	return caller.Account{}
}

// waitDomainsServed waits until the callers of each domain had 50 more requests answered.
func waitDomainsServed(t *testing.T, domains []*failureDomain) {
	t.Helper()
	for _, d := range domains {
		before := d.account().Answered
		eventually(t, d.region+"/"+d.domain+" is served", func() bool { return d.account().Answered > before+50 })
	}
}

// notRunTotal returns how many requests were refused as not run.
func notRunTotal(domains []*failureDomain) (n uint64) {
	for _, d := range domains {
		n += d.account().NotRun
	}
	return n
}

// TestDomainLost takes down a whole failure domain, daemon and upstream, and then the rest of its
// region. Callers of all blocks continue to be served elsewhere without an operator, and the
// journals agree with the outcomes that callers saw.
func TestDomainLost(t *testing.T) {
	is := is.New(t)
	domains := startDomains(t, 6, "erie/a", "erie/b", "michigan/a", "superior/a")
	stop := startCallers(t, 60, domains)
	waitDomainsServed(t, domains)
	is.Equal(notRunTotal(domains), uint64(0))
	domains[0].fail()
	waitDomainsServed(t, domains)
	t.Logf("refused after the loss of erie/a: %d", notRunTotal(domains))
	domains[1].fail()
	waitDomainsServed(t, domains)
	waitDomainsServed(t, domains)
	before := notRunTotal(domains)
	t.Logf("refused after the loss of erie: %d", before)
	waitDomainsServed(t, domains)
	// No request is refused because of the loss once it is known.
	is.Equal(notRunTotal(domains), before)
	stop()
	// The journals are read when no request is in flight: a request that finished after the read
	// would count as answered without having run.
	for _, d := range domains {
		d.load.Wait()
	}
	var journals []map[string]int
	for _, d := range domains {
		journals = append(journals, d.server.Counts().Journal)
	}
	for _, d := range domains {
		a := d.account()
		t.Logf("%s/%s: %d requests, %d answered, %d not run, %d unknown %v, p50 %d ms, p99 %d ms, max %d ms", d.region, d.domain,
			a.Requests, a.Answered, a.NotRun, a.Unknown, a.Reasons, a.Latency.ValueAtQuantile(50)/1000, a.Latency.ValueAtQuantile(99)/1000, a.Latency.Max()/1000)
		if v := d.load.CheckJournals(journals); v.Violated() {
			t.Errorf("guarantees violated: %+v", v)
		}
	}
}
