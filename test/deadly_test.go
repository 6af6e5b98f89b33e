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
	// crashDelay is how long an upstream lives with a deadly request, restartDelay how long it
	// takes to come back, and sendInterval how often the request comes.
	crashDelay   = 60 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	sendInterval = 150 * time.Millisecond
	// propagationTime is how long after three upstreams ended under it all daemons have to know of a
	// request, and maxLateArrivals how often it may reach upstreams after that.
	propagationTime = 4 * time.Second
	maxLateArrivals = 3
)

type (
	// crashingUpstreams are upstreams that end when they run /deadly, and come back at their address.
	crashingUpstreams struct {
		t    *testing.T
		lock sync.Mutex
		// arrivals is when /deadly reached an upstream, ended when one ended.
		arrivals, crashes []time.Time
		live              map[string]*httptest.Server
		closed            bool
	}
)

func startCrashingUpstreams(t *testing.T, count int) (m *crashingUpstreams, addresses []string) {
	m = &crashingUpstreams{t: t, live: map[string]*httptest.Server{}}
	t.Cleanup(m.close)
	for range count {
		addresses = append(addresses, m.launch("127.0.0.1:0"))
	}
	return m, addresses
}

// launch starts a life of an upstream.
func (m *crashingUpstreams) launch(address string) string {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.closed {
		return address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		m.t.Errorf("upstream %s did not come back: %v", address, err)
		return address
	}
	address = l.Addr().String()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/deadly") {
			m.crash(address)
		}
		fmt.Fprintln(w, "answer")
	}))
	s.Listener.Close()
	s.Listener = l
	s.Start()
	m.live[address] = s
	return address
}

// crash ends an upstream some time after it began to run a deadly request.
func (m *crashingUpstreams) crash(address string) {
	m.lock.Lock()
	s := m.live[address]
	m.arrivals = append(m.arrivals, time.Now())
	m.lock.Unlock()
	time.Sleep(crashDelay)
	m.lock.Lock()
	defer m.lock.Unlock()
	if s != nil && m.live[address] == s {
		delete(m.live, address)
		m.crashes = append(m.crashes, time.Now())
		s.Listener.Close()
		s.CloseClientConnections()
		time.AfterFunc(restartDelay, func() { m.launch(address) })
	}
	panic(http.ErrAbortHandler)
}

func (m *crashingUpstreams) close() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.closed = true
	for _, s := range m.live {
		s.Listener.Close()
		s.CloseClientConnections()
	}
}

// lateArrivals returns how often the request reached upstreams when all daemons had to know, and how
// many upstreams ended in all.
func (m *crashingUpstreams) lateArrivals() (reached, ended int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if len(m.crashes) < maxLateArrivals {
		return 0, len(m.crashes)
	}
	known := m.crashes[2].Add(propagationTime)
	late := slices.DeleteFunc(slices.Clone(m.arrivals), func(t time.Time) bool { return t.Before(known) })
	return len(late), len(m.crashes)
}

// sendRepeatedly sends a request again and again round the daemons, and returns how often each
// outcome came back.
func sendRepeatedly(method, target, body string, length time.Duration, all ...*daemon) map[string]int {
	var lock sync.Mutex
	var asked sync.WaitGroup
	outcomes := map[string]int{}
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		<-tick.C
		asked.Go(func() {
			outcome := "no answer"
			p, err := all[i%len(all)].send(context.Background(), method, "keg-ledger", target, strings.NewReader(body))
			if err == nil {
				outcome = fmt.Sprint(p.StatusCode, " ", p.Header.Get("Gullvale-Outcome"), " ", p.Header.Get("Gullvale-Reason"))
				p.Body.Close()
			}
			lock.Lock()
			defer lock.Unlock()
			outcomes[outcome]++
		})
	}
	asked.Wait()
	return outcomes
}

// startCrashingFleet starts two daemons in each of two regions, and eight upstreams.
func startCrashingFleet(t *testing.T) (*crashingUpstreams, []*daemon) {
	address := startPlatform(t)
	m, upstreams := startCrashingUpstreams(t, 8)
	var all []*daemon
	for i, region := range []string{"erie", "michigan", "erie", "michigan"} {
		all = append(all, startDaemon(t, daemonOptions{name: fmt.Sprint(region, "-", i), region: region, domain: "a", platform: address}))
	}
	eventually(t, "four members", func() bool { return all[0].status().Members == 4 })
	all[0].applySettings(4, fmt.Sprintf(`Slots = 6
[Region.erie.Domain.a.Service.keg-ledger]
Upstreams = [%s]
[Region.michigan.Domain.a.Service.keg-ledger]
Upstreams = [%s]
`, quoteList(upstreams[:4]), quoteList(upstreams[4:])))
	eventually(t, "all are owned", func() bool { return totalSlots(all...) == 48 })
	return m, all
}

// The owner of an upstream saw the connection lost, and the entry sent the request to the next
// one, up to four times; neither remembered the request when it came again. The same fault as on
// the users' platform, found there by an incident in which 18 upstreams ended one after another.
func TestDeadlyRequestIsStoppedAtOwners(t *testing.T) {
	long := strings.Repeat("long", 10_000)
	for _, x := range []struct{ name, method, body string }{
		{"GET", http.MethodGet, ""},
		{"POST", http.MethodPost, ""},
		{"PUT of a long body", http.MethodPut, long},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			m, all := startCrashingFleet(t)
			outcomes := sendRepeatedly(x.method, "/deadly", x.body, 8*time.Second, all...)
			late, ended := m.lateArrivals()
			t.Log(ended, "upstreams ended; answers:", outcomes)
			is.True(ended >= maxLateArrivals)
			is.True(late <= maxLateArrivals) // sent on although all daemons had to know
			var listed quarantiner.Listing
			is.Equal(all[3].callOperator(http.MethodGet, quarantiner.PathList, nil, &listed), http.StatusOK)
			is.Equal(len(listed.Suspects), 1)
			is.True(listed.Suspects[0].Quarantined)
			for i, d := range all {
				p, err := d.send(context.Background(), x.method, "keg-ledger", fmt.Sprint("/other-", i), strings.NewReader(x.body))
				is.NoErr(err)
				p.Body.Close()
				is.Equal(p.StatusCode, http.StatusOK) // another request
			}
			lift := quarantiner.PathLift + "?" + quarantiner.FieldFingerprint + "=" + listed.Suspects[0].Fingerprint
			is.Equal(all[0].callOperator(http.MethodPost, lift, nil, nil), http.StatusOK)
			for _, d := range all {
				eventually(t, d.name+" has it lifted", func() bool {
					return d.callOperator(http.MethodGet, quarantiner.PathList, nil, &listed) == http.StatusOK && len(listed.Suspects) == 0
				})
			}
		})
	}
}
