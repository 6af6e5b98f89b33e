package integration_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/resolver"
)

// The defaults keep the randomised run short and its seed fixed.
var (
	randomSeed  = flag.Uint64("random.seed", 20261202, "seed of TestRandomFaults")
	randomSteps = flag.Int("random.steps", 8, "number of faults that TestRandomFaults injects")
)

// faultRun is a fleet and the faults injected into it.
type faultRun struct {
	t        *testing.T
	random   *rand.Rand
	platform string
	daemons  []*daemon
	proxies  []*proxy
	// paused holds the indexes of suspended daemons, blocked those of daemons whose links drop
	// data.
	paused  map[int]bool
	blocked map[int]bool
	// lastNumbers holds the last number in force by incarnation and kind of number.
	lastNumbers map[string]float64
	// fenceHolders maps a lease and its fence to the incarnation that held it.
	fenceHolders map[string]string
	history      []string
}

// TestRandomFaults injects and heals random faults under load: suspended, killed and replaced
// daemons, links that drop data, and a platform that is down, slow or loses responses, with changes
// of settings in between. In the end the fleet must converge, no number may have decreased in any
// process, and the callers' accounts must agree with the upstreams' journals.
func TestRandomFaults(t *testing.T) {
	is := is.New(t)
	c := &faultRun{
		t: t, random: rand.New(rand.NewPCG(*randomSeed, 1)), platform: startPlatform(t),
		paused: map[int]bool{}, blocked: map[int]bool{}, lastNumbers: map[string]float64{},
		fenceHolders: map[string]string{},
	}
	text, upstreams := startTwoUpstreams(t)
	for i := range 4 {
		d, p := startBehindProxy(t, c.options(i))
		c.daemons = append(c.daemons, d)
		c.proxies = append(c.proxies, p)
	}
	c.daemons[0].applySettings(4, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(c.daemons...) == 12 })
	load := startTraffic(t, 60, c.daemons...)
	load.waitProgress()
	for range *randomSteps {
		c.injectFault()
		// A random time for which the fault lasts.
		time.Sleep(time.Duration(500+c.random.IntN(2500)) * time.Millisecond)
		c.check()
	}
	c.heal()
	t.Logf("seed %d: %s", *randomSeed, strings.Join(c.history, ", "))
	eventually(t, "the fleet converges", func() bool { return c.converged() })
	c.daemons[0].setAndWait(4, "77")
	c.check()
	load.waitProgress()
	load.stopAndVerify(upstreams...)
	for _, d := range c.daemons {
		is.True(!strings.Contains(d.text(), "panic:"))
	}
}

func (c *faultRun) options(i int) daemonOptions {
	return daemonOptions{name: fmt.Sprint("erie-", i), region: "erie", domain: "a", platform: c.platform}
}

// injectFault injects one random fault or heals all.
func (c *faultRun) injectFault() {
	i := c.random.IntN(len(c.daemons))
	kind := c.random.IntN(9)
	c.history = append(c.history, fmt.Sprintf("%d on %d", kind, i))
	switch kind {
	case 0, 1:
		c.togglePause(i)
	case 2:
		c.replaceDaemon(i)
	case 3:
		c.blockLinks(i, dropForward)
	case 4:
		c.blockLinks(i, dropBackward)
	case 5:
		setFaults(c.t, c.platform, platform.Faults{Down: true})
	case 6:
		setFaults(c.t, c.platform, platform.Faults{SlowMillis: 700, LoseAnswers: 20})
	case 7:
		c.changeSettings(i)
	case 8:
		c.heal()
	}
}

// blockLinks drops data to or from a daemon's links in one direction.
func (c *faultRun) blockLinks(i int, toxic string) {
	if !c.blocked[i] {
		c.proxies[i].addToxic(toxic)
		c.blocked[i] = true
	}
}

func (c *faultRun) togglePause(i int) {
	if c.paused[i] {
		c.daemons[i].signal(syscall.SIGCONT)
	} else {
		c.daemons[i].signal(syscall.SIGSTOP)
	}
	c.paused[i] = !c.paused[i]
}

