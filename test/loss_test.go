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
type place struct {
	region, domain string
	block          string
	daemon         *daemon
	server         *server.Server
	http           *httptest.Server
	load           *caller.Load
}

// lose ends everything in the place at once.
func (p *place) lose() {
	p.loseUpstream()
	p.daemon.end()
}

func (p *place) loseUpstream() {
	p.http.Listener.Close()
	p.http.CloseClientConnections()
}

// startPlaces starts failure domains and gives each a block of callers.
func startPlaces(t *testing.T, slots int, names ...string) []*place {
	t.Helper()
	return startPlacesServing(t, slots, 5, names...)
}

// startPlacesServing is startPlaces with upstreams that take a mean time in milliseconds.
func startPlacesServing(t *testing.T, slots int, mean float64, names ...string) []*place {
	t.Helper()
	address := startPlatform(t)
	var all []*place
	var tree, blocks strings.Builder
	for i, n := range names {
		region, domain, _ := strings.Cut(n, "/")
		s := &server.Server{Slots: slots, ServiceMillis: mean}
		p := &place{region: region, domain: domain, block: fmt.Sprintf("10.%d.0.1", i), server: s, http: httptest.NewServer(s), load: &caller.Load{}}
		t.Cleanup(p.http.Close)
		p.daemon = startDaemon(t, daemonOptions{name: region + "-" + domain, region: region, domain: domain, platform: address})
		fmt.Fprintf(&tree, "[Region.%s.Domain.%s.Service.keg-ledger]\nUpstreams = [%q]\nSlots = %d\n", region, domain, p.http.Listener.Addr(), slots)
		fmt.Fprintf(&blocks, "10.%d.0.0/16 %s\n", i, n)
		all = append(all, p)
	}
	first := all[0].daemon
	first.ready()
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
	first.apply(len(all), "BlockTable = \"places\"\n"+tree.String())
	eventually(t, "all slots are owned and all blocks known", func() bool {
		owned := 0.0
		for _, p := range all {
			if p.daemon.state().Blocks != len(all) {
				return false
			}
			owned += totalSlots(p.daemon)
		}
		return owned == float64(len(all)*slots)
	})
	return all
}

// callers has the callers of each place ask until the test ends. stop returns when
// no request begins any more.
func callers(t *testing.T, rate float64, all []*place) (stop func()) {
	t.Helper()
	return callersPosting(t, rate, 0.3, all)
}

// callersPosting is callers with a part of the requests that must not run twice.
func callersPosting(t *testing.T, rate, part float64, all []*place) (stop func()) {
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

func (p *place) account() caller.Account {
	for _, a := range p.load.Accounts() {
		return a
	}
	return caller.Account{}
}

// flows waits until the callers of all places had many more answers.
func flows(t *testing.T, all []*place) {
	t.Helper()
	for _, p := range all {
		before := p.account().Answered
		eventually(t, p.region+"/"+p.domain+" is served", func() bool { return p.account().Answered > before+50 })
	}
}

// refusals adds up what callers were refused.
func refusals(all []*place) (n uint64) {
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
	all := startPlaces(t, 6, "erie/a", "erie/b", "michigan/a", "superior/a")
	stop := callers(t, 60, all)
	flows(t, all)
	is.Equal(refusals(all), uint64(0))
	all[0].lose()
	flows(t, all)
	t.Logf("refused after the loss of erie/a: %d", refusals(all))
	all[1].lose()
	flows(t, all)
	flows(t, all)
	before := refusals(all)
	t.Logf("refused after the loss of erie: %d", before)
	flows(t, all)
	// Once the loss is known nobody is refused for it.
	is.Equal(refusals(all), before)
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
		if v := p.load.Judge(journals); v.Broken() {
			t.Errorf("promises broken: %+v", v)
		}
	}
}
