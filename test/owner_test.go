package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/lister"
)

// probeCount returns how many probes a daemon has made.
func probeCount(d *daemon) int {
	d.t.Helper()
	return int(d.metric("probes"))
}

// TestProbesDoNotGrowWithDaemons has six daemons and one upstream. One daemon
// probes it and keeps connections to it, and no other does.
func TestProbesDoNotGrowWithDaemons(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	upstream := startUpstream(t)
	var all []*daemon
	for i := range 6 {
		all = append(all, startDaemon(t, daemonOptions{name: fmt.Sprint("erie-", i), region: "erie", domain: "a", platform: address}))
	}
	eventually(t, "six members", func() bool { return all[0].status().Members == 6 })
	all[0].applySettings(6, fmt.Sprintf(oneSiteSettings, upstream)+"ProbeIntervalMillis = 100\n")
	eventually(t, "one owner", func() bool { return totalSlots(all...) == 6 })
	x := startTraffic(t, 200, all...)
	x.waitProgress()
	eventually(t, "it is probed", func() bool { return upstreamCounts(t, upstream).Probes >= 20 })
	owners := 0
	for _, d := range all {
		if probeCount(d) > 0 {
			owners++
		}
	}
	is.Equal(owners, 1)
	x.stopAndVerify(upstream)
	c := upstreamCounts(t, upstream)
	is.True(c.Conns <= 12) // slots, a probe's, this test's own, and no multiple of daemons
	is.Equal(c.Shed, int64(0))
}

// TestListedVMGetsNothingNew has the platform's list call the VM of an upstream
// leaving, which the upstream itself does not say.
func TestListedVMGetsNothingNew(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	upstream := startUpstream(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream))
	eventually(t, "it is owned", func() bool { return d.ownedSlots() == 6 })
	body, err := json.Marshal(lister.List{VMs: []lister.VM{{Address: "127.0.0.1", Leaving: true}}})
	is.NoErr(err)
	q, err := http.NewRequest(http.MethodPut, address+"/Objects/VMs%2FList", bytes.NewReader(body))
	is.NoErr(err)
	q.Header.Set("If-None-Match", "*")
	p, err := http.DefaultClient.Do(q)
	is.NoErr(err)
	p.Body.Close()
	is.Equal(p.StatusCode, http.StatusOK)
	eventually(t, "it has no slots any more", func() bool { return d.ownedSlots() == 0 })
}

// TestDrainingUpstreamGetsNothingNew has an upstream say by itself that it leaves,
// under load.
func TestDrainingUpstreamGetsNothingNew(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, text)
	eventually(t, "both are owned", func() bool { return d.ownedSlots() == 12 })
	x := startTraffic(t, 100, d)
	x.waitProgress()
	p, err := http.Post("http://"+upstreams[0]+"/Drain", "", nil)
	is.NoErr(err)
	p.Body.Close()
	eventually(t, "it has no slots any more", func() bool { return d.ownedSlots() == 6 })
	x.waitProgress()
	x.stopAndVerify(upstreams...)
	is.Equal(upstreamCounts(t, upstreams[0]).Late, int64(0)) // nothing new later than 2 s after
}
