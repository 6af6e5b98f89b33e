package integration_test

import (
	"syscall"
	"testing"
)

const (
	// momentSlots and momentService keep several requests under way at each upstream.
	momentSlots   = 24
	momentService = 60.0
	momentRate    = 60.0
	// momentWaiting is how many requests begin at a daemon that is silent.
	momentWaiting = 20
)

// moment is a way in which a failure domain is lost.
type moment struct {
	name string
	lose func(*testing.T, *place)
}

var moments = []moment{
	{"UpstreamThenDaemon", func(_ *testing.T, p *place) { p.lose() }},
	{"DaemonThenUpstream", func(_ *testing.T, p *place) {
		p.daemon.end()
		p.loseUpstream()
	}},
	{"DaemonOnly", func(_ *testing.T, p *place) { p.daemon.end() }},
	{"ResetsThenDaemon", func(t *testing.T, p *place) {
		for range 3 {
			p.http.CloseClientConnections()
			flows(t, []*place{p})
		}
		p.daemon.end()
	}},
	{"SilenceThenDaemon", func(t *testing.T, p *place) {
		p.daemon.signal(syscall.SIGSTOP)
		before := p.load.Running()
		eventually(t, "requests wait for the silent daemon", func() bool { return p.load.Running() > before+momentWaiting })
		p.daemon.end()
		p.loseUpstream()
	}},
}

// TestLostDomainRunsNothingTwice guards against a request that runs in a lost failure
// domain and again elsewhere. The domains of a region are lost in turn at different moments
// of the requests, none of which may run twice.
func TestLostDomainRunsNothingTwice(t *testing.T) {
	for _, m := range moments {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			all := startPlacesServing(t, momentSlots, momentService, "erie/a", "erie/b", "michigan/a", "superior/a")
			stop := callersPosting(t, momentRate, 1, all)
			flows(t, all)
			for _, p := range all[:2] {
				m.lose(t, p)
				flows(t, all)
			}
			stop()
			judgeRuns(t, all)
		})
	}
}

// judgeRuns compares what callers were told with the journals of all upstreams.
func judgeRuns(t *testing.T, all []*place) {
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
		if v := p.load.Judge(journals); v.Broken() {
			t.Errorf("promises broken: %+v", v)
		}
	}
}
