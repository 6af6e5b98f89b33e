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

// waitTimeout bounds every wait of a test. Passing tests stay far below it.
const waitTimeout = 10 * time.Second

// testServer is a server whose handlers report when they start and wait until they are
// released.
type testServer struct {
	server  *pipeliner.Server
	address string
	leaving atomic.Bool

	lock    sync.Mutex
	gates   map[string]chan struct{}
	started chan string
	ended   chan string
}

// startTestServer starts a server. Each handler sends its path on started, waits until the
// path is released, and responds with the path. A path with "broken" aborts its response.
// GET requests may overlap.
func startTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{gates: map[string]chan struct{}{}, started: make(chan string, 100), ended: make(chan string, 100)}
	s.server = &pipeliner.Server{
		Handler:    s,
		MayOverlap: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Draining:   s.leaving.Load,
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

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() { s.ended <- r.URL.Path }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.started <- r.URL.Path
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

func (s *testServer) gate(path string) chan struct{} {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *testServer) release(paths ...string) {
	for _, p := range paths {
		close(s.gate(p))
	}
}

// await receives n names from a channel and returns them as a set.
func await(t *testing.T, names chan string, n int) map[string]bool {
	t.Helper()
	got := map[string]bool{}
	for range n {
		select {
		case name := <-names:
			got[name] = true
		case <-time.After(waitTimeout):
			t.Fatalf("received only %v of %d", got, n)
		}
	}
	return got
}

// caller is a client connection to a server.
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
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
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

// get sends a GET for each path in a single write.
func (c *caller) get(paths ...string) {
	c.t.Helper()
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", p)
	}
	c.send(b.String())
}

// read returns the body of the next response, and whether it closes the connection.
func (c *caller) read() (body string, closes bool, err error) {
	p, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", false, err
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return string(b), p.Close, err
}

// expect reads one response per body and compares them. The last must close the
// connection if closes is set. No other may.
func (c *caller) expect(closes bool, bodies ...string) {
	c.t.Helper()
	for i, want := range bodies {
		got, closed, err := c.read()
		if err != nil || got != want || closed != (closes && i == len(bodies)-1) {
			c.t.Fatalf("got %q, closes %v, error %v; want %q", got, closed, err, want)
		}
	}
}

func (c *caller) expectClose() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Fatalf("connection is still open, error %v", err)
	}
}

func TestAnswersKeepTheOrderOfRequests(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	c := dial(t, s.address)
	c.get("/a", "/b", "/c", "/d")
	is.Equal(len(await(t, s.started, 4)), 4) // all at once
	s.release("/d", "/c", "/b")
	await(t, s.ended, 3)
	s.release("/a")
	c.expect(false, "/a", "/b", "/c", "/d")
	s.release("/e")
	c.get("/e") // the connection stays open
	c.expect(false, "/e")
}

// TestRequestThatMayNotOverlapIsHandledAlone pipelines a request that must not overlap
// between others that may. It must start only after all earlier responses are written, and
// no later request may start before its own response is written.
func TestRequestThatMayNotOverlapIsHandledAlone(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	c := dial(t, s.address)
	c.get("/a", "/b")
	c.send("POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	c.get("/c")
	is.Equal(await(t, s.started, 2), map[string]bool{"/a": true, "/b": true})
	s.release("/b")
	await(t, s.ended, 1)
	is.Equal(len(s.started), 0) // "/a" has no response yet
	s.release("/a")
	c.expect(false, "/a", "/b")
	is.Equal(await(t, s.started, 1), map[string]bool{"/once": true})
	is.Equal(len(s.started), 0)
	s.release("/once")
	c.expect(false, "/once")
	is.Equal(await(t, s.started, 1), map[string]bool{"/c": true})
	s.release("/c")
	c.expect(false, "/c")
}

// TestDrainingCompletesStartedRequests drains a server with pending requests. All started
// requests must get their response, the last response must close the connection, and no
// later request may start.
func TestDrainingCompletesStartedRequests(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	c := dial(t, s.address)
	c.get("/a", "/b", "/c")
	await(t, s.started, 3)
	c.send("POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	s.leaving.Store(true)
	s.release("/a")
	c.expect(false, "/a")
	c.get("/late")
	s.release("/c", "/b")
	c.expect(true, "/b", "/c")
	c.expectClose()
	is.Equal(len(s.started), 0)
}

// TestShutdownWaitsForRequests checks that Shutdown closes an idle connection at once, and a
// connection with requests after their responses.
func TestShutdownWaitsForRequests(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	idle, busy := dial(t, s.address), dial(t, s.address)
	s.release("/used")
	idle.get("/used")
	idle.expect(false, "/used")
	busy.get("/a", "/b")
	await(t, s.started, 3)
	down := make(chan error)
	go func() { down <- s.server.Shutdown(context.Background()) }()
	idle.expectClose()
	s.release("/a", "/b")
	busy.expect(true, "/a", "/b")
	is.NoErr(<-down)
	_, err := net.Dial("tcp", s.address)
	is.True(err != nil)
}

// TestDisconnectCancelsHandlers checks that a disconnect cancels the handlers of a caller,
// even if it has sent another request, or part of one, that has not started.
func TestDisconnectCancelsHandlers(t *testing.T) {
	for name, following := range map[string]string{
		"no further request": "",
		"waiting request":    "POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
		"incomplete head":    "GET /half HTTP/1.1\r\nHos",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startTestServer(t)
			c := dial(t, s.address)
			c.get("/a", "/b", "/c")
			await(t, s.started, 3)
			c.send(following)
			is.NoErr(c.Close())
			await(t, s.ended, 3)
			is.Equal(len(s.started), 0)
		})
	}
}

