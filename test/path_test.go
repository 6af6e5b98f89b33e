package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/operator"
	"github.com/gullvale/gullvale/internal/standin/payload"
	"github.com/gullvale/gullvale/internal/standin/platform"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/internal/version/steerer"
)

const oneSiteSettings = "[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [%q]\nSlots = 6\n"

// TestLookupAndForwarding sends a lookup, and a request to forward, to a daemon whose settings come
// from the platform.
func TestLookupAndForwarding(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	upstream := startUpstream(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream))

	lookup, err := http.Get("http://" + d.callers + "/Lookup?Service=keg-ledger&Block=10.1.2.0/24")
	is.NoErr(err)
	defer lookup.Body.Close()
	var found steerer.Response
	is.NoErr(json.NewDecoder(lookup.Body).Decode(&found))
	is.Equal(found.Entries[0].Address, d.callers)
	is.Equal(string(found.Site), "erie/a")
	is.True(found.LifetimeMillis > 0)

	body := "one keg back"
	var resp *http.Response
	eventually(t, "the upstream is owned", func() bool {
		resp, err = d.send(context.Background(), http.MethodPost, "keg-ledger", "/returns?Token=t1&Bytes=2000", strings.NewReader(body))
		is.NoErr(err)
		return resp.Header.Get("Gullvale-Outcome") != "not-run"
	})
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get("Gullvale-Outcome"), "answered")
	is.Equal(resp.Header.Get("Gullvale-Upstream"), upstream)
	is.Equal(resp.Header.Get("Gullvale-Entry"), "erie-1")
	_, err = payload.Verify(resp.Body, payload.New("t1", []byte(body), 2000))
	is.NoErr(err)
	is.Equal(upstreamCounts(t, upstream).Journal["t1"], 1)
}

