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

// postWithKey sends a POST with an idempotency key and returns the outcome, the body, and whether
// the response was replayed from an earlier attempt.
func (d *daemon) postWithKey(key string) (outcome, body string, replayed bool, err error) {
	return d.postAttempt(key, "")
}

// postAttempt is postWithKey with the value of Gullvale-First-Try; "" omits the header.
func (d *daemon) postAttempt(key, firstAttempt string) (outcome, body string, replayed bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/x?Bytes=40&Token="+key, strings.NewReader("one keg back"))
	if err != nil {
		return "", "", false, err
	}
	req.Header.Set("Gullvale-Service", "keg-ledger")
	req.Header["idempotency-key"] = []string{key}
	if firstAttempt != "" {
		req.Header.Set("Gullvale-First-Try", firstAttempt)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", "", false, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.Header.Get("Gullvale-Outcome"), string(b), resp.Header.Get("Gullvale-Replayed") != "", err
}

// TestFirstAttemptForLostHomeIsNotRun sends a key whose home is not a member. The outcome is
// unknown, because an earlier attempt may have run, unless the request is marked as the first
// attempt.
func TestFirstAttemptForLostHomeIsNotRun(t *testing.T) {
	is := is.New(t)
	text, _ := startTwoUpstreams(t)
	d := startDaemon(t, daemonOptions{name: "erie-0", region: "erie", domain: "a", platform: startPlatform(t)})
	d.applySettings(1, text)
	const key = "00000000000000aa.1"
	for _, c := range []struct {
		firstAttempt string
		want         string
	}{{"", "unknown"}, {"1", "not-run"}} {
		outcome, _, _, err := d.postAttempt(key, c.firstAttempt)
		is.NoErr(err)
		is.Equal(outcome, c.want)
	}
}

// TestKeysRunOnce sends each key through all entries concurrently, kills a daemon, and sends all
// keys again. No key may run twice, and all answered attempts of a key get the same response.
func TestKeysRunOnce(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	all, upstreams := startThreeOwners(t, address)
	var keys []string
	for i := range 20 {
		keys = append(keys, fmt.Sprint("deposit-", i))
		keys = append(keys, fmt.Sprintf("%s.%d", incarnationOf(t, all[i%3]), i))
	}
	var responses sync.Map
	var replays, unknown atomic.Int64
	sendAll := func(daemons []*daemon) {
		var wg sync.WaitGroup
		for _, key := range keys {
			for _, d := range daemons {
				wg.Add(1)
				go func() {
					defer wg.Done()
					outcome, body, replayed, err := d.postWithKey(key)
					switch {
					case err != nil:
						t.Errorf("%s: %v", key, err)
					case outcome == "unknown":
						unknown.Add(1)
					case outcome != "answered":
						t.Errorf("%s: %s %s", key, outcome, body)
					default:
						if first, loaded := responses.LoadOrStore(key, body); loaded && first != body {
							t.Errorf("%s: different response", key)
						}
					}
					if replayed {
						replays.Add(1)
					}
				}()
			}
		}
		wg.Wait()
	}
	checkRunOnce := func() {
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
	sendAll(all)
	checkRunOnce()
	is.Equal(replays.Load(), int64(2*len(keys))) // one of the three attempts per key ran
	is.Equal(unknown.Load(), int64(0))

	victim, rest := all[0], all[1:]
	lostIncarnation := incarnationOf(t, victim)
	victim.signal(syscall.SIGKILL)
	eventually(t, "the killed daemon is off the roster", func() bool { return rest[0].status().Members == 2 && rest[1].status().Members == 2 })
	eventually(t, "all slots are owned", func() bool { return totalSlots(rest...) == 12 })
	sendAll(rest)
	checkRunOnce()
	is.True(unknown.Load() > 0) // keys whose home was the killed daemon
	t.Logf("%d replays, %d unknown after the loss", replays.Load(), unknown.Load())

	resp, err := http.Get("http://" + rest[0].callers + "/Outcome?Key=" + lostIncarnation + ".0")
	is.NoErr(err)
	defer resp.Body.Close()
	var found forwarder.OutcomeResponse
	is.NoErr(json.NewDecoder(resp.Body).Decode(&found))
	is.Equal(found.Outcome, "unknown")
	second, err := http.Get("http://" + rest[0].callers + "/Outcome?Key=" + keys[3])
	is.NoErr(err)
	defer second.Body.Close()
	is.NoErr(json.NewDecoder(second.Body).Decode(&found))
	is.Equal(found.Outcome, "answered") // possibly after a redirect to the home
}

func incarnationOf(t *testing.T, d *daemon) string {
	t.Helper()
	return d.waitField("incarnation")["incarnation"].(string)
}
