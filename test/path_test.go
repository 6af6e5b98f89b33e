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

// TestWholePath takes a look-up and a forwarded request through a daemon under
// settings that it read from the platform.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	upstream := startUpstream(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream))

	p, err := http.Get("http://" + d.callers + "/Lookup?Service=keg-ledger&Block=10.1.2.0/24")
	is.NoErr(err)
	defer p.Body.Close()
	var a steerer.Answer
	is.NoErr(json.NewDecoder(p.Body).Decode(&a))
	is.Equal(a.Entries[0].Address, d.callers)
	is.Equal(string(a.Site), "erie/a")
	is.True(a.LifetimeMillis > 0)

	body := "one keg back"
	var q *http.Response
	eventually(t, "the upstream is owned", func() bool {
		q, err = d.send(context.Background(), http.MethodPost, "keg-ledger", "/returns?Token=t1&Bytes=2000", strings.NewReader(body))
		is.NoErr(err)
		return q.Header.Get("Gullvale-Outcome") != "not-run"
	})
	defer q.Body.Close()
	is.Equal(q.StatusCode, http.StatusOK)
	is.Equal(q.Header.Get("Gullvale-Outcome"), "answered")
	is.Equal(q.Header.Get("Gullvale-Upstream"), upstream)
	is.Equal(q.Header.Get("Gullvale-Entry"), "erie-1")
	_, err = payload.Verify(q.Body, payload.New("t1", []byte(body), 2000))
	is.NoErr(err)
	is.Equal(upstreamCounts(t, upstream).Journal["t1"], 1)
}

// TestLookupSaysWhatIsWrong asks for what is not there.
func TestLookupSaysWhatIsWrong(t *testing.T) {
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
			p, err := http.Get("http://" + d.callers + "/Lookup?" + c.query)
			is.NoErr(err)
			defer p.Body.Close()
			b, err := io.ReadAll(p.Body)
			is.NoErr(err)
			is.Equal(p.StatusCode, c.status)
			is.True(strings.Contains(string(b), c.text))
		})
	}
}

// TestStopKeepsLongExport stops both the entry of a long export and, in the
// other case, the owner of its upstream.
func TestStopKeepsLongExport(t *testing.T) {
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
			var q *http.Response
			eventually(t, "the entry knows the owner", func() bool {
				var err error
				q, err = entry.send(context.Background(), http.MethodGet, "keg-ledger", fmt.Sprintf("/export?Token=x&Bytes=%d", length), nil)
				is.NoErr(err)
				return q.StatusCode == http.StatusOK
			})
			defer q.Body.Close()
			first := make([]byte, 1000)
			_, err := io.ReadFull(q.Body, first)
			is.NoErr(err)
			stopped := c.stop(entry, owner)
			stopped.signal(syscall.SIGTERM)
			whole := io.MultiReader(strings.NewReader(string(first)), q.Body)
			n, err := payload.Verify(whole, payload.New("x", nil, length))
			is.NoErr(err)
			is.Equal(n, int64(length))
			is.Equal(stopped.waitExit(), 0)
		})
	}
}

// waitOwner returns the daemon that owns the one upstream, and another.
func waitOwner(t *testing.T, a, b *daemon) (owner, other *daemon) {
	t.Helper()
	eventually(t, "a daemon owns the upstream", func() bool {
		switch {
		case a.ownedSlots() > 0:
			owner, other = a, b
		case b.ownedSlots() > 0:
			owner, other = b, a
		}
		return owner != nil
	})
	return owner, other
}

// TestOperatorsRace lets two operators change settings through two daemons from
// the same base: of the same setting one wins and the other learns who; changes
// of different settings both count.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	d1 := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d2 := startDaemon(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
	d1.applySettings(2, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
	race := func(keys [2]resolver.Key, values [2]resolver.Value) (codes [2]int, losers [2]operator.ErrorAnswer) {
		var done sync.WaitGroup
		for i, d := range []*daemon{d1, d2} {
			var now operator.SettingsAnswer
			is.Equal(d1.callOperator(http.MethodGet, operator.PathSettings, nil, &now), http.StatusOK)
			done.Add(1)
			go func() {
				defer done.Done()
				codes[i] = d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{
					Base:  now.Number,
					Edits: []resolver.Edit{{Path: "erie:keg-ledger", Key: keys[i], Value: values[i]}},
				}, &losers[i])
			}()
		}
		done.Wait()
		return codes, losers
	}
	codes, losers := race([2]resolver.Key{resolver.KeySlots, resolver.KeySlots}, [2]resolver.Value{"5", "7"})
	is.Equal(codes[0]+codes[1], http.StatusOK+http.StatusConflict)
	for i, c := range codes {
		if c == http.StatusConflict {
			is.Equal(losers[i].Theirs.Who, "anna")
			is.True(losers[i].Theirs.AtMillis > 0)
			is.True(strings.Contains(string(losers[i].Theirs.Body), string(resolver.KeySlots)))
		}
	}
	codes, _ = race([2]resolver.Key{resolver.KeyLimit, resolver.KeyQueueLength}, [2]resolver.Value{"70%", "9"})
	is.Equal(codes, [2]int{http.StatusOK, http.StatusOK})
}

// TestLostAnswerEndsInTruth loses the answer of the platform to a change that
// took effect. The change is accepted once.
func TestLostAnswerEndsInTruth(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, "127.0.0.1:9"))
	setFaults(t, address, platform.Faults{LoseAnswers: 3, LosePrefix: "Settings/"})
	var a operator.ChangeAnswer
	edits := []resolver.Edit{{Path: "erie", Key: resolver.KeyLimit, Value: "60%"}}
	is.Equal(d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{ID: "mine", Edits: edits}, &a), http.StatusOK)
	is.Equal(int(a.Number), 2)
	var again operator.ChangeAnswer
	is.Equal(d.callOperator(http.MethodPost, operator.PathChange, operator.ChangeRequest{ID: "mine", Edits: edits}, &again), http.StatusOK)
	is.Equal(again.Number, a.Number)
	var l operator.LogAnswer
	is.Equal(d.callOperator(http.MethodGet, operator.PathLog, nil, &l), http.StatusOK)
	is.Equal(len(l.Changes), 2)
}

// TestBadSettingsStartNothing gives a daemon a settings file with three faults.
func TestBadSettingsStartNothing(t *testing.T) {
	is := is.New(t)
	file := t.TempDir() + "/bad.toml"
	is.NoErr(writeFile(file, "Name = \"Erie 1\"\nRegoin = \"erie\"\n\n[Platform]\nAddress = 7\n"))
	p := startProcess(t, "gullvaled", "--settings", file, "--check")
	is.Equal(p.waitExit(), 2)
	for _, want := range []string{":1: Name: ", ":2: Regoin: unknown setting", ":5: Platform.Address: ", "Region: is missing", "Callers: is missing"} {
		is.True(strings.Contains(p.logText(), want)) // each problem is listed
	}
}
