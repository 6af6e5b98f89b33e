package integration_test

import (
	"syscall"
	"testing"
)

const (
	// scenarioSlots and scenarioServiceMillis keep several requests under way at each upstream.
	scenarioSlots         = 24
	scenarioServiceMillis = 60.0
	scenarioRate          = 60.0
	// scenarioPending is how many requests begin at a daemon that is silent.
	scenarioPending = 20
)

// moment is a way in which a failure domain is lost.
type lossScenario struct {
	name string
	fail func(*testing.T, *failureDomain)
}

var lossScenarios = []lossScenario{
	{"UpstreamThenDaemon", func(_ *testing.T, p *failureDomain) { p.fail() }},
	{"DaemonThenUpstream", func(_ *testing.T, p *failureDomain) {
		p.daemon.kill()
		p.failUpstream()
	}},
	{"DaemonOnly", func(_ *testing.T, p *failureDomain) { p.daemon.kill() }},
	{"ResetsThenDaemon", func(t *testing.T, p *failureDomain) {
		for range 3 {
			p.http.CloseClientConnections()
			waitDomainsServed(t, []*failureDomain{p})
		}
		p.daemon.kill()
	}},
	{"SilenceThenDaemon", func(t *testing.T, p *failureDomain) {
		p.daemon.signal(syscall.SIGSTOP)
		before := p.load.Running()
		eventually(t, "requests wait for the silent daemon", func() bool { return p.load.Running() > before+scenarioPending })
		p.daemon.kill()
		p.failUpstream()
	}},
}

// TestLostDomainRunsNothingTwice guards against a request that runs in a lost failure
// domain and again elsewhere. The domains of a region are lost in turn at different moments
// of the requests, none of which may run twice.
func TestLostDomainRunsNothingTwice(t *testing.T) {
	for _, m := range lossScenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			all := startDomainsWithServiceTime(t, scenarioSlots, scenarioServiceMillis, "erie/a", "erie/b", "michigan/a", "superior/a")
			stop := startCallersWithPosts(t, scenarioRate, 1, all)
			waitDomainsServed(t, all)
			for _, p := range all[:2] {
				m.fail(t, p)
				waitDomainsServed(t, all)
			}
			stop()
			verifyDomains(t, all)
		})
	}
}

// verifyDomains compares what callers were told with the journals of all upstreams.
func verifyDomains(t *testing.T, all []*failureDomain) {
	t.Helper()
	var journals []map[string]int
	for _, p := range all {
		p.load.Wait()
	}
	for _, p := range all {
		journals = append(journals, p.server.Counts().Journal)
	}
	for _, p := range all {
		a := p.account()
		t.Logf("%s/%s: %d requests, %d answered, %d not run, %d unknown %v", p.region, p.domain, a.Requests, a.Answered, a.NotRun, a.Unknown, a.Reasons)
		if v := p.load.CheckJournals(journals); v.Violated() {
			t.Errorf("promises broken: %+v", v)
		}
	}
}
