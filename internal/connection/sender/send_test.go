package sender_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/process/measurer"
)

const echoField = "X-Id"

// testUpstream is an upstream that runs a function for each connection, with a pool of
// connections to it.
type testUpstream struct {
	pool  *sender.Pool
	heads chan string
}

// conn is a connection that reads through the buffer from which its heads were read.
type conn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func (c conn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// startTestUpstream starts an upstream. It calls serve with each connection and a function
// that returns the head of the next request, or "" at the end of the connection.
func startTestUpstream(t *testing.T, serve func(c conn, next func() string)) *testUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &testUpstream{heads: make(chan string, 100)}
	go s.runAccept(l, serve)
	s.pool = &sender.Pool{
		Address: l.Addr().String(),
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", a)
		},
	}
	return s
}

func (s *testUpstream) runAccept(l net.Listener, serve func(conn, func() string)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.runConn(c, serve)
	}
}

func (s *testUpstream) runConn(c net.Conn, serve func(conn, func() string)) {
	defer c.Close()
	r := bufio.NewReader(c)
	serve(conn{c.(*net.TCPConn), r}, func() string {
		var head strings.Builder
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return ""
			}
			head.WriteString(line)
			if line == "\r\n" {
				s.heads <- head.String()
				return head.String()
			}
		}
	})
}

func request(id string) *sender.Request {
	return &sender.Request{
		Method:       http.MethodGet,
		Target:       "/a?b=c",
		Host:         "h.example",
		Header:       http.Header{echoField: {id}},
		EchoField:    echoField,
		Echo:         id,
		ConnDeadline: time.Now().Add(5 * time.Second),
		DialTimeout:  2000,
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echoField, id, len(body), body)
}

// get sends a request and returns the body of its response.
func (s *testUpstream) get(q *sender.Request) (string, error) {
	a, err := s.pool.Do(context.Background(), q)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	s := startTestUpstream(t, func(c conn, next func() string) {
		for i := 0; next() != ""; i++ {
			_, _ = io.WriteString(c, response(fmt.Sprint(i), fmt.Sprint("body ", i)))
		}
	})
	for i := range 3 {
		b, err := s.get(request(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(b, fmt.Sprint("body ", i))
	}
	is.Equal(s.pool.Dials(), uint64(1))
	is.Equal(<-s.heads, "GET /a?b=c HTTP/1.1\r\nHost: h.example\r\nX-Id: 0\r\n\r\n")
}

func TestResponsesAreMatchedToRequests(t *testing.T) {
	tests := []struct {
		name string
		// first is the response to request 1, second that to request 2.
		first, second string
		want          error
		dials         uint64
	}{
		{"second response to the first request", response("1", "one") + response("1", "again"), response("2", "two"), nil, 2},
		{"late response before the next one", response("1", "one"), response("1", "again") + response("2", "two"), nil, 1},
		{"only responses to another request", response("1", "one"), response("1", "x") + response("1", "y") + response("1", "z"), sender.ErrMalformed, 1},
		{"response without an ID", response("1", "one"), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo", sender.ErrMalformed, 1},
		{"not HTTP", response("1", "one"), "rubbish\r\n\r\n", sender.ErrLost, 1},
		{"interim response", response("1", "one"), "HTTP/1.1 102 Processing\r\n\r\n" + response("2", "two"), nil, 1},
		{"protocol switch", response("1", "one"), "HTTP/1.1 101 Switching Protocols\r\n\r\n", sender.ErrMalformed, 1},
		{"bytes after the response", response("1", "one") + "more", response("2", "two"), nil, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startTestUpstream(t, func(c conn, next func() string) {
				for head := next(); head != ""; head = next() {
					text := tt.first
					if strings.Contains(head, echoField+": 2") {
						text = tt.second
					}
					_, _ = io.WriteString(c, text)
				}
			})
			b, err := s.get(request("1"))
			is.NoErr(err)
			is.Equal(b, "one")
			b, err = s.get(request("2"))
			if tt.want != nil {
				is.True(errors.Is(err, tt.want))
				return
			}
			is.NoErr(err)
			is.Equal(b, "two")
			is.True(s.pool.Dials() <= tt.dials)
		})
	}
}

func TestTruncatedResponseIsIncomplete(t *testing.T) {
	tests := []struct {
		name, text string
		whole      bool
	}{
		{"shorter than Content-Length", "Content-Length: 10\r\n\r\nshort", false},
		{"no last chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", false},
		{"all chunks", "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n", true},
		{"ended by closing the connection", "\r\nshort", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startTestUpstream(t, func(c conn, next func() string) {
				next()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echoField+": 1\r\n"+tt.text)
			})
			b, err := s.get(request("1"))
			is.Equal(err == nil, tt.whole)
			if tt.whole {
				is.Equal(b, "short")
			}
		})
	}
}

