// Command 1 shows that a server which responds before it has read a long body, and reads on
// later, gets other bytes than the client sent.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"strconv"
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
	// Of three servers two (share 0.67 of at most 0.7) respond early to two uploads in five (x = 0.4)
	// for troubleTime (for_s = 6.0).
	serverCount   = 3
	garbled       = 2
	earlyOf       = 5
	earlyAnswers  = 2
	troubleTime   = 6 * time.Second
	uploadClients = 6
	// longBytes and shortBytes are the lengths of uploads, sent in pieces at 4 Mbit/s. Uploads have
	// up to 360,000 bytes in the site file. The rest of a short one arrives within 0.1 s after the
	// early response.
	longBytes     = 320_000
	shortBytes    = 120_000
	pieceBytes    = 5_000
	pieceInterval = 10 * time.Millisecond
	// earlyBytes is how much of a body a server reads before an early response.
	earlyBytes   = 80_000
	minRequests  = 20
	deadline     = 8 * time.Second
	startTimeout = 15 * time.Second
)

type (
	// server is a server of the upload service.
	server struct {
		id      string
		garbles bool
		record  *deployer.Record

		lock sync.Mutex
		// until is when the early responses end, and uploads counts the requests until then.
		until   time.Time
		uploads int
		// changed are the ids of the requests whose body was not what the client sent.
		changed []string
		whole   int
	}

	// clients send uploads until some time.
	clients struct {
		daemons []*deployer.Daemon
		record  *deployer.Record
		until   time.Time
		running sync.WaitGroup

		lock           sync.Mutex
		sent, answered int
	}

	// upload is a request of a client.
	upload struct {
		id string
		// chunked sends the body in chunks instead of with a length.
		chunked bool
		body    []byte
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

// run plays the case, with or without early responses.
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
	var servers []*server
	for i, zone := range deployer.Zones[:serverCount] {
		s := &server{id: fmt.Sprintf("i-%d", i+1), garbles: trouble && i < garbled, record: record}
		servers = append(servers, s)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return failed, err
		}
		defer l.Close()
		go s.loopAccept(l)
		d.Register(deployer.ServerEntry{ID: s.id, Address: l.Addr().String(), Service: "intake", Zone: zone, Slots: 6, State: "ready", Seq: 1})
	}
	d.Configure(1, deployer.Route{Path: "/upload/", Kind: "upload", Service: "intake", TimeoutMS: 6000, Attempts: 2})
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
	until := time.Now().Add(troubleTime)
	for _, s := range servers {
		s.begin(until)
	}
	c := &clients{daemons: d.Daemons, record: record, until: until}
	for range uploadClients {
		c.running.Go(c.run)
	}
	c.running.Wait()
	// The servers read what is still on its way.
	time.Sleep(time.Second)
	return verdict(servers, c, record)
}

// run sends one upload after the other.
func (c *clients) run() {
	for time.Now().Before(c.until) {
		c.lock.Lock()
		i := c.sent
		c.sent++
		c.lock.Unlock()
		id := fmt.Sprintf("9c41d07b%08x", i)
		u := upload{id: id, chunked: i%2 == 0, body: body(id)}
		status := u.send(c.daemons[i%len(c.daemons)].Front, c.record)
		c.lock.Lock()
		if status > 0 {
			c.answered++
		}
		c.lock.Unlock()
	}
}

// verdict returns the exit code.
func verdict(servers []*server, c *clients, record *deployer.Record) (int, error) {
	changed, whole := 0, 0
	for _, s := range servers {
		s.lock.Lock()
		changed += len(s.changed)
		whole += s.whole
		s.lock.Unlock()
	}
	result := fmt.Sprintf("%d requests, %d answered; servers read %d bodies as they were sent, %d with other bytes", c.sent, c.answered, whole, changed)
	record.Add("%s", result)
	fmt.Println(result)
	switch {
	case changed > 0:
		return broken, nil
	case c.answered < c.sent/2 || c.sent < minRequests:
		return failed, errors.New("too few requests were answered")
	}
	return held, nil
}

// body returns the body of a request. Each 16 bytes state their position. Every second pair of
// requests has a short one.
func body(id string) []byte {
	length := longBytes
	if strings.ContainsRune("014589cd", rune(id[len(id)-1])) {
		length = shortBytes
	}
	b := make([]byte, 0, length+16)
	for len(b) < length {
		b = fmt.Appendf(b, "%s%07d\n", id[8:], len(b))
	}
	return b[:length]
}