// replaceDaemon kills a daemon and starts another behind the same proxy.
func (c *faultRun) replaceDaemon(i int) {
	old := c.daemons[i]
	old.kill()
	c.paused[i] = false
	o := c.options(i)
	o.advertise = c.proxies[i].Listen
	o.callers, o.links, o.operators = old.callers, old.linksBound, old.operators
	for j, d := range c.daemons {
		if j != i {
			o.seeds = append(o.seeds, d.links)
		}
	}
	c.daemons[i] = startDaemon(c.t, o)
}

// changeSettings requests a change of settings. Only a 4xx response fails the test.
func (c *faultRun) changeSettings(i int) {
	if c.paused[i] {
		return
	}
	var e operator.ErrorResponse
	code := c.daemons[i].callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
		Edits: []resolver.Edit{{Path: "/", Key: resolver.KeyQueueLength, Value: resolver.Value(fmt.Sprint(60 + c.random.IntN(1000)))}},
	}, &e)
	if code != http.StatusOK && code < http.StatusInternalServerError {
		c.t.Fatalf("change rejected: status %d, %+v", code, e)
	}
}

// heal removes all faults.
func (c *faultRun) heal() {
	setFaults(c.t, c.platform, platform.Faults{})
	for i, p := range c.proxies {
		if c.paused[i] {
			c.togglePause(i)
		}
		if c.blocked[i] {
			p.heal()
			// Restarting the proxy discards the data it holds back, which would precede new data.
			if err := p.Update(&toxiproxy.Proxy{Listen: p.Listen, Upstream: c.daemons[i].linksBound, Enabled: false}); err != nil {
				c.t.Fatal(err)
			}
			if err := p.Update(&toxiproxy.Proxy{Listen: p.Listen, Upstream: c.daemons[i].linksBound, Enabled: true}); err != nil {
				c.t.Fatal(err)
			}
			c.blocked[i] = false
		}
	}
}

// check asserts the invariants that hold in every process at any time.
func (c *faultRun) check() {
	for i, d := range c.daemons {
		if c.paused[i] {
			continue
		}
		st := d.status()
		if st.InvariantsBroken > 0 {
			c.t.Fatalf("%d broken invariants in %s; seed %d: %v", st.InvariantsBroken, d.name, *randomSeed, c.history)
		}
		c.checkFenceHolder(d, "lead", uint64(st.Fence))
		c.checkFenceHolder(d, "planner", uint64(st.PlannerFence))
		c.checkMonotonic(d, st)
	}
}

// checkFenceHolder asserts that each fence of a lease belongs to one process only.
func (c *faultRun) checkFenceHolder(d *daemon, lease string, fence uint64) {
	if fence == 0 {
		return
	}
	k := fmt.Sprint(lease, " ", fence)
	incarnation := incarnationOf(c.t, d)
	if before, ok := c.fenceHolders[k]; ok && before != incarnation {
		c.t.Fatalf("%s held by %s and %s; seed %d: %v", k, before, incarnation, *randomSeed, c.history)
	}
	c.fenceHolders[k] = incarnation
}

// checkMonotonic asserts that no number in force decreases within a process.
func (c *faultRun) checkMonotonic(d *daemon, st operator.Status) {
	for name, n := range map[string]float64{"settings": float64(st.Settings), "plan": float64(st.Plan)} {
		k := incarnationOf(c.t, d) + name
		if n < c.lastNumbers[k] {
			c.t.Fatalf("%s of %s went from %g to %g; seed %d: %v", name, d.name, c.lastNumbers[k], n, *randomSeed, c.history)
		}
		c.lastNumbers[k] = n
	}
}

// converged reports whether all daemons are valid members with one leader and own all slots.
func (c *faultRun) converged() bool {
	leaders, slots := 0, 0
	for _, d := range c.daemons {
		st := d.status()
		if !st.Valid || !st.Platform || st.Members != len(c.daemons) || st.InForce != len(c.daemons) {
			return false
		}
		if st.Lead {
			leaders++
		}
		for _, o := range st.Owned {
			slots += o.Slots
		}
	}
	return leaders == 1 && slots == 12
}