func TestResetIsNotEndOfBody(t *testing.T) {
	is := is.New(t)
	s := startTestUpstream(t, func(c conn, next func() string) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echoField+": 1\r\n\r\npart")
		_ = c.SetLinger(0)
	})
	_, err := s.get(request("1"))
	is.True(err != nil)
}

func TestErrorsOfRequestsWithoutResponse(t *testing.T) {
	is := is.New(t)
	lost := startTestUpstream(t, func(_ conn, next func() string) { next() })
	_, err := lost.get(request("1"))
	is.True(errors.Is(err, sender.ErrLost))

	silent := startTestUpstream(t, func(_ conn, next func() string) {
		next()
		next()
	})
	q := request("1")
	q.ConnDeadline = time.Now().Add(50 * time.Millisecond)
	_, err = silent.get(q)
	is.True(errors.Is(err, sender.ErrTimeout))

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	lost.pool.Address = l.Addr().String()
	is.NoErr(l.Close())
	_, err = lost.get(request("2"))
	is.True(errors.Is(err, sender.ErrNotSent))

	q = request("3")
	q.Check = func() bool { return false }
	_, err = silent.get(q)
	is.True(errors.Is(err, sender.ErrWithdrawn))
}

// unacknowledgedConn is a connection whose reads fail with ETIMEDOUT, as they do when the
// other end does not acknowledge data in time.
type unacknowledgedConn struct{ net.Conn }

func (unacknowledgedConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT}
}

func TestUnacknowledgedDataIsDistinguishedFromTimeout(t *testing.T) {
	is := is.New(t)
	s := startTestUpstream(t, func(_ conn, next func() string) { next() })
	dial := s.pool.Dial
	s.pool.Dial = func(ctx context.Context, a string) (net.Conn, error) {
		c, err := dial(ctx, a)
		return unacknowledgedConn{c}, err
	}
	_, err := s.get(request("1"))
	is.True(errors.Is(err, sender.ErrUnacknowledged))
}

func TestCancelledContextClosesConnection(t *testing.T) {
	is := is.New(t)
	ended := make(chan bool)
	s := startTestUpstream(t, func(_ conn, next func() string) {
		next()
		// The connection must be closed without another request.
		ended <- next() == ""
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-s.heads
		cancel()
	}()
	_, err := s.pool.Do(ctx, request("1"))
	is.True(err != nil)
	is.True(<-ended)
}

// TestResponseBeforeEndOfRequestBody has an upstream respond before it has read a long body. The
// rest of the body must not be sent, and the connection must not be reused.
func TestResponseBeforeEndOfRequestBody(t *testing.T) {
	is := is.New(t)
	s := startTestUpstream(t, func(c conn, next func() string) {
		if next() != "" {
			_, _ = io.WriteString(c, response("1", "early"))
		}
		_, _ = io.Copy(io.Discard, c)
	})
	body, write := io.Pipe()
	defer write.Close()
	q := request("1")
	q.Method, q.Stream, q.Length = http.MethodPost, body, 1<<20
	b, err := s.get(q)
	is.NoErr(err)
	is.Equal(b, "early")
	_ = body.Close()
	_, err = s.get(request("1"))
	is.NoErr(err)
	is.Equal(s.pool.Dials(), uint64(2))
}

func TestStreamedBodies(t *testing.T) {
	for _, length := range []int64{5, -1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			is := is.New(t)
			s := startTestUpstream(t, func(c conn, next func() string) {
				next()
				b := make([]byte, 64)
				n, _ := io.ReadAtLeast(c, b, 5)
				got := string(b[:n])
				for !strings.Contains(got, "hello") || length < 0 && !strings.HasSuffix(got, "0\r\n\r\n") {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					got += string(b[:n])
				}
				_, _ = io.WriteString(c, response("1", got))
			})
			q := request("1")
			q.Method, q.Stream, q.Length = http.MethodPost, strings.NewReader("hello"), length
			b, err := s.get(q)
			is.NoErr(err)
			want := "hello"
			if length < 0 {
				want = "5\r\nhello\r\n0\r\n\r\n"
			}
			is.Equal(b, want)
		})
	}
}

