package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/caller"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/finder"
	"github.com/gullvale/gullvale/pkg/recorder"
)

// The faults of a proxy.
const (
	// silent swallows what flows in one direction and keeps the connection.
	dropForward  = `{"name":"f","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`
	dropBackward = `{"name":"b","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`
	slowBackward = `{"name":"s","type":"latency","stream":"downstream","attributes":{"latency":300}}`
)

type (
	// proxy stands in front of one listener.
	proxy struct {
		t testing.TB
		*toxiproxy.Proxy
	}

	// traffic is callers in the background.
	traffic struct {
		t      testing.TB
		load   caller.Load
		cancel context.CancelFunc
		done   sync.WaitGroup
	}
)

func newProxy(t testing.TB, upstream string) *proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := &proxy{t, toxiproxy.NewProxy(server, t.Name(), "127.0.0.1:0", upstream)}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

func (p *proxy) addToxic(toxic string) {
	p.t.Helper()
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *proxy) removeToxics() {
	p.Toxics.ResetToxics(context.Background())
}

// startBehindProxy starts a daemon whose links go through a proxy.
func startBehindProxy(t testing.TB, o daemonOptions) (*daemon, *proxy) {
	t.Helper()
	p := newProxy(t, "127.0.0.1:1")
	o.advertise = p.Listen
	d := startDaemon(t, o)
	if err := p.Update(&toxiproxy.Proxy{Listen: p.Listen, Upstream: d.linksBound, Enabled: true}); err != nil {
		t.Fatal(err)
	}
	return d, p
}

// startTraffic has callers ask all daemons for keg-ledger until the test ends.
func startTraffic(t testing.TB, rate float64, daemons ...*daemon) *traffic {
	t.Helper()
	var seeds []string
	for _, d := range daemons {
		seeds = append(seeds, d.callers)
	}
	f := &finder.Finder{Seeds: seeds, HTTP: caller.NewClient(nil)}
	x := &traffic{t: t}
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	x.done.Add(1)
	go func() {
		defer x.done.Done()
		x.load.Run(ctx, caller.Stream{
			Class: "short", Service: "keg-ledger", Rate: rate, PostPart: 0.5, Bytes: 500, Deadline: 5000,
			Blocks: []string{""}, Finder: func(string) *finder.Finder { return f }, Seed: 7,
		})
	}()
	t.Cleanup(func() {
		cancel()
		if t.Failed() {
			t.Logf("%d requests under way, accounts %+v", x.load.Running(), x.load.Accounts())
		}
	})
	return x
}

// answered returns how many requests were answered so far.
func (x *traffic) answered() uint64 {
	for _, a := range x.load.Accounts() {
		return a.Answered
	}
	return 0
}

// waitProgress waits until more requests are answered.
func (x *traffic) waitProgress() {
	x.t.Helper()
	before := x.answered()
	eventually(x.t, "requests are answered", func() bool { return x.answered() > before+20 })
}

// stopAndVerify ends the traffic and compares its accounts with the journals.
func (x *traffic) stopAndVerify(upstreams ...string) caller.Account {
	x.t.Helper()
	x.cancel()
	x.done.Wait()
	x.load.Wait()
	if v := x.load.CheckJournals(upstreamJournals(x.t, upstreams...)); v.Violated() {
		x.t.Fatalf("promises broken: %+v", v)
	}
	a := x.load.Accounts()[0]
	x.t.Logf("%d requests: %d answered, %d not run, %d unknown %v", a.Requests, a.Answered, a.NotRun, a.Unknown, a.Reasons)
	return a
}

// startTwoUpstreams has two upstreams at one site.
func startTwoUpstreams(t *testing.T) (text string, addresses []string) {
	t.Helper()
	addresses = []string{startUpstream(t), startUpstream(t)}
	return fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%s]\nSlots = 6\n", quoteList(addresses)), addresses
}

// totalSlots adds the slots that daemons own.
func totalSlots(daemons ...*daemon) float64 {
	var n float64
	for _, d := range daemons {
		n += float64(d.ownedSlots())
	}
	return n
}

// status returns the status of a daemon, and an empty one while it has none.
func (d *daemon) status() operator.Status {
	var st operator.Status
	d.callOperator(http.MethodGet, operator.PathStatus, nil, &st)
	return st
}

