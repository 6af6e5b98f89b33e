package pipeliner_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pipeliner"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// patience bounds what a test waits for. Nothing that passes comes near it.
const patience = 10 * time.Second

// site is a server whose handlers tell when they begin and wait to be let go.
type site struct {
	server  *pipeliner.Server
	address string
	leaving atomic.Bool

	lock  sync.Mutex
	gates map[string]chan struct{}
	begun chan string
	ended chan string
}

// startSite serves requests: each says on begun that it was begun, and answers with its
// path when it is let go, or breaks off if its path says so. GET may overlap.
func startSite(t *testing.T) *site {
	t.Helper()
	s := &site{gates: map[string]chan struct{}{}, begun: make(chan string, 100), ended: make(chan string, 100)}
	s.server = &pipeliner.Server{
		Handler:    s,
		MayOverlap: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Leaving:    s.leaving.Load,
	}
	s.address = listen(t, s.server.Serve)
	t.Cleanup(s.server.Close)
	return s
}

func listen(t testing.TB, serve func(net.Listener) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { _ = serve(l) }()
	return l.Addr().String()
}

func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() { s.ended <- r.URL.Path }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.begun <- r.URL.Path
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		return
	}
	body := strings.Repeat(r.URL.Path, 1+len(r.URL.Query().Get("more")))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if strings.Contains(r.URL.Path, "broken") {
		_, _ = io.WriteString(w, body[:1])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

func (s *site) gate(path string) chan struct{} {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *site) release(paths ...string) {
	for _, p := range paths {
		close(s.gate(p))
	}
}

// await returns the next n names of a channel, in any order.
func await(t *testing.T, names chan string, n int) map[string]bool {
	t.Helper()
	got := map[string]bool{}
	for range n {
		select {
		case name := <-names:
			got[name] = true
		case <-time.After(patience):
			t.Fatalf("only %v of %d came", got, n)
		}
	}
	return got
}

// caller is one connection to a site.
type caller struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return &caller{c, t, bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// get sends GETs of paths in one piece.
func (c *caller) get(paths ...string) {
	c.t.Helper()
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", p)
	}
	c.send(b.String())
}

// read returns the body of the next answer, and whether it closes the connection.
func (c *caller) read() (body string, closes bool, err error) {
	p, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", false, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return string(b), p.Close, err
}

// wants reads answers with these bodies. Only the last may close the connection, and
// does so if closes says so.
func (c *caller) wants(closes bool, bodies ...string) {
	c.t.Helper()
	for i, want := range bodies {
		got, closed, err := c.read()
		if err != nil || got != want || closed != (closes && i == len(bodies)-1) {
			c.t.Fatalf("got %q, closes %v, error %v; want %q", got, closed, err, want)
		}
	}
}

func (c *caller) wantsEnd() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Fatalf("connection goes on, error %v", err)
	}
}

func TestAnswersKeepTheOrderOfRequests(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	c := dial(t, s.address)
	c.get("/a", "/b", "/c", "/d")
	is.Equal(len(await(t, s.begun, 4)), 4) // all at once
	s.release("/d", "/c", "/b")
	await(t, s.ended, 3)
	s.release("/a")
	c.wants(false, "/a", "/b", "/c", "/d")
	s.release("/e")
	c.get("/e") // the connection is used on
	c.wants(false, "/e")
}

// TestOnceIsHandledAlone sends a request that may run once between such as may be
// repeated: it begins when all before it are answered, and nothing begins behind it
// until it is.
func TestOnceIsHandledAlone(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	c := dial(t, s.address)
	c.get("/a", "/b")
	c.send("POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	c.get("/c")
	is.Equal(await(t, s.begun, 2), map[string]bool{"/a": true, "/b": true})
	s.release("/b")
	await(t, s.ended, 1)
	is.Equal(len(s.begun), 0) // "/a" is not answered yet
	s.release("/a")
	c.wants(false, "/a", "/b")
	is.Equal(await(t, s.begun, 1), map[string]bool{"/once": true})
	is.Equal(len(s.begun), 0)
	s.release("/once")
	c.wants(false, "/once")
	is.Equal(await(t, s.begun, 1), map[string]bool{"/c": true})
	s.release("/c")
	c.wants(false, "/c")
}

// TestStopCutsNothing lets a server leave while requests are under way: those that were
// begun are answered, the last of them closes the connection, and nothing behind them
// is begun.
func TestStopCutsNothing(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	c := dial(t, s.address)
	c.get("/a", "/b", "/c")
	await(t, s.begun, 3)
	c.send("POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	s.leaving.Store(true)
	s.release("/a")
	c.wants(false, "/a")
	c.get("/late")
	s.release("/c", "/b")
	c.wants(true, "/b", "/c")
	c.wantsEnd()
	is.Equal(len(s.begun), 0)
}

// TestShutdownWaits closes an idle connection at once and one with requests when they
// are answered.
func TestShutdownWaits(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	idle, busy := dial(t, s.address), dial(t, s.address)
	s.release("/used")
	idle.get("/used")
	idle.wants(false, "/used")
	busy.get("/a", "/b")
	await(t, s.begun, 3)
	down := make(chan error)
	go func() { down <- s.server.Shutdown(context.Background()) }()
	idle.wantsEnd()
	s.release("/a", "/b")
	busy.wants(true, "/a", "/b")
	is.NoErr(<-down)
	_, err := net.Dial("tcp", s.address)
	is.True(err != nil)
}

// TestLeavingCallerEndsItsWork has a caller leave whose requests are under way, wait for
// their turn, and fill the read buffer.
func TestLeavingCallerEndsItsWork(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing behind": "",
		"once behind":    "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
		"half a head":    "GET /half HTTP/1.1\r\nHos",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t)
			c := dial(t, s.address)
			c.get("/a", "/b", "/c")
			await(t, s.begun, 3)
			c.send(behind)
			is.NoErr(c.Close())
			await(t, s.ended, 3)
			is.Equal(len(s.begun), 0)
		})
	}
}