// TestBytesAreCounted checks the byte counts of two exchanges over one connection, the
// second with a streamed body.
func TestBytesAreCounted(t *testing.T) {
	is := is.New(t)
	const body = "a body that is sent while it arrives"
	s := startTestUpstream(t, func(c conn, next func() string) {
		next()
		_, _ = io.WriteString(c, response("1", "one"))
		next()
		_, _ = io.CopyN(io.Discard, c, int64(len(body)))
		_, _ = io.WriteString(c, response("2", "two and more"))
	})
	var sent, received atomic.Int64
	s.pool.Count = func(out, in int64) {
		sent.Add(out)
		received.Add(in)
	}
	exchange := func(q *sender.Request) (bytes int64) {
		a, err := s.pool.Do(context.Background(), q)
		is.NoErr(err)
		defer a.Close()
		_, err = io.ReadAll(a)
		is.NoErr(err)
		return a.Bytes()
	}
	first := exchange(request("1"))
	is.Equal(sent.Load(), int64(len(<-s.heads)))
	is.Equal(received.Load(), int64(len(response("1", "one"))))
	is.Equal(first, sent.Load()+received.Load())

	q := request("2")
	q.Method, q.Stream, q.Length = http.MethodPost, strings.NewReader(body), int64(len(body))
	second := exchange(q)
	is.Equal(first+second, sent.Load()+received.Load())
	is.Equal(second, int64(len(<-s.heads)+len(body)+len(response("2", "two and more"))))
	is.Equal(s.pool.Dials(), uint64(1))
}

// blockingConn blocks after it has written body, until unblock is closed.
type blockingConn struct {
	net.Conn
	body    string
	unblock chan struct{}
}

func (c blockingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if string(b) == c.body {
		<-c.unblock
	}
	return n, err
}

// TestBodyIsCountedBeforeItsResponseIsRead guards against a race between the goroutine that
// writes a body and the reader of its response: if the body is counted after its write, the
// response may be read first, and the 36 bytes of the body are missing from the count.
func TestBodyIsCountedBeforeItsResponseIsRead(t *testing.T) {
	is := is.New(t)
	const body = "a body that is sent while it arrives"
	s := startTestUpstream(t, func(c conn, next func() string) {
		next()
		_, _ = io.CopyN(io.Discard, c, int64(len(body)))
		_, _ = io.WriteString(c, response("1", "one"))
	})
	unblock := make(chan struct{})
	dial := s.pool.Dial
	s.pool.Dial = func(ctx context.Context, a string) (net.Conn, error) {
		c, err := dial(ctx, a)
		return blockingConn{c, body, unblock}, err
	}
	q := request("1")
	q.Method, q.Stream, q.Length = http.MethodPost, strings.NewReader(body), int64(len(body))
	a, err := s.pool.Do(context.Background(), q)
	is.NoErr(err)
	_, err = io.ReadAll(a)
	is.NoErr(err)
	is.Equal(a.Bytes(), int64(len(<-s.heads)+len(body)+len(response("1", "one"))))
	close(unblock)
	a.Close()
}

// BenchmarkExchange measures one exchange over a persistent connection, with its bytes
// counted.
func BenchmarkExchange(b *testing.B) {
	is := is.New(b)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(echoField, r.Header.Get(echoField))
		_, _ = io.WriteString(w, "one")
	}))
	defer upstream.Close()
	m := measurer.New()
	defer m.Close()
	send, receive := m.Adder("sent", measurer.Labels{}), m.Adder("received", measurer.Labels{})
	s := &testUpstream{pool: &sender.Pool{
		Address: upstream.Listener.Addr().String(),
		Dial: func(ctx context.Context, a string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", a)
		},
		Count: func(out, in int64) {
			send(out)
			receive(in)
		},
	}}
	for b.Loop() {
		_, err := s.get(request("1"))
		is.NoErr(err)
	}
}
