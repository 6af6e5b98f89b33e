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

// Toxiproxy toxics.
const (
	// A timeout of 0 drops all data in one direction and keeps the connection open.
	dropForward  = `{"name":"f","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`
	dropBackward = `{"name":"b","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`
	slowBackward = `{"name":"s","type":"latency","stream":"downstream","attributes":{"latency":300}}`
)

type (
	// proxy is a Toxiproxy proxy in front of one listener.
	proxy struct {
		t testing.TB
		*toxiproxy.Proxy
	}

	// traffic generates caller load in the background.
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

func (p *proxy) heal() {
	p.Toxics.ResetToxics(context.Background())
}

// startBehindProxy starts a daemon whose links pass through a proxy.
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

// startTraffic sends keg-ledger requests through all daemons until the test ends.
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
			Class: "short", Service: "keg-ledger", Rate: rate, PostFraction: 0.5, Bytes: 500, Deadline: 5000,
			Blocks: []string{""}, Finder: func(string) *finder.Finder { return f }, Seed: 7,
		})
	}()
	t.Cleanup(func() {
		cancel()
		if t.Failed() {
			t.Logf("%d requests in flight, accounts %+v", x.load.Running(), x.load.Accounts())
		}
	})
	return x
}

// answered returns the number of requests answered so far.
func (x *traffic) answered() uint64 {
	for _, a := range x.load.Accounts() {
		return a.Answered
	}
	return 0
}

// waitProgress waits until 20 more requests have been answered.
func (x *traffic) waitProgress() {
	x.t.Helper()
	before := x.answered()
	eventually(x.t, "requests are answered", func() bool { return x.answered() > before+20 })
}

// stopAndVerify stops the traffic and checks its accounts against the upstreams' journals.
func (x *traffic) stopAndVerify(upstreams ...string) caller.Account {
	x.t.Helper()
	x.cancel()
	x.done.Wait()
	x.load.Wait()
	if v := x.load.CheckJournals(upstreamJournals(x.t, upstreams...)); v.Violated() {
		x.t.Fatalf("guarantees violated: %+v", v)
	}
	a := x.load.Accounts()[0]
	x.t.Logf("%d requests: %d answered, %d not run, %d unknown %v", a.Requests, a.Answered, a.NotRun, a.Unknown, a.Reasons)
	return a
}

// startTwoUpstreams starts two upstreams and returns settings that put them at one site.
func startTwoUpstreams(t *testing.T) (text string, addresses []string) {
	t.Helper()
	addresses = []string{startUpstream(t), startUpstream(t)}
	return fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%s]\nSlots = 6\n", quoteList(addresses)), addresses
}

// totalSlots returns the number of slots that the daemons own in total.
func totalSlots(daemons ...*daemon) float64 {
	var n float64
	for _, d := range daemons {
		n += float64(d.ownedSlots())
	}
	return n
}

// status returns the status of a daemon, or a zero Status if it has none yet.
func (d *daemon) status() operator.Status {
	var st operator.Status
	d.callOperator(http.MethodGet, operator.PathStatus, nil, &st)
	return st
}

// ownedSlots returns the number of slots that a daemon owns.
func (d *daemon) ownedSlots() int {
	n := 0
	for _, o := range d.status().Owned {
		n += o.Slots
	}
	return n
}

// waitLeader waits until exactly one of the daemons is the leader and returns it first.
func waitLeader(t *testing.T, daemons ...*daemon) (current *daemon, others []*daemon) {
	t.Helper()
	eventually(t, "one daemon is the leader", func() bool {
		current, others = nil, nil
		for _, d := range daemons {
			if d.status().Lead {
				current = d
			} else {
				others = append(others, d)
			}
		}
		return current != nil && len(others) == len(daemons)-1
	})
	return current, others
}

// setAndWait changes a setting through a daemon and waits until it is in force on all members.
func (d *daemon) setAndWait(members int, value resolver.Value) recorder.Number {
	d.t.Helper()
	var accepted operator.ChangeResponse
	eventually(d.t, "the change is accepted", func() bool {
		return d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
			Edits: []resolver.Edit{{Path: "/", Key: resolver.KeyQueueLength, Value: value}},
		}, &accepted) == http.StatusOK
	})
	eventually(d.t, "the change is in force", func() bool {
		var status operator.InForceResponse
		path := fmt.Sprintf("%s?Number=%d", operator.PathInForce, accepted.Number)
		return d.callOperator(http.MethodGet, path, nil, &status) == http.StatusOK && status.Members == members && status.InForce == members
	})
	return accepted.Number
}

func startThreeDaemons(t testing.TB, address string) []*daemon {
	t.Helper()
	var all []*daemon
	for i := range 3 {
		all = append(all, startDaemon(t, daemonOptions{name: fmt.Sprint("erie-", i), region: "erie", domain: "a", platform: address}))
	}
	return all
}

// startThreeOwners starts three daemons that together own all slots of two upstreams.
func startThreeOwners(t *testing.T, address string) (all []*daemon, upstreams []string) {
	t.Helper()
	text, upstreams := startTwoUpstreams(t)
	all = startThreeDaemons(t, address)
	all[0].applySettings(3, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(all...) == 12 })
	return all, upstreams
}

