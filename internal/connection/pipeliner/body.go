package pipeliner

import (
	"errors"
	"io"
	"net/http"
	"sync"
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

// errBodyTaken is returned to a handler that reads the body after the connection has taken it over.
var errBodyTaken = errors.New("request body read after its response was complete")

// requestBody is the body of a request. A request with a body is handled alone on its
// connection. Its handler may read it in another goroutine, also while it writes the response.
type requestBody struct {
	conn   *conn
	source io.ReadCloser
	// ended is closed when the body is no longer read: at its end or when its handler
	// is done.
	ended chan struct{}
	once  sync.Once
	// reading is held during each read: the body has one reader at a time.
	reading sync.Mutex

	lock sync.Mutex
	// fullyRead reports whether the body was read to its end.
	fullyRead bool
	// taken reports whether the connection reads the body in place of the handler, whose
	// further reads fail.
	taken bool
	// awaitingContinue reports whether the caller waits for 100 Continue before it sends
	// the body.
	awaitingContinue bool
}

func newBody(c *conn, r *http.Request) *requestBody {
	return &requestBody{conn: c, source: r.Body, ended: make(chan struct{}), awaitingContinue: expectsContinue(r) && r.ProtoAtLeast(1, 1)}
}

// Read reads the body. Any error but io.EOF means that the body is incomplete.
func (b *requestBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.prepareRead() {
		return 0, errBodyTaken
	}
	n, err := b.source.Read(p)
	b.recordRead(err)
	return n, err
}

// Close does nothing. The server discards the rest of the body.
func (b *requestBody) Close() error {
	return nil
}

// prepareRead sends 100 Continue once if the caller waits for it. It reports false if the handler
// may no longer read.
func (b *requestBody) prepareRead() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.taken {
		return false
	}
	if !b.awaitingContinue {
		return true
	}
	b.awaitingContinue = false
	_, _ = b.conn.writer.WriteString(continueLine)
	if b.conn.writer.Flush() != nil {
		b.conn.cancel()
	}
	return true
}

// recordRead records the error of a read by the handler.
func (b *requestBody) recordRead(err error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	switch {
	case err == io.EOF:
		b.fullyRead = true
		if !b.taken {
			b.end()
		}
	case err != nil && !b.taken:
		b.conn.cancel()
	}
}

func (b *requestBody) end() {
	b.once.Do(func() { close(b.ended) })
}

// isFullyRead reports whether the body was read to its end.
func (b *requestBody) isFullyRead() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.fullyRead
}

// refuseContinue makes sure that no 100 Continue follows the response. It reports whether the
// caller waited for one, so that it is not known whether it sends the body.
func (b *requestBody) refuseContinue() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	awaited := b.awaitingContinue
	b.awaitingContinue = false
	return awaited
}

// takeOver ends the reads of the handler. What a read in progress gets within the timeout is still
// the handler's; after that, the connection is the only reader of the body.
func (b *requestBody) takeOver(timeout time.Duration) {
	b.lock.Lock()
	b.taken = true
	if b.fullyRead {
		b.lock.Unlock()
		return
	}
	_ = b.conn.Conn.SetReadDeadline(time.Now().Add(timeout))
	b.lock.Unlock()
	b.reading.Lock()
	defer b.reading.Unlock()
}

// release ends the reads of the handler, which has returned, and lets the connection go on.
func (b *requestBody) release() {
	b.takeOver(0)
	b.end()
}

// discardRest takes the body over and discards the rest of it before the response is written. It
// reports whether the connection can be used for another request.
func (b *requestBody) discardRest() bool {
	if b.isFullyRead() {
		return true
	}
	awaitedContinue := b.refuseContinue()
	b.takeOver(drainTimeout)
	read := !awaitedContinue && (b.isFullyRead() || b.discard())
	_ = b.conn.Conn.SetReadDeadline(time.Time{})
	if read {
		b.lock.Lock()
		b.fullyRead = true
		b.lock.Unlock()
		b.end()
	}
	return read
}

// discard reads the body up to a limit, and reports whether that was its end.
func (b *requestBody) discard() bool {
	n, err := io.Copy(io.Discard, io.LimitReader(b.source, maxDrainBytes+1))
	return err == nil && n <= maxDrainBytes
}
