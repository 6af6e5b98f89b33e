// Command 2 shows that a request which may run once is answered as not run although it runs: the
// entry sends it again over the connection on which the server had refused it, and takes a second
// copy of the refusal for the answer to the repeat.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/gullvale/gullvale/review/deployer"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const (
	serverCount = 12
	slots       = 6
	work        = 300 * time.Millisecond

	// Clients send perSecond requests for playTime, about as many as in the sheet of the site.
	perSecond  = 65
	playTime   = 48 * time.Second
	playPeriod = 12 * time.Second
	things     = 24
	deadline   = 4 * time.Second

	// The servers refuse refusedOf20 of 20 requests (x = 0.55) for greyTime (for_s = 8.5) in each
	// playPeriod.
	refusedOf20 = 11
	greyTime    = 8500 * time.Millisecond

	// Seven of twelve servers (share 0.58 of at most 0.6) send one answer in extraOf a second time
	// (x = 0.029 of at most 0.03) for extraTime (for_s = 5.0) at the beginning of each of these times.
	garbling  = 7
	extraOf   = 34
	extraTime = 5 * time.Second

	startTimeout = 15 * time.Second
)

type (
	// play holds the times of the disruptions and what clients and servers saw.
	play struct {
		record  *deployer.Record
		trouble bool
		running sync.WaitGroup

		lock  sync.Mutex
		began time.Time
		// runs counts the runs of each request by its id, and refused holds those that were answered
		// with a status that promises that they did not run.
		runs    map[string]int
		refused map[string]int
		served  int
		sent    int
		extras  int
	}

	// server is a server of the ledger.
	server struct {
		id      string
		play    *play
		garbles bool

		lock sync.Mutex
		// arrivals counts the requests, answers the answers that may be sent a second time.
		arrivals, answers, busy int
	}
)

var names = deployer.Names

func main() {
	code, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	os.Exit(code)
}

// run plays the case, with or without the disruptions.
func run(directory string, trouble bool) (int, error) {
	record, err := deployer.NewRecord(filepath.Join(directory, "record.txt"))
	if err != nil {
		return failed, err
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return failed, err
	}
	defer os.RemoveAll(temporary)
	d := &deployer.Deployment{Record: record, Directory: temporary}
	defer d.Close()
	if err := d.Start(); err != nil {
		return failed, err
	}
	p := &play{record: record, trouble: trouble, runs: map[string]int{}, refused: map[string]int{}}
	for i := range serverCount {
		s := &server{id: fmt.Sprintf("i-%d", i+1), play: p, garbles: i < garbling}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return failed, err
		}
		defer l.Close()
		go s.loopAccept(l)
		zone := deployer.Zones[i%len(deployer.Zones)]
		d.Register(deployer.ServerEntry{ID: s.id, Address: l.Addr().String(), Service: "ledger", Zone: zone, Slots: slots, State: "ready", Seq: 1})
	}
	d.Configure(1, deployer.Route{Path: "/credit/", Kind: "unsafe", Service: "ledger", TimeoutMS: 2500, Attempts: 2})
	for _, zone := range deployer.Zones[:3] {
		if _, err := d.AddDaemon(zone); err != nil {
			return failed, err
		}
	}
	for _, m := range d.Daemons {
		if err := m.AwaitReady(startTimeout); err != nil {
			return failed, err
		}
	}
	time.Sleep(time.Second)
	p.start()
	p.loopSend(d.Daemons)
	p.running.Wait()
	return p.verdict()
}

func (p *play) start() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.began = time.Now()
}

// disrupted reports whether the servers refuse requests now, and whether they send answers twice.
func (p *play) disrupted() (grey, extra bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if !p.trouble || p.began.IsZero() {
		return false, false
	}
	// The disruptions come after 2 s, and again in each further period.
	at := time.Since(p.began) % playPeriod
	at -= 2 * time.Second
	return at >= 0 && at < greyTime, at >= 0 && at < extraTime
}

// loopSend sends requests at a steady rate.
func (p *play) loopSend(daemons []*deployer.Daemon) {
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := 0; time.Since(p.began) < playTime; i++ {
		<-tick.C
		p.running.Go(func() { p.request(i, daemons[i%len(daemons)].Front) })
	}
}