// send sends the upload as a client does: a body in pieces, then the response. It returns the
// status, 0 for none.
func (u upload) send(front string, record *deployer.Record) int {
	c, err := net.Dial("tcp", front)
	if err != nil {
		record.Add("client: request %s: %v", u.id, err)
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	framing := "Content-Length: " + strconv.Itoa(len(u.body))
	var w io.Writer = c
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
		w = httputil.NewChunkedWriter(c)
	}
	record.Add("client: request %s sent to %s, %s", u.id, front, framing)
	_, _ = fmt.Fprintf(c, "POST /upload/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n\r\n",
		u.id, deployer.Host, names.Attempt, u.id, names.Key, u.id[14:], names.Deadline, deadline.Milliseconds(), framing)
	go u.runBody(c, w)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		record.Add("client: request %s got no response: %v", u.id, err)
		return 0
	}
	n, err := io.Copy(io.Discard, resp.Body)
	record.Add("client: request %s got status %d, seal %q, %d bytes, %v", u.id, resp.StatusCode, resp.Header.Get(names.Seal), n, err)
	// The rest of the body is sent, as of a client that reads the response when it has sent its
	// request.
	time.Sleep(time.Duration(len(u.body)/pieceBytes) * pieceInterval)
	return resp.StatusCode
}

// runBody sends the body in pieces.
func (u upload) runBody(c net.Conn, w io.Writer) {
	b := u.body
	for len(b) > 0 {
		if _, err := w.Write(b[:pieceBytes]); err != nil {
			return
		}
		b = b[pieceBytes:]
		time.Sleep(pieceInterval)
	}
	if u.chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
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

// runConn serves one request at a time.
func (s *server) runConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil || !s.serve(c, q) {
			return
		}
	}
}

// serve serves a request and reports whether the connection is kept.
func (s *server) serve(c net.Conn, q *http.Request) bool {
	id := q.Header.Get(names.Attempt)
	if want := q.Header.Get(names.Expected); want != "" && want != s.id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.Attempt, id, names.Instance, s.id)
		return false
	}
	s.record.Add("server %s: request %s arrives", s.id, id)
	if !s.respondsEarly() {
		b, err := io.ReadAll(q.Body)
		s.check(id, b, err)
		s.respond(c, id, "200 OK")
		return err == nil
	}
	b := make([]byte, earlyBytes)
	n, err := io.ReadFull(q.Body, b)
	if err != nil {
		s.check(id, b[:n], err)
		return false
	}
	s.respond(c, id, "413 Content Too Large")
	rest, err := io.ReadAll(q.Body)
	s.check(id, append(b, rest...), err)
	return err == nil
}

// begin starts the time of the early responses.
func (s *server) begin(until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.until = until
}

// respondsEarly reports whether the next upload gets an early response.
func (s *server) respondsEarly() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.garbles || !time.Now().Before(s.until) {
		return false
	}
	s.uploads++
	return s.uploads%earlyOf < earlyAnswers
}

func (s *server) respond(c net.Conn, id, status string) {
	text := "the server's bytes"
	s.record.Add("server %s: request %s gets status %s", s.id, id, status)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s: seal-%s\r\n%s: 1,0,6\r\nContent-Length: %d\r\n\r\n%s",
		status, names.Attempt, id, names.Seal, id, names.Load, len(text), text)
}

// check compares what was read of a body with what the client sent. A body that ends early is no
// fault here, as long as it does not look complete.
func (s *server) check(id string, got []byte, err error) {
	want := body(id)
	same := len(got) <= len(want) && string(got) == string(want[:len(got)])
	s.lock.Lock()
	defer s.lock.Unlock()
	switch {
	case !same:
		at := 0
		for at < len(got) && at < len(want) && got[at] == want[at] {
			at++
		}
		s.changed = append(s.changed, id)
		s.record.Add("server %s: request %s: OTHER BYTES from byte %d on: got %q, sent %q; read %d of %d bytes, end %v",
			s.id, id, at, excerpt(got, at), excerpt(want, at), len(got), len(want), err)
	case err == nil && len(got) < len(want):
		s.changed = append(s.changed, id)
		s.record.Add("server %s: request %s: body looks complete after %d of %d bytes", s.id, id, len(got), len(want))
	default:
		s.whole++
		s.record.Add("server %s: request %s: body as sent, %d of %d bytes, end %v", s.id, id, len(got), len(want), err)
	}
}

func excerpt(b []byte, at int) string {
	return strings.TrimSpace(string(b[min(at, len(b)):min(at+16, len(b))]))
}
