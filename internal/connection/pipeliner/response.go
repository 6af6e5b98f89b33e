package pipeliner

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxUnframedBytes is how much of a response without Content-Length is buffered to
	// determine the length: as much as in the server of the standard library.
	maxUnframedBytes = 2 << 10

	// maxBufferedBytes bounds the buffer of a response that waits for earlier ones. A
	// response up to this size frees its upstream at once, even if an earlier one is slow.
	maxBufferedBytes = 128 << 10

	// maxBufferedBytesTotal bounds these buffers of all responses: an eighth of the 184 MB of
	// memory of the smallest VM.
	maxBufferedBytesTotal = 24 << 20

	// outcomeField is the header field that marks a refused request as not run.
	outcomeField = "Gullvale-Outcome"
	notRunValue  = "not-run"
)

// response is the response to one request, and the http.ResponseWriter of its handler. It
// is used by one goroutine at a time.
type response struct {
	conn    *conn
	request *http.Request
	refusal *refusal
	body    *requestBody
	// last reports whether no request is read after this one.
	last bool
	// pipelined reports whether the request was started while an earlier one was being
	// handled.
	pipelined bool
	arrived   timekeeper.Millis

	header http.Header
	// sentHeader is a copy of header from when the status was set. Fields that are set
	// later are trailers.
	sentHeader http.Header
	status     int
	// length is the Content-Length, -1 if it is not set.
	length  int64
	chunked bool
	// bodiless reports whether the response has no body, whatever the handler writes.
	bodiless bool
	// headWritten reports whether the head was written.
	headWritten bool
	written     int64
	// buffered is the part of the body that waits for earlier responses, or for the
	// length to be known.
	buffered []byte
	// reserved is how many bytes of buffered count towards maxBufferedBytesTotal.
	reserved int64
	aborted  bool
	// done reports whether the handler returned. The lock of the connection guards it.
	done bool
}

func newResponse(c *conn, r *http.Request, f *refusal) *response {
	p := &response{conn: c, request: r, refusal: f, arrived: c.lastRead, header: http.Header{}, length: -1}
	if r == nil || f != nil {
		p.last = true
		return p
	}
	p.last = r.Close
	if r.Body != http.NoBody {
		p.body = newBody(c, r)
		r.Body = p.body
	}
	p.request = r.WithContext(c.ctx)
	return p
}

// mayOverlap reports whether the request may be handled concurrently with others. It is
// called only if there are others, since most connections carry one request at a time.
func (p *response) mayOverlap() bool {
	return p.refusal == nil && p.body == nil && p.conn.server.mayOverlap(p.request)
}

// Waited returns the time since the request of w arrived. Called at the start of a
// handler, it is how long the request waited for others of its connection. It returns 0
// for a writer of another server.
func Waited(w http.ResponseWriter) timekeeper.Millis {
	p, ok := w.(*response)
	if !ok {
		return 0
	}
	return max(p.conn.server.Clock.Now()-p.arrived, 0)
}

// run handles the request and completes its response.
func (p *response) run() {
	defer p.finish()
	defer p.recover()
	if p.refusal != nil {
		p.refuse()
		return
	}
	p.conn.server.Handler.ServeHTTP(p, p.request)
}

// recover marks the response as aborted if the handler panicked.
func (p *response) recover() {
	reason := recover()
	if reason == nil {
		return
	}
	p.aborted = true
	switch {
	case reason == http.ErrAbortHandler:
	case p.conn.server.Panicked == nil:
		panic(reason)
	default:
		p.conn.server.Panicked(reason)
	}
}

// refuse writes the response to a request that no handler sees.
func (p *response) refuse() {
	p.header.Set("Content-Type", "text/plain; charset=utf-8")
	p.header.Set(outcomeField, notRunValue)
	p.WriteHeader(p.refusal.status)
	fmt.Fprintf(p, "%d %s: %s", p.refusal.status, http.StatusText(p.refusal.status), p.refusal.text)
}

// Header returns the header of the response.
func (p *response) Header() http.Header {
	return p.header
}

// SetWriteDeadline sets the time until which writes to the connection may block, none if it is zero.
// It applies to later responses of the connection as well.
func (p *response) SetWriteDeadline(deadline time.Time) error {
	return p.conn.Conn.SetWriteDeadline(deadline)
}

// WriteHeader sets the status. Interim statuses are ignored.
func (p *response) WriteHeader(status int) {
	if p.status != 0 || status < http.StatusOK {
		return
	}
	p.status = status
	p.sentHeader = maps.Clone(p.header)
	method := ""
	if p.request != nil {
		method = p.request.Method
	}
	p.bodiless = method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if v := p.sentHeader.Get("Content-Length"); v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			p.length = n
		}
	}
}

