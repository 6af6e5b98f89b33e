package integration_test

import (
	"syscall"
	"testing"
)

const (
	// scenarioSlots and scenarioServiceMillis keep several requests in flight at each upstream.
	scenarioSlots         = 24
	scenarioServiceMillis = 60.0
	scenarioRate          = 60.0
	// scenarioPending is the number of requests that must be waiting for a suspended daemon.
	scenarioPending = 20
)

// lossScenario is an order of failures by which a failure domain is lost.
type lossScenario struct {
	name string
	fail func(*testing.T, *failureDomain)
}

var lossScenarios = []lossScenario{
	{"UpstreamThenDaemon", func(_ *testing.T, d *failureDomain) { d.fail() }},
	{"DaemonThenUpstream", func(_ *testing.T, d *failureDomain) {
		d.daemon.kill()
		d.failUpstream()
	}},
	{"DaemonOnly", func(_ *testing.T, d *failureDomain) { d.daemon.kill() }},
	{"ResetsThenDaemon", func(t *testing.T, d *failureDomain) {
		for range 3 {
			d.http.CloseClientConnections()
			waitDomainsServed(t, []*failureDomain{d})
		}
		d.daemon.kill()
	}},
	{"SuspensionThenDaemonAndUpstream", func(t *testing.T, d *failureDomain) {
		d.daemon.signal(syscall.SIGSTOP)
		before := d.load.Running()
		eventually(t, "requests wait for the suspended daemon", func() bool { return d.load.Running() > before+scenarioPending })
		d.daemon.kill()
		d.failUpstream()
	}},
}

// TestDomainLossRunsNoRequestTwice guards against a request that runs in a lost failure domain and
// again elsewhere. Each scenario takes down two domains of a region in turn, each time by another
// order of failures, so that requests in flight are lost at different stages.
func TestDomainLossRunsNoRequestTwice(t *testing.T) {
	for _, m := range lossScenarios {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			domains := startDomainsWithServiceTime(t, scenarioSlots, scenarioServiceMillis, "erie/a", "erie/b", "michigan/a", "superior/a")
			stop := startCallersWithPosts(t, scenarioRate, 1, domains)
			waitDomainsServed(t, domains)
			for _, d := range domains[:2] {
				m.fail(t, d)
				waitDomainsServed(t, domains)
			}
			stop()
			verifyDomains(t, domains)
		})
	}
}

// verifyDomains checks what callers were told against the journals of all upstreams.
func verifyDomains(t *testing.T, domains []*failureDomain) {
	t.Helper()
	var journals []map[string]int
	for _, d := range domains {
		d.load.Wait()
	}
	for _, d := range domains {
		journals = append(journals, d.server.Counts().Journal)
	}
	for _, d := range domains {
		a := d.account()
		t.Logf("%s/%s: %d requests, %d answered, %d not run, %d unknown %v", d.region, d.domain, a.Requests, a.Answered, a.NotRun, a.Unknown, a.Reasons)
		if v := d.load.CheckJournals(journals); v.Violated() {
			t.Errorf("guarantees violated: %+v", v)
		}
	}
}