// TestRequestsAheadAreBounded sends more than are handled at once.
func TestRequestsAheadAreBounded(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	c := dial(t, s.address)
	var paths []string
	for i := range 40 {
		paths = append(paths, fmt.Sprintf("/%d", i))
	}
	c.get(paths...)
	is.Equal(len(await(t, s.begun, 16)), 16)
	is.Equal(len(s.begun), 0)
	s.release(paths[0])
	c.wants(false, paths[0])
	is.True(await(t, s.begun, 1)[paths[16]])
	s.release(paths[1:]...)
	c.wants(false, paths[1:]...)
}

// TestSlowReaderHoldsUpItselfOnly has a caller read nothing of long answers.
func TestSlowReaderHoldsUpItselfOnly(t *testing.T) {
	s := startSite(t)
	slow, other := dial(t, s.address), dial(t, s.address)
	more := "?more=" + strings.Repeat("x", 2000)
	long := "/" + strings.Repeat("l", 1500)
	s.release(long, "/b", "/c")
	slow.get(long+more, "/b", long+more) // 6 MB
	other.get("/b", "/c")
	other.wants(false, "/b", "/c")
	slow.wants(false, strings.Repeat(long, 2001), "/b", strings.Repeat(long, 2001))
}

// TestBrokenAnswerEndsItsConnection has the second of three answers break off: the
// first arrives whole, and nothing that looks whole follows.
func TestBrokenAnswerEndsItsConnection(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	c := dial(t, s.address)
	c.get("/a", "/broken", "/c")
	await(t, s.begun, 3)
	s.release("/c", "/broken")
	await(t, s.ended, 2)
	s.release("/a")
	c.wants(false, "/a")
	_, _, err := c.read()
	is.True(err != nil)
	rest, _ := io.ReadAll(c.reader)
	is.Equal(string(rest), "")
}

// TestLimitsFollowTheirSettings has the idle limit grow while a connection is idle.
func TestLimitsFollowTheirSettings(t *testing.T) {
	is := is.New(t)
	var idle, asked atomic.Int64
	idle.Store(100)
	clock := timekeeper.Clock{}
	s := &pipeliner.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }),
		IdleTimeout: func() timekeeper.Millis {
			asked.Add(1)
			return timekeeper.Millis(idle.Load())
		},
	}
	address := listen(t, s.Serve)
	t.Cleanup(s.Close)
	c := dial(t, address)
	c.get("/")
	c.wants(false, "x")
	began := clock.Now()
	idle.Store(600)
	c.wantsEnd()
	is.True(clock.Now()-began >= 550)
	is.True(asked.Load() >= 3)
}

// TestSlowHeadIsRefused has a head stop midway. The standard server says 400, after which
// nobody asks again; the request did not run, and the caller may.
func TestSlowHeadIsRefused(t *testing.T) {
	is := is.New(t)
	refused := make(chan pipeliner.Kind, 1)
	s := &pipeliner.Server{
		Handler:     http.NotFoundHandler(),
		HeadTimeout: func() timekeeper.Millis { return 50 },
		Refused:     func(k pipeliner.Kind) { refused <- k },
	}
	address := listen(t, s.Serve)
	t.Cleanup(s.Close)
	c := dial(t, address)
	c.send("GET / HTTP/1.1\r\nHost: x")
	is.Equal(<-refused, pipeliner.KindSlowHead)
	p, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.Equal(p.StatusCode, http.StatusRequestTimeout)
	is.Equal(p.Header.Get("Gullvale-Outcome"), "not-run")
	_, _ = io.Copy(io.Discard, p.Body)
	c.wantsEnd()
}

// TestWaitingCounts has a request wait for another: the time counts from its arrival.
func TestWaitingCounts(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	now.Store(1000)
	waited := make(chan timekeeper.Millis, 2)
	begun, gate := make(chan struct{}), make(chan struct{})
	s := &pipeliner.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			waited <- pipeliner.Waited(w)
			begun <- struct{}{}
			<-gate
		}),
		Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Millis(now.Load()) }},
	}
	address := listen(t, s.Serve)
	t.Cleanup(s.Close)
	c := dial(t, address)
	c.get("/a", "/b")
	<-begun
	now.Store(1300)
	gate <- struct{}{}
	<-begun
	gate <- struct{}{}
	is.Equal(<-waited, timekeeper.Millis(0))
	is.Equal(<-waited, timekeeper.Millis(300))
}
