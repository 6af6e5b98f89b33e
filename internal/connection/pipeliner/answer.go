package pipeliner

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// shortBytes is how much of an answer without a stated length is collected to find
	// the length: as much as the standard library's server does.
	shortBytes = 2 << 10

	// heldBytes bounds what waits of one answer for its turn. Answers up to it free
	// their upstream at once, also behind a slow one.
	heldBytes = 128 << 10

	// heldInAll bounds what waits of all answers: an eighth of the smallest VM's memory
	// of 184 MB.
	heldInAll = 24 << 20

	// notRunField says that a refused request did not run.
	notRunField = "Gullvale-Outcome"
	notRunValue = "not-run"
)

// answer is the answer to one request on its way. It is the http.ResponseWriter that
// the handler gets, and is used by one goroutine at a time.
type answer struct {
	conn    *conn
	request *http.Request
	refusal *refusal
	body    *requestBody
	// last tells that nothing behind the request is read.
	last bool
	// ahead tells that the request was begun beside an earlier one.
	ahead   bool
	arrived timekeeper.Millis

	header http.Header
	// fields are the header when its status was set; what is set later are trailers.
	fields http.Header
	status int
	// length is the stated length of the body, -1 if there is none.
	length  int64
	chunked bool
	// bare tells that the answer has no body whatever the handler writes.
	bare bool
	// began tells that the head was written.
	began   bool
	written int64
	// held is what waits for its turn, or for the length to be known.
	held []byte
	// counted is how much of it counts for all connections.
	counted int64
	aborted bool
	// done tells that the handler returned. It is guarded by the connection's lock.
	done bool
}

func newAnswer(c *conn, r *http.Request, f *refusal) *answer {
	a := &answer{conn: c, request: r, refusal: f, arrived: c.readAt, header: http.Header{}, length: -1}
	if r == nil || f != nil {
		a.last = true
		return a
	}
	a.last = r.Close
	if r.Body != http.NoBody {
		a.body = newBody(c, r)
		r.Body = a.body
	}
	a.request = r.WithContext(c.ctx)
	return a
}

// overlaps tells whether the request may be handled beside others. It is asked only
// where there are others, since most connections carry one request at a time.
func (a *answer) overlaps() bool {
	return a.refusal == nil && a.body == nil && a.conn.server.overlaps(a.request)
}

// Waited returns how long ago the request that w answers arrived, as far as it waited
// for others of its connection.
func Waited(w http.ResponseWriter) timekeeper.Millis {
	a, ok := w.(*answer)
	if !ok {
		return 0
	}
	return max(a.conn.server.Clock.Now()-a.arrived, 0)
}

// run handles the request and writes what is left of its answer.
func (a *answer) run() {
	defer a.finish()
	defer a.recover()
	if a.refusal != nil {
		a.refuse()
		return
	}
	a.conn.server.Handler.ServeHTTP(a, a.request)
}

// recover notes that the handler gave its answer up.
func (a *answer) recover() {
	reason := recover()
	if reason == nil {
		return
	}
	a.aborted = true
	switch {
	case reason == http.ErrAbortHandler:
	case a.conn.server.Failed == nil:
		panic(reason)
	default:
		a.conn.server.Failed(reason)
	}
}

// refuse answers a request that no handler sees.
func (a *answer) refuse() {
	a.header.Set("Content-Type", "text/plain; charset=utf-8")
	a.header.Set(notRunField, notRunValue)
	a.WriteHeader(a.refusal.status)
	fmt.Fprintf(a, "%d %s: %s", a.refusal.status, http.StatusText(a.refusal.status), a.refusal.text)
}

// Header returns the fields of the answer.
func (a *answer) Header() http.Header {
	return a.header
}

// WriteHeader sets the status. Statuses that are no final answer are left out.
func (a *answer) WriteHeader(status int) {
	if a.status != 0 || status < http.StatusOK {
		return
	}
	a.status = status
	a.fields = maps.Clone(a.header)
	method := ""
	if a.request != nil {
		method = a.request.Method
	}
	a.bare = method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if v := a.fields.Get("Content-Length"); v != "" {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			a.length = n
		}
	}
}