// ownedSlots returns how many slots a daemon owns now.
func (d *daemon) ownedSlots() int {
	n := 0
	for _, o := range d.status().Owned {
		n += o.Slots
	}
	return n
}

func waitLeader(t *testing.T, daemons ...*daemon) (lead *daemon, others []*daemon) {
	t.Helper()
	eventually(t, "one daemon leads", func() bool {
		lead, others = nil, nil
		for _, d := range daemons {
			if d.status().Lead {
				lead = d
			} else {
				others = append(others, d)
			}
		}
		return lead != nil && len(others) == len(daemons)-1
	})
	return lead, others
}

// setAndWait makes a change through a daemon and waits until it is in force on members.
func (d *daemon) setAndWait(members int, value resolver.Value) recorder.Number {
	d.t.Helper()
	var a operator.ChangeAnswer
	eventually(d.t, "the change is accepted", func() bool {
		return d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
			Edits: []resolver.Edit{{Path: "/", Key: resolver.KeyQueueLength, Value: value}},
		}, &a) == http.StatusOK
	})
	eventually(d.t, "the change is in force", func() bool {
		var f operator.InForceAnswer
		path := fmt.Sprintf("%s?Number=%d", operator.PathInForce, a.Number)
		return d.callOperator(http.MethodGet, path, nil, &f) == http.StatusOK && f.Members == members && f.InForce == members
	})
	return a.Number
}

func startThreeDaemons(t testing.TB, address string) []*daemon {
	t.Helper()
	var all []*daemon
	for i := range 3 {
		all = append(all, startDaemon(t, daemonOptions{name: fmt.Sprint("erie-", i), region: "erie", domain: "a", platform: address}))
	}
	return all
}

// startThreeOwners has three daemons that own all slots of two upstreams.
func startThreeOwners(t *testing.T, address string) (all []*daemon, upstreams []string) {
	t.Helper()
	text, upstreams := startTwoUpstreams(t)
	all = startThreeDaemons(t, address)
	all[0].applySettings(3, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(all...) == 12 })
	return all, upstreams
}

// TestPlatformOutage takes the platform away. Requests go on, a killed owner is
// covered, a new daemon comes up from its peers; when the platform is back, all
// run the next change.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	all, upstreams := startThreeOwners(t, address)
	x := startTraffic(t, 100, all...)
	x.waitProgress()

	setFaults(t, address, platform.Faults{Down: true})
	// Longer than any lease and membership holds.
	eventually(t, "the outage is noticed", func() bool {
		return !all[0].status().Platform
	})
	time.Sleep(12 * time.Second) // the fault itself lasts: nothing is awaited here
	x.waitProgress()
	is.Equal(totalSlots(all...), 12.0)

	victim := all[0]
	for _, d := range all {
		if d.ownedSlots() > 0 {
			victim = d
		}
	}
	var rest []*daemon
	for _, d := range all {
		if d != victim {
			rest = append(rest, d)
		}
	}
	victim.signal(syscall.SIGKILL)
	began := time.Now()
	eventually(t, "the killed owner's upstreams are covered", func() bool { return totalSlots(rest...) == 12 })
	t.Logf("covered after %s", time.Since(began).Round(time.Millisecond))
	x.waitProgress()

	began = time.Now()
	fresh := startDaemon(t, daemonOptions{name: "erie-9", region: "erie", domain: "a", platform: address, seeds: []string{rest[0].links}})
	fresh.waitReady()
	eventually(t, "the new daemon forwards", func() bool {
		p, err := fresh.send(context.Background(), http.MethodGet, "keg-ledger", "/x?Token=fresh", nil)
		if err != nil {
			return false
		}
		p.Body.Close()
		return p.StatusCode == http.StatusOK
	})
	t.Logf("a new daemon forwards after %s without the platform", time.Since(began).Round(time.Millisecond))

	setFaults(t, address, platform.Faults{})
	rest[0].setAndWait(3, "33")
	x.waitProgress()
	a := x.stopAndVerify(upstreams...)
	is.True(a.Answered > a.Requests*9/10)
}

