package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/payload"
	"github.com/gullvale/gullvale/internal/version/steerer"
)

// TestWholePath takes a look-up and a forwarded request through a daemon under
// settings that it read from the platform.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	upstream := startUpstream(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.apply(1, fmt.Sprintf("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 6\n", upstream))

	p, err := http.Get("http://" + d.callers + "/Lookup?Service=keg-ledger&Block=10.1.2.0/24")
	is.NoErr(err)
	defer p.Body.Close()
	var a steerer.Answer
	is.NoErr(json.NewDecoder(p.Body).Decode(&a))
	is.Equal(a.Entries[0].Address, d.callers)
	is.Equal(string(a.Site), "erie/a")
	is.True(a.LifetimeMillis > 0)

	body := "one keg back"
	q, err := d.send(context.Background(), http.MethodPost, "keg-ledger", "/returns?Token=t1&Bytes=2000", strings.NewReader(body))
	is.NoErr(err)
	defer q.Body.Close()
	is.Equal(q.StatusCode, http.StatusOK)
	is.Equal(q.Header.Get("Gullvale-Outcome"), "answered")
	is.Equal(q.Header.Get("Gullvale-Upstream"), upstream)
	is.Equal(q.Header.Get("Gullvale-Entry"), "erie-1")
	_, err = payload.Verify(q.Body, payload.New("t1", []byte(body), 2000))
	is.NoErr(err)
	is.Equal(counts(t, upstream).Journal["t1"], 1)
}
