package integration_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/quarantiner"
)

const (
	// crashDelay is the time from the arrival of a deadly request until the upstream crashes,
	// restartDelay the time until it listens again, and sendInterval the time between requests.
	crashDelay   = 60 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	sendInterval = 150 * time.Millisecond
	// propagationTime is the time, after the third crash caused by a request, by which all daemons
	// must have quarantined it; maxLateArrivals is how often it may still reach upstreams later.
	propagationTime = 4 * time.Second
	maxLateArrivals = 3
)

type (
	// crashingUpstreams crash when they receive /deadly and restart at the same address.
	crashingUpstreams struct {
		t    *testing.T
		lock sync.Mutex
		// arrivals holds the times at which /deadly reached an upstream, crashes those at which
		// one crashed.
		arrivals, crashes []time.Time
		live              map[string]*httptest.Server
		closed            bool
	}
)

func startCrashingUpstreams(t *testing.T, count int) (u *crashingUpstreams, addresses []string) {
	u = &crashingUpstreams{t: t, live: map[string]*httptest.Server{}}
	t.Cleanup(u.close)
	for range count {
		addresses = append(addresses, u.launch("127.0.0.1:0"))
	}
	return u, addresses
}

// launch starts an upstream at the address and returns the address it listens on.
func (u *crashingUpstreams) launch(address string) string {
	u.lock.Lock()
	defer u.lock.Unlock()
	if u.closed {
		return address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		u.t.Errorf("upstream %s did not restart: %v", address, err)
		return address
	}
	address = l.Addr().String()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/deadly") {
			u.crash(address)
		}
		fmt.Fprintln(w, "answer")
	}))
	s.Listener.Close()
	s.Listener = l
	s.Start()
	u.live[address] = s
	return address
}

// crash stops an upstream crashDelay after a deadly request reached it.
func (u *crashingUpstreams) crash(address string) {
	u.lock.Lock()
	s := u.live[address]
	u.arrivals = append(u.arrivals, time.Now())
	u.lock.Unlock()
	time.Sleep(crashDelay)
	u.lock.Lock()
	defer u.lock.Unlock()
	if s != nil && u.live[address] == s {
		delete(u.live, address)
		u.crashes = append(u.crashes, time.Now())
		s.Listener.Close()
		s.CloseClientConnections()
		time.AfterFunc(restartDelay, func() { u.launch(address) })
	}
	panic(http.ErrAbortHandler)
}

func (u *crashingUpstreams) close() {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.closed = true
	for _, s := range u.live {
		s.Listener.Close()
		s.CloseClientConnections()
	}
}

// lateArrivals returns how often the request reached upstreams more than propagationTime after the
// third crash, and the total number of crashes.
func (u *crashingUpstreams) lateArrivals() (arrivals, crashes int) {
	u.lock.Lock()
	defer u.lock.Unlock()
	if len(u.crashes) < maxLateArrivals {
		return 0, len(u.crashes)
	}
	quarantinedBy := u.crashes[2].Add(propagationTime)
	lateArrivals := slices.DeleteFunc(slices.Clone(u.arrivals), func(t time.Time) bool { return t.Before(quarantinedBy) })
	return len(lateArrivals), len(u.crashes)
}

// sendRepeatedly sends a request to the daemons in turn for the given time and returns the
// number of responses by status, outcome and reason.
func sendRepeatedly(method, target, body string, duration time.Duration, daemons ...*daemon) map[string]int {
	var lock sync.Mutex
	var pending sync.WaitGroup
	outcomes := map[string]int{}
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		<-ticker.C
		pending.Go(func() {
			outcome := "no response"
			resp, err := daemons[i%len(daemons)].send(context.Background(), method, "keg-ledger", target, strings.NewReader(body))
			if err == nil {
				outcome = fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Gullvale-Outcome"), " ", resp.Header.Get("Gullvale-Reason"))
				resp.Body.Close()
			}
			lock.Lock()
			defer lock.Unlock()
			outcomes[outcome]++
		})
	}
	pending.Wait()
	return outcomes
}

// startCrashingFleet starts two daemons in each of two regions and four crashing upstreams per
// region.
func startCrashingFleet(t *testing.T) (*crashingUpstreams, []*daemon) {
	address := startPlatform(t)
	u, upstreams := startCrashingUpstreams(t, 8)
	var daemons []*daemon
	for i, region := range []string{"erie", "michigan", "erie", "michigan"} {
		daemons = append(daemons, startDaemon(t, daemonOptions{name: fmt.Sprint(region, "-", i), region: region, domain: "a", platform: address}))
	}
	eventually(t, "four members", func() bool { return daemons[0].status().Members == 4 })
	daemons[0].applySettings(4, fmt.Sprintf(`Slots = 6
[Region.erie.Domain.a.Service.keg-ledger]
Upstreams = [%s]
[Region.michigan.Domain.a.Service.keg-ledger]
Upstreams = [%s]
`, quoteList(upstreams[:4]), quoteList(upstreams[4:])))
	eventually(t, "all slots are owned", func() bool { return totalSlots(daemons...) == 48 })
	return u, daemons
}

// TestDeadlyRequestIsStoppedAtOwners guards against a request that crashes one upstream after
// another. Without a quarantine the owner sees only a lost connection, the entry retries on up to
// four upstreams, and neither remembers the request when it comes again; one such request stopped
// 18 upstreams in a row.
func TestDeadlyRequestIsStoppedAtOwners(t *testing.T) {
	longBody := strings.Repeat("long", 10_000)
	for _, c := range []struct{ name, method, body string }{
		{"GET", http.MethodGet, ""},
		{"POST", http.MethodPost, ""},
		{"PUT of a long body", http.MethodPut, longBody},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u, daemons := startCrashingFleet(t)
			outcomes := sendRepeatedly(c.method, "/deadly", c.body, 8*time.Second, daemons...)
			lateArrivals, crashes := u.lateArrivals()
			t.Log(crashes, "upstream crashes; outcomes:", outcomes)
			is.True(crashes >= maxLateArrivals)
			is.True(lateArrivals <= maxLateArrivals) // runs after every daemon should have quarantined it
			var listed quarantiner.Listing
			is.Equal(daemons[3].callOperator(http.MethodGet, quarantiner.PathList, nil, &listed), http.StatusOK)
			is.Equal(len(listed.Suspects), 1)
			is.True(listed.Suspects[0].Quarantined)
			for i, d := range daemons {
				resp, err := d.send(context.Background(), c.method, "keg-ledger", fmt.Sprint("/other-", i), strings.NewReader(c.body))
				is.NoErr(err)
				resp.Body.Close()
				is.Equal(resp.StatusCode, http.StatusOK) // other requests are unaffected
			}
			lift := quarantiner.PathLift + "?" + quarantiner.FieldFingerprint + "=" + listed.Suspects[0].Fingerprint
			is.Equal(daemons[0].callOperator(http.MethodPost, lift, nil, nil), http.StatusOK)
			for _, d := range daemons {
				eventually(t, d.name+" has lifted the quarantine", func() bool {
					return d.callOperator(http.MethodGet, quarantiner.PathList, nil, &listed) == http.StatusOK && len(listed.Suspects) == 0
				})
			}
		})
	}
}