// TestDomainRestartsInOutage kills the only daemon of a failure domain while the
// platform is down, and starts it again. Its upstream is served by the region
// meanwhile, and the new daemon comes up from its peers.
func TestDomainRestartsInOutage(t *testing.T) {
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	a := startDaemon(t, daemonOptions{name: "erie-a", region: "erie", domain: "a", platform: address})
	b := startDaemon(t, daemonOptions{name: "erie-b", region: "erie", domain: "b", platform: address})
	a.applySettings(2, text)
	eventually(t, "the domain's own daemon owns its upstreams", func() bool { return a.ownedSlots() == 12 })
	x := startTraffic(t, 100, a, b)
	x.waitProgress()
	setFaults(t, address, platform.Faults{Down: true})
	a.signal(syscall.SIGKILL)
	a.waitExit()
	eventually(t, "the region covers the domain", func() bool { return b.ownedSlots() == 12 })
	x.waitProgress()
	again := startDaemon(t, daemonOptions{name: "erie-a", region: "erie", domain: "a", platform: address,
		callers: a.callers, links: a.links, operators: a.operators, seeds: []string{b.links}})
	again.waitReady()
	x.waitProgress()
	setFaults(t, address, platform.Faults{})
	eventually(t, "the domain has its upstreams back", func() bool { return again.ownedSlots() == 12 && b.ownedSlots() == 0 })
	again.setAndWait(2, "55")
	x.waitProgress()
	x.stopAndVerify(upstreams...)
}

// TestCutOff takes the platform and all links from one daemon only. It says so,
// goes on with what it has, and catches up afterwards.
func TestCutOff(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, _ := startTwoUpstreams(t)
	own := newProxy(t, strings.TrimPrefix(address, "http://"))
	a, pa := startBehindProxy(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: "http://" + own.Listen})
	b, pb := startBehindProxy(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
	b.applySettings(2, text)
	before := a.status().Settings
	for _, p := range []*proxy{own, pa, pb} {
		p.Stop()
	}
	eventually(t, "it knows that it is cut off", func() bool {
		st := a.status()
		return !st.Platform && !st.LeadReached
	})
	eventually(t, "the other is alone on the roster", func() bool { return b.status().Members == 1 })
	n := b.setAndWait(1, "31")
	p, err := http.Get("http://" + a.callers + "/Lookup?Service=keg-ledger")
	is.NoErr(err)
	p.Body.Close()
	is.Equal(p.StatusCode, http.StatusOK) // it serves what it has
	is.Equal(a.status().Settings, before)
	for _, p := range []*proxy{own, pa, pb} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "it has caught up", func() bool { return a.status().Settings >= n && a.status().Valid })
	b.setAndWait(2, "32")
}

// TestLeadPaused stops the lead for longer than its lease, and lets it go on.
// Another leads meanwhile, and the first counts for nothing afterwards.
func TestLeadPaused(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	all := startThreeDaemons(t, address)
	all[0].applySettings(3, text)
	x := startTraffic(t, 50, all...)
	lead, others := waitLeader(t, all...)
	plan := lead.status().Plan
	lead.signal(syscall.SIGSTOP)
	began := time.Now()
	second, _ := waitLeader(t, others...)
	t.Logf("another leads after %s", time.Since(began).Round(time.Millisecond))
	eventually(t, "another planner seals the plan", func() bool { return second.status().Plan > plan })
	t.Logf("another plans after %s", time.Since(began).Round(time.Millisecond))
	eventually(t, "the paused member is off the roster", func() bool {
		return second.status().Members == 2
	})
	t.Logf("off the roster after %s", time.Since(began).Round(time.Millisecond))
	n := second.setAndWait(2, "21")
	lead.signal(syscall.SIGCONT)
	eventually(t, "the paused daemon is a member again", func() bool {
		return lead.status().Valid && !lead.status().Lead
	})
	is.True(second.setAndWait(3, "22") > n)
	is.True(second.status().Lead)
	x.waitProgress()
	x.stopAndVerify(upstreams...)
}