// request sends a request over a new connection.
func (p *play) request(i int, front string) {
	id := fmt.Sprintf("9c41d07c%08x", i)
	p.lock.Lock()
	p.sent++
	p.lock.Unlock()
	c, err := net.Dial("tcp", front)
	if err != nil {
		p.record.Add("client: request %s: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	body := "credit of " + id
	p.record.Add("client: request %s sent to %s", id, front)
	_, _ = fmt.Fprintf(c, "POST /credit/%d HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		i%things, deployer.Host, names.Attempt, id, names.Key, i%things, names.Deadline, deadline.Milliseconds(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		p.record.Add("client: request %s got no answer: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	seal := resp.Header.Get(names.Seal)
	p.record.Add("client: request %s got status %d, seal %q", id, resp.StatusCode, seal)
	p.lock.Lock()
	defer p.lock.Unlock()
	switch resp.StatusCode {
	case http.StatusOK:
		p.served++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		p.refused[id] = resp.StatusCode
	}
}

// verdict returns the exit code.
func (p *play) verdict() (int, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	ran, twice := 0, 0
	for id, status := range p.refused {
		if p.runs[id] > 0 {
			ran++
			p.record.Add("request %s was answered %d and HAS RUN", id, status)
		}
	}
	for id, n := range p.runs {
		if n > 1 {
			twice++
			p.record.Add("request %s RAN %d TIMES", id, n)
		}
	}
	result := fmt.Sprintf("%d requests, %d served, %d refused, %d answers sent twice; %d refused requests have run, %d requests ran twice",
		p.sent, p.served, len(p.refused), p.extras, ran, twice)
	p.record.Add("%s", result)
	fmt.Println(result)
	switch {
	case ran+twice > 0:
		return broken, nil
	case p.served < p.sent/4:
		return failed, errors.New("too few requests were served")
	}
	return held, nil
}

func (s *server) loopAccept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.runConn(c)
	}
}

// runConn serves one request at a time. late is a second copy of the last answer: it arrives where
// the next answer is expected.
func (s *server) runConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	late := ""
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if late != "" {
			s.play.record.Add("server %s: sends the answer before a second time, as request %s arrives: %q", s.id, q.Header.Get(names.Attempt), strings.Fields(late)[1:6])
			_, _ = io.WriteString(c, late)
		}
		answer := s.serve(q)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if late = ""; s.sendsTwice() {
			late = answer
		}
	}
}

// serve serves a request and returns the answer.
func (s *server) serve(q *http.Request) string {
	id := q.Header.Get(names.Attempt)
	if want := q.Header.Get(names.Expected); want != "" && want != s.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + names.Attempt + ": " + id + "\r\n" + names.Instance + ": " + s.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if !s.begin() {
		s.play.record.Add("server %s: request %s refused, not executed", s.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + names.Attempt + ": " + id + "\r\n" + names.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	defer s.end()
	s.play.recordRun(s.id, id)
	time.Sleep(work)
	text := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		names.Attempt, id, names.Seal, id, names.Load, s.load(), len(text), text)
}

// begin takes a slot for a request, and reports false if the server refuses it.
func (s *server) begin() bool {
	grey, _ := s.play.disrupted()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.arrivals++
	if grey && s.arrivals*refusedOf20%20 < refusedOf20 || s.busy >= slots {
		return false
	}
	s.busy++
	return true
}

func (s *server) end() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.busy--
}

func (s *server) load() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	return fmt.Sprintf("%d,0,%d", s.busy, slots)
}

// sendsTwice reports whether the last answer is sent a second time.
func (s *server) sendsTwice() bool {
	_, extra := s.play.disrupted()
	s.lock.Lock()
	defer s.lock.Unlock()
	if !extra || !s.garbles {
		return false
	}
	s.answers++
	if s.answers%extraOf != 0 {
		return false
	}
	s.play.lock.Lock()
	defer s.play.lock.Unlock()
	s.play.extras++
	return true
}

func (p *play) recordRun(server, id string) {
	p.record.Add("server %s: request %s runs", server, id)
	p.lock.Lock()
	defer p.lock.Unlock()
	p.runs[id]++
}
