package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/payload"
)

// TestRollingReplacement replaces every daemon of a fleet in turn under load, with exports in
// flight through each. No request may be truncated, refused or left with an unknown outcome, and
// every daemon must exit with 0.
func TestRollingReplacement(t *testing.T) {
	const length = 4 << 20
	is := is.New(t)
	address := startPlatform(t)
	text, upstreams := startTwoUpstreams(t)
	depot := startUpstream(t, "--pace", fmt.Sprint(length/8), "--slots", "20")
	text += fmt.Sprintf("[Region.erie.Domain.a.Service.manifest-depot]\nUpstreams = [%q]\nSlots = 20\nDeadlineMillis = 0\n", depot)
	all := startThreeDaemons(t, address)
	all[0].applySettings(3, text)
	eventually(t, "all slots are owned", func() bool { return totalSlots(all...) == 32 })
	load := startTraffic(t, 100, all...)
	load.waitProgress()
	exports := make(chan error, len(all))
	for i, d := range all {
		var resp *http.Response
		eventually(t, "the export begins", func() bool {
			var err error
			resp, err = d.send(context.Background(), http.MethodGet, "manifest-depot", fmt.Sprintf("/x?Token=export%d&Bytes=%d", i, length), nil)
			is.NoErr(err)
			return resp.StatusCode == http.StatusOK
		})
		go func() {
			defer resp.Body.Close()
			_, err := payload.Verify(resp.Body, payload.New(fmt.Sprint("export", i), nil, length))
			exports <- err
		}()
	}
	fleet := append([]*daemon(nil), all...)
	for i, old := range all {
		replacement := startDaemon(t, daemonOptions{name: fmt.Sprint("erie-new-", i), region: "erie", domain: "a", platform: address})
		eventually(t, "the new daemon is a member", func() bool { return replacement.status().Valid })
		old.signal(syscall.SIGTERM)
		is.Equal(old.waitExit(), 0)
		fleet[i] = replacement
		load.waitProgress()
	}
	for range all {
		is.NoErr(<-exports)
	}
	eventually(t, "all slots are owned", func() bool { return totalSlots(fleet...) == 32 })
	account := load.stopAndVerify(upstreams...)
	is.Equal(account.Unknown, uint64(0))
	is.Equal(account.NotRun, uint64(0))
	for _, u := range upstreams {
		is.Equal(upstreamCounts(t, u).Shed, int64(0))
	}
}