// TestOwnerPaused stops an owner while it has requests. Its upstreams go to
// others once it has lapsed, and nothing runs twice when it goes on.
func TestOwnerPaused(t *testing.T) {
	address := startPlatform(t)
	all, upstreams := startThreeOwners(t, address)
	owner := all[0]
	for _, d := range all {
		if d.ownedSlots() > owner.ownedSlots() {
			owner = d
		}
	}
	x := startTraffic(t, 100, all...)
	x.waitProgress()
	owner.signal(syscall.SIGSTOP)
	var rest []*daemon
	for _, d := range all {
		if d != owner {
			rest = append(rest, d)
		}
	}
	began := time.Now()
	eventually(t, "its upstreams are covered", func() bool { return totalSlots(rest...) == 12 })
	t.Logf("covered after %s", time.Since(began).Round(time.Millisecond))
	x.waitProgress()
	owner.signal(syscall.SIGCONT)
	eventually(t, "it is a member again", func() bool { return owner.status().Valid })
	eventually(t, "all slots are owned again", func() bool { return totalSlots(all...) == 12 })
	x.waitProgress()
	x.stopAndVerify(upstreams...)
}

// TestLinksFail lets the links to one daemon be silent in either direction, slow,
// and cut, under load.
func TestLinksFail(t *testing.T) {
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	a, pa := startBehindProxy(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	b, pb := startBehindProxy(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
	a.applySettings(2, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(a, b) == 12 })
	x := startTraffic(t, 100, a, b)
	x.waitProgress()
	for _, p := range []*proxy{pa, pb} {
		for _, toxic := range []string{dropForward, dropBackward, slowBackward} {
			p.addToxic(toxic)
			x.waitProgress()
			p.removeToxics()
			x.waitProgress()
		}
		p.Stop()
		x.waitProgress()
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		x.waitProgress()
	}
	eventually(t, "both are members and own all slots", func() bool { return totalSlots(a, b) == 12 })
	a.setAndWait(2, "44")
	x.stopAndVerify(upstreams...)
}

// TestOwnerNotDialled refuses all links to the owner of the only upstream. The other
// entry goes on answering: the owner's own link to it stands.
func TestOwnerNotDialled(t *testing.T) {
	address := startPlatform(t)
	upstream := startUpstream(t)
	a, pa := startBehindProxy(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	b, pb := startBehindProxy(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
	a.applySettings(2, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%s]\nSlots = 6\n", quoteList([]string{upstream})))
	eventually(t, "all slots are owned", func() bool { return totalSlots(a, b) == 6 })
	entry, proxy := b, pa
	if a.ownedSlots() == 0 {
		entry, proxy = a, pb
	}
	proxy.Stop()
	answers := func() bool {
		p, err := entry.send(t.Context(), http.MethodGet, "keg-ledger", "/item?Bytes=40&Token=t", http.NoBody)
		if err != nil {
			return false
		}
		defer p.Body.Close()
		return p.StatusCode == http.StatusOK
	}
	eventually(t, "the other entry answers", answers)
	for range 50 {
		if !answers() {
			t.Fatal("not answered")
		}
	}
	// Longer than a lead waits for heartbeats: nothing is awaited here.
	time.Sleep(leader.Silence.Duration() + time.Second)
	eventually(t, "both are members", func() bool { return a.status().Members == 2 && b.status().Valid && a.status().Valid })
	a.setAndWait(2, "44")
	if !answers() {
		t.Fatal("not answered after a while")
	}
}

// TestReplacedVM kills a daemon and starts another at the same addresses, which
// must be nobody's former life.
func TestReplacedVM(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	all := startThreeDaemons(t, address)
	all[0].applySettings(3, text)
	x := startTraffic(t, 50, all...)
	x.waitProgress()
	old := all[2]
	old.signal(syscall.SIGKILL)
	old.waitExit()
	began := time.Now()
	again := startDaemon(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address,
		callers: old.callers, links: old.links, operators: old.operators})
	again.waitReady()
	eventually(t, "three members, all slots owned", func() bool {
		return all[0].status().Members == 3 && again.status().Valid && totalSlots(all[0], all[1], again) == 12
	})
	t.Logf("whole again after %s", time.Since(began).Round(time.Millisecond))
	all[0].setAndWait(3, "12")
	x.waitProgress()
	a := x.stopAndVerify(upstreams...)
	// Requests under way at the killed daemon may have run: at 50 a second of
	// some 10 ms, one or two. No other is lost, however long the roster takes:
	// first tries of its keys go elsewhere.
	const underWay = 5
	is.True(a.Unknown <= underWay)
	is.True(a.Answered > a.Requests*9/10)
}