// Write appends to the body. It buffers the bytes or writes them, which may block until
// all earlier responses are written.
func (p *response) Write(b []byte) (int, error) {
	if p.status == 0 {
		p.WriteHeader(http.StatusOK)
	}
	switch {
	case p.bodiless && p.status != http.StatusNotModified && p.status != http.StatusNoContent:
		return len(b), nil
	case p.bodiless:
		return 0, http.ErrBodyNotAllowed
	case p.length >= 0 && p.written+int64(len(b)) > p.length:
		return 0, http.ErrContentLength
	}
	p.written += int64(len(b))
	if p.buffer(b) {
		return len(b), nil
	}
	if !p.awaitTurn() {
		return 0, io.ErrClosedPipe
	}
	if err := p.send(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Flush sends what is buffered, unless an earlier response is not yet written.
func (p *response) Flush() {
	if p.status == 0 {
		p.WriteHeader(http.StatusOK)
	}
	if p.isFirst() && p.send(nil) == nil {
		p.flush()
	}
}

// buffer appends b to the buffer if it need not be written yet, and reports whether it
// did.
func (p *response) buffer(b []byte) bool {
	n := int64(len(p.buffered) + len(b))
	if p.isFirst() {
		if p.headWritten || p.length >= 0 || n > maxUnframedBytes {
			return false
		}
	} else if n > maxBufferedBytes || !p.reserve(int64(len(b))) {
		return false
	}
	p.buffered = append(p.buffered, b...)
	return true
}

// reserve counts n bytes towards maxBufferedBytesTotal, and reports whether they fit.
func (p *response) reserve(n int64) bool {
	total := &p.conn.server.buffered
	if total.Add(n) > maxBufferedBytesTotal {
		total.Add(-n)
		return false
	}
	p.reserved += n
	return true
}

func (p *response) isFirst() bool {
	p.conn.lock.Lock()
	defer p.conn.lock.Unlock()
	return p.conn.pending[0] == p
}

// awaitTurn waits until all earlier responses are written. It reports false if the
// connection can no longer be written to.
func (p *response) awaitTurn() bool {
	c := p.conn
	c.lock.Lock()
	defer c.lock.Unlock()
	for c.pending[0] != p && !c.broken {
		c.changed.Wait()
	}
	return !c.broken
}

// send writes the head, if it is not yet written, the buffer, and b.
func (p *response) send(b []byte) error {
	if !p.headWritten {
		p.writeHead()
	}
	if err := p.sendPart(p.buffered); err != nil {
		return err
	}
	p.releaseBuffered()
	return p.sendPart(b)
}

func (p *response) sendPart(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	w := p.conn.writer
	if p.chunked {
		_, _ = w.WriteString(strconv.FormatInt(int64(len(b)), 16))
		_, _ = w.WriteString("\r\n")
	}
	_, err := w.Write(b)
	if p.chunked {
		_, err = w.WriteString("\r\n")
	}
	if err != nil {
		p.conn.fail()
	}
	return err
}

func (p *response) releaseBuffered() {
	p.conn.server.buffered.Add(-p.reserved)
	p.buffered, p.reserved = nil, 0
}

func (p *response) flush() {
	if p.conn.writer.Flush() != nil {
		p.conn.fail()
	}
}

// finish marks the response as done. If it is the first of pending, it completes it and
// the later ones that are done too.
func (p *response) finish() {
	c := p.conn
	if p.body != nil {
		defer p.body.release()
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closing = c.closing || p.body != nil && !p.body.isFullyRead()
	p.done = true
	if c.pending[0] != p {
		return
	}
	for len(c.pending) > 0 && c.pending[0].done {
		first := c.pending[0]
		more := len(c.pending) > 1 && c.pending[1].done
		c.lock.Unlock()
		first.complete(more)
		c.lock.Lock()
		c.pop()
	}
	c.advance()
}

// isWhole reports whether the handler has written all of the response.
func (p *response) isWhole() bool {
	return p.bodiless || p.length >= 0 && p.written == p.length
}

// complete writes the rest of the response, which must be the first of pending. more
// reports whether the next one follows at once.
func (p *response) complete(more bool) {
	if p.status == 0 && !p.aborted {
		p.WriteHeader(http.StatusOK)
	}
	if !p.aborted && !p.headWritten && p.length < 0 && !p.bodiless {
		p.length = p.written
	}
	short := !p.bodiless && p.length >= 0 && p.written < p.length
	if !p.aborted && !p.broken() && p.send(nil) == nil && !short {
		p.writeEnd(more)
		return
	}
	p.releaseBuffered()
	if p.aborted || short {
		p.abortConn()
	}
}

func (p *response) broken() bool {
	p.conn.lock.Lock()
	defer p.conn.lock.Unlock()
	return p.conn.broken
}

// writeEnd writes the end of a complete response.
func (p *response) writeEnd(more bool) {
	if p.chunked {
		p.writeTrailer()
	}
	if !more {
		p.flush()
	}
}

// abortConn closes the connection so that the response does not look complete.
func (p *response) abortConn() {
	c := p.conn
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok && p.headWritten && p.length < 0 && !p.chunked {
		// The body would end with a regular close. A reset does not look complete.
		_ = t.SetLinger(0)
	} else {
		// Earlier responses must still arrive.
		p.flush()
	}
	c.fail()
}