// TestConcurrentRequestsOfConnectionAreLimited pipelines more requests than are handled
// concurrently.
func TestConcurrentRequestsOfConnectionAreLimited(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	c := dial(t, s.address)
	var paths []string
	for i := range 40 {
		paths = append(paths, fmt.Sprintf("/%d", i))
	}
	c.get(paths...)
	is.Equal(len(await(t, s.started, 16)), 16)
	is.Equal(len(s.started), 0)
	s.release(paths[0])
	c.expect(false, paths[0])
	is.True(await(t, s.started, 1)[paths[16]])
	s.release(paths[1:]...)
	c.expect(false, paths[1:]...)
}

// TestSlowReaderDoesNotDelayOthers checks that a caller that does not read its long
// responses does not delay another caller.
func TestSlowReaderDoesNotDelayOthers(t *testing.T) {
	s := startTestServer(t)
	slow, other := dial(t, s.address), dial(t, s.address)
	more := "?more=" + strings.Repeat("x", 2000)
	long := "/" + strings.Repeat("l", 1500)
	s.release(long, "/b", "/c")
	slow.get(long+more, "/b", long+more) // 6 MB
	other.get("/b", "/c")
	other.expect(false, "/b", "/c")
	slow.expect(false, strings.Repeat(long, 2001), "/b", strings.Repeat(long, 2001))
}

// TestAbortedResponseClosesConnection aborts the second of three responses. The first must
// arrive complete, and no later one may look complete.
func TestAbortedResponseClosesConnection(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	c := dial(t, s.address)
	c.get("/a", "/broken", "/c")
	await(t, s.started, 3)
	s.release("/c", "/broken")
	await(t, s.ended, 2)
	s.release("/a")
	c.expect(false, "/a")
	_, _, err := c.read()
	is.True(err != nil)
	rest, _ := io.ReadAll(c.reader)
	is.Equal(string(rest), "")
}

// TestIdleTimeoutCanChangeWhileIdle raises the idle timeout while a connection is idle.
func TestIdleTimeoutCanChangeWhileIdle(t *testing.T) {
	is := is.New(t)
	var idle, calls atomic.Int64
	idle.Store(100)
	clock := timekeeper.Clock{}
	s := &pipeliner.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }),
		IdleTimeout: func() timekeeper.Millis {
			calls.Add(1)
			return timekeeper.Millis(idle.Load())
		},
	}
	address := listen(t, s.Serve)
	t.Cleanup(s.Close)
	c := dial(t, address)
	c.get("/")
	c.expect(false, "x")
	began := clock.Now()
	idle.Store(600)
	c.expectClose()
	is.True(clock.Now()-began >= 550)
	is.True(calls.Load() >= 3)
}

// TestSlowHeadIsRefused sends an incomplete head. The server of net/http responds with
// 400, after which callers do not retry. The response of this server says that the request
// did not run, so that callers may retry it.
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
	c.expectClose()
}

// TestWaitedCountsFromArrival checks that Waited returns the time since the arrival of a
// request that had to wait for another on its connection.
func TestWaitedCountsFromArrival(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	now.Store(1000)
	waited := make(chan timekeeper.Millis, 2)
	started, gate := make(chan struct{}), make(chan struct{})
	s := &pipeliner.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			waited <- pipeliner.Waited(w)
			started <- struct{}{}
			<-gate
		}),
		Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Millis(now.Load()) }},
	}
	address := listen(t, s.Serve)
	t.Cleanup(s.Close)
	c := dial(t, address)
	c.get("/a", "/b")
	<-started
	now.Store(1300)
	gate <- struct{}{}
	<-started
	gate <- struct{}{}
	is.Equal(<-waited, timekeeper.Millis(0))
	is.Equal(<-waited, timekeeper.Millis(300))
}