// TestPlatformOutage takes the platform down. Requests continue, the upstreams of a killed owner
// are taken over, and a new daemon gets its settings from its peers. Once the platform is back, all
// daemons apply the next change.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	all, upstreams := startThreeOwners(t, address)
	load := startTraffic(t, 100, all...)
	load.waitProgress()

	setFaults(t, address, platform.Faults{Down: true})
	eventually(t, "the outage is noticed", func() bool {
		return !all[0].status().Platform
	})
	// A fixed time, longer than any lease or membership is valid.
	time.Sleep(12 * time.Second)
	load.waitProgress()
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
	eventually(t, "the killed owner's upstreams are taken over", func() bool { return totalSlots(rest...) == 12 })
	t.Logf("taken over after %s", time.Since(began).Round(time.Millisecond))
	load.waitProgress()

	began = time.Now()
	newcomer := startDaemon(t, daemonOptions{name: "erie-9", region: "erie", domain: "a", platform: address, seeds: []string{rest[0].links}})
	newcomer.waitReady()
	eventually(t, "the new daemon forwards", func() bool {
		resp, err := newcomer.send(context.Background(), http.MethodGet, "keg-ledger", "/x?Token=fresh", nil)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	t.Logf("a new daemon forwards after %s without the platform", time.Since(began).Round(time.Millisecond))

	setFaults(t, address, platform.Faults{})
	rest[0].setAndWait(3, "33")
	load.waitProgress()
	account := load.stopAndVerify(upstreams...)
	is.True(account.Answered > account.Requests*9/10)
}

// TestDomainRestartDuringPlatformOutage kills and restarts the only daemon of a failure domain
// while the platform is down. Another daemon of the region takes over its upstreams in the
// meantime, and the restarted daemon gets its settings from that peer.
func TestDomainRestartDuringPlatformOutage(t *testing.T) {
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	a := startDaemon(t, daemonOptions{name: "erie-a", region: "erie", domain: "a", platform: address})
	b := startDaemon(t, daemonOptions{name: "erie-b", region: "erie", domain: "b", platform: address})
	a.applySettings(2, text)
	eventually(t, "the domain's own daemon owns its upstreams", func() bool { return a.ownedSlots() == 12 })
	load := startTraffic(t, 100, a, b)
	load.waitProgress()
	setFaults(t, address, platform.Faults{Down: true})
	a.signal(syscall.SIGKILL)
	a.waitExit()
	eventually(t, "the region takes over the domain's upstreams", func() bool { return b.ownedSlots() == 12 })
	load.waitProgress()
	restarted := startDaemon(t, daemonOptions{name: "erie-a", region: "erie", domain: "a", platform: address,
		callers: a.callers, links: a.links, operators: a.operators, seeds: []string{b.links}})
	restarted.waitReady()
	load.waitProgress()
	setFaults(t, address, platform.Faults{})
	eventually(t, "the domain has its upstreams back", func() bool { return restarted.ownedSlots() == 12 && b.ownedSlots() == 0 })
	restarted.setAndWait(2, "55")
	load.waitProgress()
	load.stopAndVerify(upstreams...)
}

// TestIsolatedDaemonCatchesUp cuts one daemon off from the platform and from all links. It reports
// this, serves the settings it has, and catches up once it is connected again.
func TestIsolatedDaemonCatchesUp(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, _ := startTwoUpstreams(t)
	platformProxy := newProxy(t, strings.TrimPrefix(address, "http://"))
	a, pa := startBehindProxy(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: "http://" + platformProxy.Listen})
	b, pb := startBehindProxy(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
	b.applySettings(2, text)
	before := a.status().Settings
	for _, p := range []*proxy{platformProxy, pa, pb} {
		p.Stop()
	}
	eventually(t, "the daemon reports that it is cut off", func() bool {
		st := a.status()
		return !st.Platform && !st.LeadReached
	})
	eventually(t, "the other is the only member", func() bool { return b.status().Members == 1 })
	number := b.setAndWait(1, "31")
	resp, err := http.Get("http://" + a.callers + "/Lookup?Service=keg-ledger")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK) // serves the last known settings
	is.Equal(a.status().Settings, before)
	for _, p := range []*proxy{platformProxy, pa, pb} {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the daemon has caught up", func() bool { return a.status().Settings >= number && a.status().Valid })
	b.setAndWait(2, "32")
}

// TestSuspendedLeaderIsReplaced suspends the leader for longer than its lease. Another daemon
// becomes leader, and the first is an ordinary member when it resumes.
func TestSuspendedLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	all := startThreeDaemons(t, address)
	all[0].applySettings(3, text)
	load := startTraffic(t, 50, all...)
	oldLeader, others := waitLeader(t, all...)
	plan := oldLeader.status().Plan
	oldLeader.signal(syscall.SIGSTOP)
	began := time.Now()
	newLeader, _ := waitLeader(t, others...)
	t.Logf("new leader after %s", time.Since(began).Round(time.Millisecond))
	eventually(t, "the new planner publishes a plan", func() bool { return newLeader.status().Plan > plan })
	t.Logf("new plan after %s", time.Since(began).Round(time.Millisecond))
	eventually(t, "the suspended member is off the roster", func() bool {
		return newLeader.status().Members == 2
	})
	t.Logf("off the roster after %s", time.Since(began).Round(time.Millisecond))
	n := newLeader.setAndWait(2, "21")
	oldLeader.signal(syscall.SIGCONT)
	eventually(t, "the suspended daemon is a member again", func() bool {
		return oldLeader.status().Valid && !oldLeader.status().Lead
	})
	is.True(newLeader.setAndWait(3, "22") > n)
	is.True(newLeader.status().Lead)
	load.waitProgress()
	load.stopAndVerify(upstreams...)
}