// Write adds to the body.
func (a *answer) Write(b []byte) (int, error) {
	if a.status == 0 {
		a.WriteHeader(http.StatusOK)
	}
	switch {
	case a.bare && a.status != http.StatusNotModified && a.status != http.StatusNoContent:
		return len(b), nil
	case a.bare:
		return 0, http.ErrBodyNotAllowed
	case a.length >= 0 && a.written+int64(len(b)) > a.length:
		return 0, http.ErrContentLength
	}
	a.written += int64(len(b))
	if a.hold(b) {
		return len(b), nil
	}
	if !a.awaitTurn() {
		return 0, io.ErrClosedPipe
	}
	if err := a.send(b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Flush sends what is collected, if it is the answer's turn.
func (a *answer) Flush() {
	if a.status == 0 {
		a.WriteHeader(http.StatusOK)
	}
	if a.isFirst() && a.send(nil) == nil {
		a.flush()
	}
}

// hold keeps b if it need not be written yet, and reports whether it did.
func (a *answer) hold(b []byte) bool {
	n := int64(len(a.held) + len(b))
	if a.isFirst() {
		if a.began || a.length >= 0 || n > shortBytes {
			return false
		}
	} else if n > heldBytes || !a.count(int64(len(b))) {
		return false
	}
	a.held = append(a.held, b...)
	return true
}

// count takes room for bytes that wait for their turn.
func (a *answer) count(n int64) bool {
	total := &a.conn.server.held
	if total.Add(n) > heldInAll {
		total.Add(-n)
		return false
	}
	a.counted += n
	return true
}

func (a *answer) isFirst() bool {
	a.conn.lock.Lock()
	defer a.conn.lock.Unlock()
	return a.conn.pending[0] == a
}

// awaitTurn waits until all answers before this one are written, and reports false if
// nothing can be written any more.
func (a *answer) awaitTurn() bool {
	c := a.conn
	c.lock.Lock()
	defer c.lock.Unlock()
	for c.pending[0] != a && !c.broken {
		c.changed.Wait()
	}
	return !c.broken
}

// send writes the head, what was held, and b.
func (a *answer) send(b []byte) error {
	if !a.began {
		a.writeHead()
	}
	if err := a.sendPart(a.held); err != nil {
		return err
	}
	a.release()
	return a.sendPart(b)
}

func (a *answer) sendPart(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	w := a.conn.writer
	if a.chunked {
		_, _ = w.WriteString(strconv.FormatInt(int64(len(b)), 16))
		_, _ = w.WriteString("\r\n")
	}
	_, err := w.Write(b)
	if a.chunked {
		_, err = w.WriteString("\r\n")
	}
	if err != nil {
		a.conn.fail()
	}
	return err
}

func (a *answer) release() {
	a.conn.server.held.Add(-a.counted)
	a.held, a.counted = nil, 0
}

func (a *answer) flush() {
	if a.conn.writer.Flush() != nil {
		a.conn.fail()
	}
}

// finish writes the answer, and those behind it that are done, if it is its turn.
func (a *answer) finish() {
	c := a.conn
	if a.body != nil {
		defer a.body.end()
		a.body.closed.Store(true)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if a.body != nil && !a.body.whole.Load() {
		c.unread, c.closing = true, true
	}
	a.done = true
	if c.pending[0] != a {
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
	c.settle()
}

// complete writes what is left of the answer, which is the first. More tells that the
// next one follows at once.
func (a *answer) complete(more bool) {
	if a.status == 0 && !a.aborted {
		a.WriteHeader(http.StatusOK)
	}
	if !a.aborted && !a.began && a.length < 0 && !a.bare {
		a.length = a.written
	}
	short := !a.bare && a.length >= 0 && a.written < a.length
	if !a.aborted && !a.broken() && a.send(nil) == nil && !short {
		a.end(more)
		return
	}
	a.release()
	if a.aborted || short {
		a.abandon()
	}
}

func (a *answer) broken() bool {
	a.conn.lock.Lock()
	defer a.conn.lock.Unlock()
	return a.conn.broken
}

// end writes the end of a whole answer.
func (a *answer) end(more bool) {
	if a.chunked {
		a.writeTrailer()
	}
	if !more {
		a.flush()
	}
}

// abandon ends the connection such that the answer does not look whole.
func (a *answer) abandon() {
	c := a.conn
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok && a.began && a.length < 0 && !a.chunked {
		// The end of the connection would be the end of the body: a reset is not.
		_ = t.SetLinger(0)
	} else {
		// What was answered before must still arrive.
		a.flush()
	}
	c.fail()
}