// TestInvalidLookupErrors checks the errors of invalid lookups.
func TestInvalidLookupErrors(t *testing.T) {
	address := startPlatform(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
	for _, c := range []struct {
		query, text string
		status      int
	}{
		{"", `"Service"`, http.StatusBadRequest},
		{"Service=none", `no service \"none\"`, http.StatusNotFound},
		{"Service=keg-ledger&Block=10.1", `"Block"`, http.StatusBadRequest},
	} {
		t.Run(c.query, func(t *testing.T) {
			is := is.New(t)
			resp, err := http.Get("http://" + d.callers + "/Lookup?" + c.query)
			is.NoErr(err)
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			is.True(strings.Contains(string(b), c.text))
		})
	}
}

// TestStopCompletesLongExport stops the entry or the owner during a long export, which must
// complete.
func TestStopCompletesLongExport(t *testing.T) {
	const length = 3 << 20
	for _, c := range []struct {
		name string
		stop func(entry, owner *daemon) *daemon
	}{
		{"entry", func(entry, _ *daemon) *daemon { return entry }},
		{"owner", func(_, owner *daemon) *daemon { return owner }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := startPlatform(t)
			upstream := startUpstream(t, "--pace", fmt.Sprint(length/4))
			d1 := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
			d2 := startDaemon(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
			d1.applySettings(2, fmt.Sprintf(oneSiteSettings, upstream))
			owner, entry := waitOwner(t, d1, d2)
			var resp *http.Response
			eventually(t, "the entry knows the owner", func() bool {
				var err error
				resp, err = entry.send(context.Background(), http.MethodGet, "keg-ledger", fmt.Sprintf("/export?Token=x&Bytes=%d", length), nil)
				is.NoErr(err)
				return resp.StatusCode == http.StatusOK
			})
			defer resp.Body.Close()
			first := make([]byte, 1000)
			_, err := io.ReadFull(resp.Body, first)
			is.NoErr(err)
			stopped := c.stop(entry, owner)
			stopped.signal(syscall.SIGTERM)
			whole := io.MultiReader(strings.NewReader(string(first)), resp.Body)
			n, err := payload.Verify(whole, payload.New("x", nil, length))
			is.NoErr(err)
			is.Equal(n, int64(length))
			is.Equal(stopped.waitExit(), 0)
		})
	}
}

// waitOwner waits until one of two daemons owns the upstream and returns it first.
func waitOwner(t *testing.T, a, b *daemon) (owner, entry *daemon) {
	t.Helper()
	eventually(t, "a daemon owns the upstream", func() bool {
		switch {
		case a.ownedSlots() > 0:
			owner, entry = a, b
		case b.ownedSlots() > 0:
			owner, entry = b, a
		}
		return owner != nil
	})
	return owner, entry
}

// TestConcurrentSettingsChanges changes settings concurrently through two daemons from the same
// base. For the same setting one change wins and the other response names the winner; changes of
// different settings both succeed.
func TestConcurrentSettingsChanges(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	d1 := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d2 := startDaemon(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
	d1.applySettings(2, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
	changeBoth := func(keys [2]resolver.Key, values [2]resolver.Value) (codes [2]int, failures [2]operator.ErrorResponse) {
		var wg sync.WaitGroup
		for i, d := range []*daemon{d1, d2} {
			var current operator.SettingsResponse
			is.Equal(d1.callOperator(http.MethodGet, operator.PathSettings, nil, &current), http.StatusOK)
			wg.Add(1)
			go func() {
				defer wg.Done()
				codes[i] = d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
					Base:  current.Number,
					Edits: []resolver.Edit{{Path: "erie:keg-ledger", Key: keys[i], Value: values[i]}},
				}, &failures[i])
			}()
		}
		wg.Wait()
		return codes, failures
	}
	codes, failures := changeBoth([2]resolver.Key{resolver.KeySlots, resolver.KeySlots}, [2]resolver.Value{"5", "7"})
	is.Equal(codes[0]+codes[1], http.StatusOK+http.StatusConflict)
	for i, c := range codes {
		if c == http.StatusConflict {
			is.Equal(failures[i].Theirs.Who, "anna")
			is.True(failures[i].Theirs.AtMillis > 0)
			is.True(strings.Contains(string(failures[i].Theirs.Body), string(resolver.KeySlots)))
		}
	}
	codes, _ = changeBoth([2]resolver.Key{resolver.KeyLimit, resolver.KeyQueueLength}, [2]resolver.Value{"70%", "9"})
	is.Equal(codes, [2]int{http.StatusOK, http.StatusOK})
}

// TestLostPlatformResponseAcceptsChangeOnce drops the platform's response to a write that took
// effect. The change is accepted exactly once, also if the operator sends it again.
func TestLostPlatformResponseAcceptsChangeOnce(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
	setFaults(t, address, platform.Faults{LoseAnswers: 3, LosePrefix: "Settings/"})
	var accepted operator.ChangeResponse
	edits := []resolver.Edit{{Path: "erie", Key: resolver.KeyLimit, Value: "60%"}}
	is.Equal(d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{ID: "mine", Edits: edits}, &accepted), http.StatusOK)
	is.Equal(int(accepted.Number), 2)
	var again operator.ChangeResponse
	is.Equal(d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{ID: "mine", Edits: edits}, &again), http.StatusOK)
	is.Equal(again.Number, accepted.Number)
	var log operator.LogResponse
	is.Equal(d.callOperator(http.MethodGet, operator.PathLog, nil, &log), http.StatusOK)
	is.Equal(len(log.Changes), 2)
}

// TestInvalidSettingsFileListsAllProblems checks an invalid settings file with --check, which must
// list every problem.
func TestInvalidSettingsFileListsAllProblems(t *testing.T) {
	is := is.New(t)
	file := t.TempDir() + "/bad.toml"
	is.NoErr(writeFile(file, "Name = \"Erie 1\"\nRegoin = \"erie\"\n\n[Platform]\nAddress = 7\n"))
	p := startProcess(t, "gullvaled", "--settings", file, "--check")
	is.Equal(p.waitExit(), 2)
	for _, want := range []string{":1: Name: ", ":2: Regoin: unknown setting", ":5: Platform.Address: ", "Region: is missing", "Callers: is missing"} {
		is.True(strings.Contains(p.text(), want)) // each problem is listed
	}
}