// TestSuspendedOwnerIsReplaced suspends an owner that has requests in flight. Others take over its
// upstreams once its membership has expired, and no request runs twice when it resumes.
func TestSuspendedOwnerIsReplaced(t *testing.T) {
	address := startPlatform(t)
	all, upstreams := startThreeOwners(t, address)
	owner := all[0]
	for _, d := range all {
		if d.ownedSlots() > owner.ownedSlots() {
			owner = d
		}
	}
	load := startTraffic(t, 100, all...)
	load.waitProgress()
	owner.signal(syscall.SIGSTOP)
	var rest []*daemon
	for _, d := range all {
		if d != owner {
			rest = append(rest, d)
		}
	}
	began := time.Now()
	eventually(t, "its upstreams are taken over", func() bool { return totalSlots(rest...) == 12 })
	t.Logf("taken over after %s", time.Since(began).Round(time.Millisecond))
	load.waitProgress()
	owner.signal(syscall.SIGCONT)
	eventually(t, "the owner is a member again", func() bool { return owner.status().Valid })
	eventually(t, "all slots are owned again", func() bool { return totalSlots(all...) == 12 })
	load.waitProgress()
	load.stopAndVerify(upstreams...)
}

// TestLinksFail makes the links to one daemon drop data in either direction, slow, and closed,
// under load.
func TestLinksFail(t *testing.T) {
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	a, pa := startBehindProxy(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	b, pb := startBehindProxy(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
	a.applySettings(2, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(a, b) == 12 })
	load := startTraffic(t, 100, a, b)
	load.waitProgress()
	for _, p := range []*proxy{pa, pb} {
		for _, toxic := range []string{dropForward, dropBackward, slowBackward} {
			p.addToxic(toxic)
			load.waitProgress()
			p.heal()
			load.waitProgress()
		}
		p.Stop()
		load.waitProgress()
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		load.waitProgress()
	}
	eventually(t, "both are members and own all slots", func() bool { return totalSlots(a, b) == 12 })
	a.setAndWait(2, "44")
	load.stopAndVerify(upstreams...)
}

// TestRequestsUseLinkOpenedByOwner makes the owner of the only upstream unreachable for new links.
// The other entry keeps answering over the link that the owner opened to it.
func TestRequestsUseLinkOpenedByOwner(t *testing.T) {
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
	served := func() bool {
		resp, err := entry.send(t.Context(), http.MethodGet, "keg-ledger", "/item?Bytes=40&Token=t", http.NoBody)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	eventually(t, "the other entry answers", served)
	for range 50 {
		if !served() {
			t.Fatal("not answered")
		}
	}
	// A fixed time, longer than the leader waits for a heartbeat.
	time.Sleep(leader.MemberTimeout.Duration() + time.Second)
	eventually(t, "both are members", func() bool { return a.status().Members == 2 && b.status().Valid && a.status().Valid })
	a.setAndWait(2, "44")
	if !served() {
		t.Fatal("not answered after the heartbeat timeout")
	}
}

// TestReplacementAtSameAddresses kills a daemon and starts another at the same addresses. Its peers
// must treat it as a new incarnation.
func TestReplacementAtSameAddresses(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	all := startThreeDaemons(t, address)
	all[0].applySettings(3, text)
	load := startTraffic(t, 50, all...)
	load.waitProgress()
	old := all[2]
	old.signal(syscall.SIGKILL)
	old.waitExit()
	began := time.Now()
	replacement := startDaemon(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address,
		callers: old.callers, links: old.links, operators: old.operators})
	replacement.waitReady()
	eventually(t, "three members, all slots owned", func() bool {
		return all[0].status().Members == 3 && replacement.status().Valid && totalSlots(all[0], all[1], replacement) == 12
	})
	t.Logf("recovered after %s", time.Since(began).Round(time.Millisecond))
	all[0].setAndWait(3, "12")
	load.waitProgress()
	account := load.stopAndVerify(upstreams...)
	// Requests in flight at the killed daemon may have run: one or two, at 50 per second of about
	// 10 ms each. No others may be lost, however late the killed daemon leaves the roster: a first
	// attempt for a key whose home is lost is refused as not run, and the finder retries it.
	const inFlight = 5
	is.True(account.Unknown <= inFlight)
	is.True(account.Answered > account.Requests*9/10)
}
