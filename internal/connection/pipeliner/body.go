package pipeliner

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// mostDrained is how much of a body that its handler did not read is read past to
	// keep the connection: as much as the standard library's server does.
	mostDrained = 256 << 10

	// drainFor bounds the wait for such a body. Most of it comes right behind its head.
	drainFor = 500 * time.Millisecond

	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
)

// errLate is what a body returns that its handler reads after the answer.
var errLate = errors.New("body read after its answer")

// requestBody is the body of the one request that is handled on a connection.
type requestBody struct {
	conn   *conn
	source io.ReadCloser
	// ended is closed when nothing more is read: at the end of the body or of its
	// handler.
	ended chan struct{}
	once  sync.Once
	whole atomic.Bool
	// closed tells that the handler returned.
	closed atomic.Bool

	lock sync.Mutex
	// expected tells that the caller waits for a sign to send the body.
	expected bool
}

func newBody(c *conn, r *http.Request) *requestBody {
	return &requestBody{conn: c, source: r.Body, ended: make(chan struct{}), expected: expectsContinue(r) && r.ProtoAtLeast(1, 1)}
}

// Read reads the body. Any error but io.EOF means that it did not come whole.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, errLate
	}
	b.invite()
	return b.read(p)
}

// Close is for handlers that close bodies. The server reads past the rest.
func (b *requestBody) Close() error {
	return nil
}

func (b *requestBody) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	switch {
	case err == io.EOF:
		b.whole.Store(true)
		b.end()
	case err != nil:
		b.conn.cancel()
	}
	return n, err
}

func (b *requestBody) end() {
	b.once.Do(func() { close(b.ended) })
}

// invite asks the caller for the body, once.
func (b *requestBody) invite() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.expected {
		return
	}
	b.expected = false
	_, _ = b.conn.writer.WriteString(continueLine)
	if b.conn.writer.Flush() != nil {
		b.conn.cancel()
	}
}

// settle reads past the rest of the body before the answer, and reports false if the
// connection cannot be used for another request.
func (b *requestBody) settle() bool {
	b.lock.Lock()
	expected := b.expected
	b.expected = false
	b.lock.Unlock()
	switch {
	case b.whole.Load():
		return true
	case expected:
		// The caller may or may not send the body now.
		return false
	}
	_ = b.conn.Conn.SetReadDeadline(time.Now().Add(drainFor))
	n, err := io.Copy(io.Discard, io.LimitReader(readerFunc(b.read), mostDrained+1))
	_ = b.conn.Conn.SetReadDeadline(time.Time{})
	return err == nil && n <= mostDrained
}

// readerFunc is a function that reads.
type readerFunc func([]byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) {
	return f(p)
}
