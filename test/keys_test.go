package integration_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/forwarder"
)

// postWithKey sends a POST with a key and returns the outcome, the body, and whether the
// answer was kept from an earlier try.
func (d *daemon) postWithKey(key string) (outcome, body string, replayed bool, err error) {
	return d.postAttempt(key, "")
}

// postAttempt says first that this is the first try of the key, when it is not "".
func (d *daemon) postAttempt(key, first string) (outcome, body string, replayed bool, err error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/x?Bytes=40&Token="+key, strings.NewReader("one keg back"))
	if err != nil {
		return "", "", false, err
	}
	q.Header.Set("Gullvale-Service", "keg-ledger")
	q.Header["idempotency-key"] = []string{key}
	if first != "" {
		q.Header.Set("Gullvale-First-Try", first)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", "", false, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return p.Header.Get("Gullvale-Outcome"), string(b), p.Header.Get("Gullvale-Replayed") != "", err
}

// TestFirstTryOfLostHome sends a key whose home is no member: only a first try is
// known not to have run.
func TestFirstTryOfLostHome(t *testing.T) {
	is := is.New(t)
	text, _ := startTwoUpstreams(t)
	d := startDaemon(t, daemonOptions{name: "erie-0", region: "erie", domain: "a", platform: startPlatform(t)})
	d.applySettings(1, text)
	const key = "00000000000000aa.1"
	for _, c := range []struct {
		first string
		want  string
	}{{"", "unknown"}, {"1", "not-run"}} {
		outcome, _, _, err := d.postAttempt(key, c.first)
		is.NoErr(err)
		is.Equal(outcome, c.want)
	}
}

// TestKeysRunOnce sends each key several times at once through all entries, kills
// a daemon, and sends all keys again. No key may ever run twice, and all who are
// answered get the same answer.
func TestKeysRunOnce(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	all, upstreams := startThreeOwners(t, address)
	var keys []string
	for i := range 20 {
		keys = append(keys, fmt.Sprint("deposit-", i))
		keys = append(keys, fmt.Sprintf("%s.%d", incarnationOf(t, all[i%3]), i))
	}
	var answers sync.Map
	var replays, unknown atomic.Int64
	round := func(daemons []*daemon) {
		var done sync.WaitGroup
		for _, key := range keys {
			for _, d := range daemons {
				done.Add(1)
				go func() {
					defer done.Done()
					outcome, body, replayed, err := d.postWithKey(key)
					switch {
					case err != nil:
						t.Errorf("%s: %v", key, err)
					case outcome == "unknown":
						unknown.Add(1)
					case outcome != "answered":
						t.Errorf("%s: %s %s", key, outcome, body)
					default:
						if first, loaded := answers.LoadOrStore(key, body); loaded && first != body {
							t.Errorf("%s: another answer", key)
						}
					}
					if replayed {
						replays.Add(1)
					}
				}()
			}
		}
		done.Wait()
	}
	check := func() {
		total := map[string]int{}
		for _, journal := range upstreamJournals(t, upstreams...) {
			for token, n := range journal {
				total[token] += n
			}
		}
		for _, key := range keys {
			is.Equal(total[key], 1)
		}
	}
	round(all)
	check()
	is.Equal(replays.Load(), int64(2*len(keys))) // of three tries each, one ran
	is.Equal(unknown.Load(), int64(0))

	victim, rest := all[0], all[1:]
	gone := incarnationOf(t, victim)
	victim.signal(syscall.SIGKILL)
	eventually(t, "it is off the roster", func() bool { return rest[0].status().Members == 2 && rest[1].status().Members == 2 })
	eventually(t, "all slots are owned", func() bool { return totalSlots(rest...) == 12 })
	round(rest)
	check()
	is.True(unknown.Load() > 0) // the keys of the killed daemon
	t.Logf("%d replays, %d unknown after the loss", replays.Load(), unknown.Load())

	p, err := http.Get("http://" + rest[0].callers + "/Outcome?Key=" + gone + ".0")
	is.NoErr(err)
	defer p.Body.Close()
	var a forwarder.OutcomeAnswer
	is.NoErr(json.NewDecoder(p.Body).Decode(&a))
	is.Equal(a.Outcome, "unknown")
	q, err := http.Get("http://" + rest[0].callers + "/Outcome?Key=" + keys[3])
	is.NoErr(err)
	defer q.Body.Close()
	is.NoErr(json.NewDecoder(q.Body).Decode(&a))
	is.Equal(a.Outcome, "answered") // by redirect, if need be
}

func incarnationOf(t *testing.T, d *daemon) string {
	t.Helper()
	return d.waitField("incarnation")["incarnation"].(string)
}
