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
	// maxDrainBytes is how much of an unread body is discarded to keep the connection:
	// as much as in the server of the standard library.
	maxDrainBytes = 256 << 10

	// drainTimeout bounds the read of such a body. Most bodies arrive with their head.
	drainTimeout = 500 * time.Millisecond

	continueLine = "HTTP/1.1 100 Continue\r\n\r\n"
)

// errBodyAfterHandler is returned by a body that is read after its handler returned.
var errBodyAfterHandler = errors.New("request body read after its handler returned")

// requestBody is the body of a request. A request with a body is handled alone on its
// connection.
type requestBody struct {
	conn   *conn
	source io.ReadCloser
	// ended is closed when the body is no longer read: at its end or when its handler
	// is done.
	ended     chan struct{}
	once      sync.Once
	fullyRead atomic.Bool
	// closed reports whether the handler returned.
	closed atomic.Bool

	lock sync.Mutex
	// awaitingContinue reports whether the caller waits for 100 Continue before it sends
	// the body.
	awaitingContinue bool
}

func newBody(c *conn, r *http.Request) *requestBody {
	return &requestBody{conn: c, source: r.Body, ended: make(chan struct{}), awaitingContinue: expectsContinue(r) && r.ProtoAtLeast(1, 1)}
}

// Read reads the body. Any error but io.EOF means that the body is incomplete.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, errBodyAfterHandler
	}
	b.sendContinue()
	return b.read(p)
}

// Close does nothing. The server discards the rest of the body.
func (b *requestBody) Close() error {
	return nil
}

func (b *requestBody) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	switch {
	case err == io.EOF:
		b.fullyRead.Store(true)
		b.end()
	case err != nil:
		b.conn.cancel()
	}
	return n, err
}

func (b *requestBody) end() {
	b.once.Do(func() { close(b.ended) })
}

// sendContinue sends 100 Continue once if the caller waits for it.
func (b *requestBody) sendContinue() {
	b.lock.Lock()
	defer b.lock.Unlock()
	if !b.awaitingContinue {
		return
	}
	b.awaitingContinue = false
	_, _ = b.conn.writer.WriteString(continueLine)
	if b.conn.writer.Flush() != nil {
		b.conn.cancel()
	}
}

// discardRest discards the rest of the body before the response is written. It reports
// whether the connection can be used for another request.
func (b *requestBody) discardRest() bool {
	b.lock.Lock()
	awaitingContinue := b.awaitingContinue
	b.awaitingContinue = false
	b.lock.Unlock()
	switch {
	case b.fullyRead.Load():
		return true
	case awaitingContinue:
		// It is not known whether the caller sends the body now.
		return false
	}
	_ = b.conn.Conn.SetReadDeadline(time.Now().Add(drainTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(readerFunc(b.read), maxDrainBytes+1))
	_ = b.conn.Conn.SetReadDeadline(time.Time{})
	return err == nil && n <= maxDrainBytes
}

// readerFunc is an io.Reader that calls a function.
type readerFunc func([]byte) (int, error)

// Read calls f.
func (f readerFunc) Read(p []byte) (int, error) {
	return f(p)
}
