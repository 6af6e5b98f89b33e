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

// probeCount returns the number of probes that a daemon has sent.
func probeCount(d *daemon) int {
	d.t.Helper()
	return int(d.metric("probes"))
}

// TestProbesDoNotGrowWithDaemons checks that only one of six daemons probes an upstream and keeps
// connections to it.
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
	load := startTraffic(t, 200, all...)
	load.waitProgress()
	eventually(t, "the upstream is probed", func() bool { return upstreamCounts(t, upstream).Probes >= 20 })
	owners := 0
	for _, d := range all {
		if probeCount(d) > 0 {
			owners++
		}
	}
	is.Equal(owners, 1)
	load.stopAndVerify(upstream)
	c := upstreamCounts(t, upstream)
	is.True(c.Conns <= 12) // one per slot, for probes and for this test; six daemons would need more
	is.Equal(c.Shed, int64(0))
}

// TestUpstreamOnLeavingVMIsReleased marks the VM of an upstream as leaving in the platform's list.
// The owner must release the slots although the upstream itself does not announce that it drains.
func TestUpstreamOnLeavingVMIsReleased(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	upstream := startUpstream(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream))
	eventually(t, "the upstream is owned", func() bool { return d.ownedSlots() == 6 })
	body, err := json.Marshal(lister.List{VMs: []lister.VM{{Address: "127.0.0.1", Leaving: true}}})
	is.NoErr(err)
	req, err := http.NewRequest(http.MethodPut, address+"/Objects/VMs%2FList", bytes.NewReader(body))
	is.NoErr(err)
	req.Header.Set("If-None-Match", "*")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	eventually(t, "no slots of the upstream are owned", func() bool { return d.ownedSlots() == 0 })
}

// TestDrainingUpstreamGetsNoNewRequests has an upstream announce under load that it is draining.
func TestDrainingUpstreamGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, text)
	eventually(t, "both upstreams are owned", func() bool { return d.ownedSlots() == 12 })
	load := startTraffic(t, 100, d)
	load.waitProgress()
	resp, err := http.Post("http://"+upstreams[0]+"/Drain", "", nil)
	is.NoErr(err)
	resp.Body.Close()
	eventually(t, "no slots of the upstream are owned", func() bool { return d.ownedSlots() == 6 })
	load.waitProgress()
	load.stopAndVerify(upstreams...)
	// No new request arrived more than 2 s after the drain began.
	is.Equal(upstreamCounts(t, upstreams[0]).Late, int64(0))
}
