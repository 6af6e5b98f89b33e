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

// place is one failure domain: a daemon, an upstream whose journal outlives it, and
// the callers of its blocks.
type failureDomain struct {
	region, domain string
	block          string
	daemon         *daemon
	server         *server.Server
	http           *httptest.Server
	load           *caller.Load
}

// fail ends everything in the place at once.
func (p *failureDomain) fail() {
	p.failUpstream()
	p.daemon.kill()
}

func (p *failureDomain) failUpstream() {
	p.http.Listener.Close()
	p.http.CloseClientConnections()
}

// startDomains starts failure domains and gives each a block of callers.
func startDomains(t *testing.T, slots int, names ...string) []*failureDomain {
	t.Helper()
	return startDomainsWithServiceTime(t, slots, 5, names...)
}

// startDomainsWithServiceTime is startDomains with upstreams that take a mean time in milliseconds.
func startDomainsWithServiceTime(t *testing.T, slots int, mean float64, names ...string) []*failureDomain {
	t.Helper()
	address := startPlatform(t)
	var all []*failureDomain
	var tree, blocks strings.Builder
	for i, n := range names {
		region, domain, _ := strings.Cut(n, "/")
		s := &server.Server{Slots: slots, ServiceMillis: mean}
		p := &failureDomain{region: region, domain: domain, block: fmt.Sprintf("10.%d.0.1", i), server: s, http: httptest.NewServer(s), load: &caller.Load{}}
		t.Cleanup(p.http.Close)
		p.daemon = startDaemon(t, daemonOptions{name: region + "-" + domain, region: region, domain: domain, platform: address})
		fmt.Fprintf(&tree, "[Region.%s.Domain.%s.Service.keg-ledger]\nUpstreams = [%q]\nSlots = %d\n", region, domain, p.http.Listener.Addr(), slots)
		fmt.Fprintf(&blocks, "10.%d.0.0/16 %s\n", i, n)
		all = append(all, p)
	}
	first := all[0].daemon
	first.waitReady()
	q, err := http.NewRequest(http.MethodPost, "http://"+first.operators+operator.PathBlocks+"?Name=places", strings.NewReader(blocks.String()))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	if r.StatusCode != http.StatusOK {
		t.Fatalf("blocks: %d", r.StatusCode)
	}
	first.applySettings(len(all), "BlockTable = \"places\"\n"+tree.String())
	eventually(t, "all slots are owned and all blocks known", func() bool {
		owned := 0.0
		for _, p := range all {
			if p.daemon.status().Blocks != len(all) {
				return false
			}
			owned += totalSlots(p.daemon)
		}
		return owned == float64(len(all)*slots)
	})
	return all
}

// startCallers has the callers of each place ask until the test ends. stop returns when
// no request begins any more.
func startCallers(t *testing.T, rate float64, all []*failureDomain) (stop func()) {
	t.Helper()
	return startCallersWithPosts(t, rate, 0.3, all)
}

// startCallersWithPosts is callers with a part of the requests that must not run twice.
func startCallersWithPosts(t *testing.T, rate, part float64, all []*failureDomain) (stop func()) {
	t.Helper()
	var seeds []string
	for _, p := range all {
		seeds = append(seeds, p.daemon.callers)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	for i, p := range all {
		f := &finder.Finder{Seeds: seeds, HTTP: caller.NewClient(nil)}
		s := caller.Stream{
			Class: "short", Service: "keg-ledger", Rate: rate, PostPart: part, Bytes: 500, Deadline: 5000,
			Blocks: []string{p.block}, Finder: func(string) *finder.Finder { return f }, Seed: uint64(i),
		}
		running.Go(func() { p.load.Run(ctx, s) })
	}
	return stop
}

func (p *failureDomain) account() caller.Account {
	for _, a := range p.load.Accounts() {
		return a
	}
	return caller.Account{}
}

// waitProgress waits until the callers of all places had many more answers.
func waitDomainsServed(t *testing.T, all []*failureDomain) {
	t.Helper()
	for _, p := range all {
		before := p.account().Answered
		eventually(t, p.region+"/"+p.domain+" is served", func() bool { return p.account().Answered > before+50 })
	}
}

// notRunTotal adds up what callers were refused.
func notRunTotal(all []*failureDomain) (n uint64) {
	for _, p := range all {
		n += p.account().NotRun
	}
	return n
}

// TestDomainLost takes a whole failure domain away, daemon and upstream, and then
// the rest of its region. Callers of all blocks go on being served elsewhere,
// with no operator, and the journals agree with what they saw.
func TestDomainLost(t *testing.T) {
	is := is.New(t)
	all := startDomains(t, 6, "erie/a", "erie/b", "michigan/a", "superior/a")
	stop := startCallers(t, 60, all)
	waitDomainsServed(t, all)
	is.Equal(notRunTotal(all), uint64(0))
	all[0].fail()
	waitDomainsServed(t, all)
	t.Logf("refused after the loss of erie/a: %d", notRunTotal(all))
	all[1].fail()
	waitDomainsServed(t, all)
	waitDomainsServed(t, all)
	before := notRunTotal(all)
	t.Logf("refused after the loss of erie: %d", before)
	waitDomainsServed(t, all)
	// Once the loss is known nobody is refused for it.
	is.Equal(notRunTotal(all), before)
	stop()
	// The journals count once no request is under way any more: one that ended
	// after they were read would look answered by nobody.
	for _, p := range all {
		p.load.Wait()
	}
	var journals []map[string]int
	for _, p := range all {
		journals = append(journals, p.server.Counts().Journal)
	}
	for _, p := range all {
		a := p.account()
		t.Logf("%s/%s: %d requests, %d answered, %d not run, %d unknown %v, p50 %d ms, p99 %d ms, max %d ms", p.region, p.domain,
			a.Requests, a.Answered, a.NotRun, a.Unknown, a.Reasons, a.Latency.ValueAtQuantile(50)/1000, a.Latency.ValueAtQuantile(99)/1000, a.Latency.Max()/1000)
		if v := p.load.CheckJournals(journals); v.Violated() {
			t.Errorf("promises broken: %+v", v)
		}
	}
}
