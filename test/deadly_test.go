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
	// deadlyRun is how long an upstream lives with a deadly request, deadlyPause how long it
	// takes to come back, and deadlyEvery how often the request comes.
	deadlyRun   = 60 * time.Millisecond
	deadlyPause = 1500 * time.Millisecond
	deadlyEvery = 150 * time.Millisecond
	// knownAfter is how long after three upstreams ended under it all daemons have to know of a
	// request, and lateRetries how often it may reach upstreams after that.
	knownAfter  = 4 * time.Second
	lateRetries = 3
)

type (
	// mortals are upstreams that end when they run /deadly, and come back at their address.
	mortals struct {
		t    *testing.T
		lock sync.Mutex
		// reached is when /deadly reached an upstream, ended when one ended.
		reached, ended []time.Time
		live           map[string]*httptest.Server
		closed         bool
	}
)

func startMortals(t *testing.T, count int) (m *mortals, addresses []string) {
	m = &mortals{t: t, live: map[string]*httptest.Server{}}
	t.Cleanup(m.close)
	for range count {
		addresses = append(addresses, m.begin("127.0.0.1:0"))
	}
	return m, addresses
}

// begin starts a life of an upstream.
func (m *mortals) begin(address string) string {
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
			m.end(address)
		}
		fmt.Fprintln(w, "answer")
	}))
	s.Listener.Close()
	s.Listener = l
	s.Start()
	m.live[address] = s
	return address
}

// end ends an upstream some time after it began to run a deadly request.
func (m *mortals) end(address string) {
	m.lock.Lock()
	s := m.live[address]
	m.reached = append(m.reached, time.Now())
	m.lock.Unlock()
	time.Sleep(deadlyRun)
	m.lock.Lock()
	defer m.lock.Unlock()
	if s != nil && m.live[address] == s {
		delete(m.live, address)
		m.ended = append(m.ended, time.Now())
		s.Listener.Close()
		s.CloseClientConnections()
		time.AfterFunc(deadlyPause, func() { m.begin(address) })
	}
	panic(http.ErrAbortHandler)
}

func (m *mortals) close() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.closed = true
	for _, s := range m.live {
		s.Listener.Close()
		s.CloseClientConnections()
	}
}

// late returns how often the request reached upstreams when all daemons had to know, and how
// many upstreams ended in all.
func (m *mortals) late() (reached, ended int) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if len(m.ended) < lateRetries {
		return 0, len(m.ended)
	}
	known := m.ended[2].Add(knownAfter)
	late := slices.DeleteFunc(slices.Clone(m.reached), func(t time.Time) bool { return t.Before(known) })
	return len(late), len(m.ended)
}

// press sends a request again and again round the daemons, and returns how often each
// outcome came back.
func press(method, target, body string, length time.Duration, all ...*daemon) map[string]int {
	var lock sync.Mutex
	var asked sync.WaitGroup
	outcomes := map[string]int{}
	tick := time.NewTicker(deadlyEvery)
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

// startMortalFleet starts two daemons in each of two regions, and eight upstreams.
func startMortalFleet(t *testing.T) (*mortals, []*daemon) {
	address := startPlatform(t)
	m, upstreams := startMortals(t, 8)
	var all []*daemon
	for i, region := range []string{"erie", "michigan", "erie", "michigan"} {
		all = append(all, startDaemon(t, daemonOptions{name: fmt.Sprint(region, "-", i), region: region, domain: "a", platform: address}))
	}
	eventually(t, "four members", func() bool { return all[0].state().Members == 4 })
	all[0].apply(4, fmt.Sprintf(`Slots = 6
[Region.erie.Domain.a.Service.keg-ledger]
Upstreams = [%s]
[Region.michigan.Domain.a.Service.keg-ledger]
Upstreams = [%s]
`, quoted(upstreams[:4]), quoted(upstreams[4:])))
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
			m, all := startMortalFleet(t)
			outcomes := press(x.method, "/deadly", x.body, 8*time.Second, all...)
			late, ended := m.late()
			t.Log(ended, "upstreams ended; answers:", outcomes)
			is.True(ended >= lateRetries)
			is.True(late <= lateRetries) // sent on although all daemons had to know
			var listed quarantiner.Listing
			is.Equal(all[3].call(http.MethodGet, quarantiner.PathList, nil, &listed), http.StatusOK)
			is.Equal(len(listed.Suspects), 1)
			is.True(listed.Suspects[0].Quarantined)
			for i, d := range all {
				p, err := d.send(context.Background(), x.method, "keg-ledger", fmt.Sprint("/other-", i), strings.NewReader(x.body))
				is.NoErr(err)
				p.Body.Close()
				is.Equal(p.StatusCode, http.StatusOK) // another request
			}
			lift := quarantiner.PathLift + "?" + quarantiner.FieldFingerprint + "=" + listed.Suspects[0].Fingerprint
			is.Equal(all[0].call(http.MethodPost, lift, nil, nil), http.StatusOK)
			for _, d := range all {
				eventually(t, d.name+" has it lifted", func() bool {
					return d.call(http.MethodGet, quarantiner.PathList, nil, &listed) == http.StatusOK && len(listed.Suspects) == 0
				})
			}
		})
	}
}
