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

// The randomised run is short and on a fixed seed unless asked otherwise.
var (
	randomSeed  = flag.Uint64("random.seed", 20261202, "seed of TestRandomFaults")
	randomSteps = flag.Int("random.steps", 8, "faults of TestRandomFaults")
)

// chaos is a fleet and the faults that it is under.
type faultRun struct {
	t           *testing.T
	random      *rand.Rand
	platform    string
	daemons     []*daemon
	proxies     []*proxy
	paused      map[int]bool
	blocked     map[int]bool
	lastNumbers map[string]float64
	// fenceHolders is which process showed a fence of a lease.
	fenceHolders map[string]string
	history      []string
}

// TestRandomFaults breaks and heals a fleet at random under load: pauses, kills,
// replacements, cut, silent and slow links, a platform that is down, slow or
// loses answers, changes of settings in between. In the end the fleet must come
// together, no number may have gone down in any process, and callers' accounts
// must agree with the upstreams' journals.
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
	x := startTraffic(t, 60, c.daemons...)
	x.waitProgress()
	for range *randomSteps {
		c.injectFault()
		// Faults last for a while; nothing is awaited here.
		time.Sleep(time.Duration(500+c.random.IntN(2500)) * time.Millisecond)
		c.check()
	}
	c.healAll()
	t.Logf("seed %d: %s", *randomSeed, strings.Join(c.history, ", "))
	eventually(t, "the fleet comes together", func() bool { return c.converged() })
	c.daemons[0].setAndWait(4, "77")
	c.check()
	x.waitProgress()
	x.stopAndVerify(upstreams...)
	for _, d := range c.daemons {
		is.True(!strings.Contains(d.logText(), "panic:"))
	}
}

func (c *faultRun) options(i int) daemonOptions {
	return daemonOptions{name: fmt.Sprint("erie-", i), region: "erie", domain: "a", platform: c.platform}
}

// injectFault lets one thing go wrong, or right again.
func (c *faultRun) injectFault() {
	i := c.random.IntN(len(c.daemons))
	what := c.random.IntN(9)
	c.history = append(c.history, fmt.Sprintf("%d on %d", what, i))
	switch what {
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
		c.healAll()
	}
}

// blockLinks makes the links to a daemon silent in one direction.
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

// changeSettings asks for a change of settings. It may fail for any reason but a wrong
// one.
func (c *faultRun) changeSettings(i int) {
	if c.paused[i] {
		return
	}
	var e operator.ErrorAnswer
	code := c.daemons[i].callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
		Edits: []resolver.Edit{{Path: "/", Key: resolver.KeyQueueLength, Value: resolver.Value(fmt.Sprint(60 + c.random.IntN(1000)))}},
	}, &e)
	if code != http.StatusOK && code < http.StatusInternalServerError {
		c.t.Fatalf("change: %d %+v", code, e)
	}
}

// healAll ends all faults.
func (c *faultRun) healAll() {
	setFaults(c.t, c.platform, platform.Faults{})
	for i, p := range c.proxies {
		if c.paused[i] {
			c.togglePause(i)
		}
		if c.blocked[i] {
			p.removeToxics()
			// A proxy keeps what it swallowed from what comes behind it.
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

// check asserts what must hold in every process at any time.
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
	who := incarnationOf(c.t, d)
	if before, ok := c.fenceHolders[k]; ok && before != who {
		c.t.Fatalf("%s held by %s and %s; seed %d: %v", k, before, who, *randomSeed, c.history)
	}
	c.fenceHolders[k] = who
}

// checkMonotonic asserts that no number in force went down in a process. A new
// process begins anew.
func (c *faultRun) checkMonotonic(d *daemon, st operator.Status) {
	for name, n := range map[string]float64{"settings": float64(st.Settings), "plan": float64(st.Plan)} {
		k := incarnationOf(c.t, d) + name
		if n < c.lastNumbers[k] {
			c.t.Fatalf("%s of %s went from %g to %g; seed %d: %v", name, d.name, c.lastNumbers[k], n, *randomSeed, c.history)
		}
		c.lastNumbers[k] = n
	}
}

// converged tells whether all daemons are valid members under one lead and own all
// slots.
func (c *faultRun) converged() bool {
	leads, slots := 0, 0
	for _, d := range c.daemons {
		st := d.status()
		if !st.Valid || !st.Platform || st.Members != len(c.daemons) || st.InForce != len(c.daemons) {
			return false
		}
		if st.Lead {
			leads++
		}
		for _, o := range st.Owned {
			slots += o.Slots
		}
	}
	return leads == 1 && slots == 12
}
