package sender

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/pkg/verifier"
)

const (
	// maxUnmatched is how many responses to earlier requests are skipped before the
	// connection is considered broken.
	maxUnmatched = 2
	// maxUnmatchedBytes bounds the body of a skipped response.
	maxUnmatchedBytes = 1 << 20
	// maxHeadBytes bounds what is read until the head of a response is complete, with interim
	// responses and the heads of skipped ones.
	maxHeadBytes = 64 << 10
)

// Errors of a request without a response, for use with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent, since no connection could
	// be opened or a new one was refused.
	ErrNotSent = eris.New("request not sent")
	// ErrWithdrawn means that no byte of the request was sent, since Check returned
	// false.
	ErrWithdrawn = eris.New("request withdrawn before it was sent")
	// ErrLost means that the request was sent and may have run.
	ErrLost = eris.New("connection lost after the request was sent")
	// ErrTimeout means that the request was sent and its deadline passed.
	ErrTimeout = eris.New("no answer in time")
	// ErrUnacknowledged means that the connection was lost after the request was sent since the
	// other end stopped acknowledging data (ETIMEDOUT). The request may have run.
	ErrUnacknowledged = eris.New("upstream stopped acknowledging data")
	// ErrMalformed means that what was received is not a response to the request.
	ErrMalformed = eris.New("malformed answer")
	// errHeadTooLong means that maxHeadBytes were read and the head is not complete.
	errHeadTooLong = eris.Wrap(ErrMalformed, "head too long")
	// ErrIncompleteBody means that the caller's body is shorter than its length.
	ErrIncompleteBody = eris.New("body not received whole")
)

type (
	// Request is a request to be sent once.
	Request struct {
		Method string
		// Target is the request target, path and query as received.
		Target string
		Host   string
		Header http.Header
		// Buffered is the body if it was received completely. Otherwise Stream is
		// the body and Length its length in bytes, -1 for a chunked body.
		Buffered []byte
		Stream   io.Reader
		Length   int64
		// EchoField is the name of a header field that the upstream echoes, and
		// Echo its value, which identifies the response to this request. An empty
		// name turns the comparison off.
		EchoField string
		Echo      string
		// ConnDeadline is the deadline of the exchange, by the monotonic clock.
		ConnDeadline time.Time
		// DialTimeout bounds the dial.
		DialTimeout timekeeper.Millis
		// NoDial means that only connections that are open already may be used.
		NoDial bool
		// MaxIdle, if set, bounds how long a reused connection may have been idle.
		MaxIdle timekeeper.Millis
		// Fresh means that only a new connection may be used.
		Fresh bool
		// Trail, if not nil, holds the connections of the request's earlier attempts, which
		// are not used, and records that of this one.
		Trail *Trail
		// Check, if not nil, reports right before sending whether the request may
		// still be sent.
		Check func() bool
		// OnHead, if not nil, is called with the status and the header of each final
		// response on the connection, including responses to earlier requests.
		OnHead func(status int, h http.Header)
	}

	// Response is a response. Read reads its body. The caller must call Close.
	Response struct {
		Status int
		Header http.Header
		// Length is the length of the body in bytes, -1 if it is unknown.
		Length int64
		// Reused reports whether the connection came from the pool.
		Reused bool

		pool *Pool
		conn *conn
		// bytesBefore is the number of bytes on the connection before this exchange.
		bytesBefore int64
		// received is the head and the body as net/http returned them.
		received *http.Response
		// closes reports whether the connection cannot be reused, and complete whether
		// the body was read to its end.
		closes   bool
		complete bool
		// stopAbort stops the abort of the connection at the end of the context. It
		// reports whether that was still possible.
		stopAbort func() bool
		// bodyDone receives the result of sending a streamed body; nil for none.
		bodyDone chan error
	}
)

// Do sends a request and waits for the head of its response. If a reused connection is refused
// before the first byte, it sends the request over another one.
func (p *Pool) Do(ctx context.Context, q *Request) (*Response, error) {
	for {
		r, err := p.do(ctx, q)
		if r == nil || err == nil {
			return r, err
		}
		r.Close()
		if !r.Reused || ctx.Err() != nil || !errors.Is(err, ErrNotSent) {
			return nil, err
		}
	}
}

// do sends a request over one connection. If that fails after it was chosen, it returns both a
// Response and an error.
func (p *Pool) do(ctx context.Context, q *Request) (*Response, error) {
	c, err := p.connect(ctx, q)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", p.Address, err)
	}
	if q.Check != nil && !q.Check() {
		p.put(c)
		return nil, ErrWithdrawn
	}
	q.Trail.add(c)
	_ = c.SetDeadline(q.ConnDeadline)
	r := &Response{pool: p, conn: c, bytesBefore: c.bytes.Load(), Reused: c.reused}
	r.stopAbort = context.AfterFunc(ctx, c.abort)
	return r, r.exchange(q)
}

func (p *Pool) connect(ctx context.Context, q *Request) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, q.DialTimeout.Duration())
	defer cancel()
	return p.get(ctx, q)
}

func (r *Response) exchange(q *Request) error {
	writeErr := r.write(q)
	if writeErr != nil && !r.conn.refusesWrites() {
		return classifyError(writeErr)
	}
	if writeErr != nil && r.Bytes() == 0 {
		return eris.Wrapf(ErrNotSent, "%v", writeErr)
	}
	// An upstream that closes the connection before it has read the whole request may have
	// responded.
	err := r.receive(q)
	if writeErr != nil && err != nil {
		return classifyError(writeErr)
	}
	return err
}

// receive reads the head of the response to a request and skips responses to earlier ones.
func (r *Response) receive(q *Request) error {
	r.conn.headRemaining = maxHeadBytes
	for range maxUnmatched + 1 {
		p, err := r.readHead(q)
		if err != nil {
			return classifyError(err)
		}
		if q.OnHead != nil {
			q.OnHead(p.StatusCode, p.Header)
		}
		if q.EchoField == "" || p.Header.Get(q.EchoField) == q.Echo {
			r.setHead(p)
			return nil
		}
		if p.Header.Get(q.EchoField) == "" {
			return eris.Wrap(ErrMalformed, "response without the request's id")
		}
		if err := skipResponse(p); err != nil {
			return classifyError(err)
		}
	}
	return eris.Wrap(ErrMalformed, "only responses to other requests")
}

// write sends the head and the body. A streamed body is sent by a goroutine of its
// own, since an upstream may respond before it has received the whole body.
func (r *Response) write(q *Request) error {
	w := r.conn.writer
	_, _ = w.WriteString(q.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(q.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(q.Host)
	_, _ = w.WriteString("\r\n")
	_ = q.Header.Write(w)
	switch {
	case q.Stream != nil && q.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case q.Stream != nil:
		writeLength(w, q.Length)
	case len(q.Buffered) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch:
		writeLength(w, int64(len(q.Buffered)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(q.Buffered)
	if err := w.Flush(); err != nil {
		return err
	}
	if q.Stream != nil {
		r.bodyDone = make(chan error, 1)
		go r.runBody(q)
	}
	return nil
}

func writeLength(w io.StringWriter, n int64) {
	_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(n, 10) + "\r\n")
}

// runBody sends a streamed body.
func (r *Response) runBody(q *Request) {
	err := r.copyBody(q)
	if err != nil && !r.conn.refusesWrites() {
		// A truncated body must not look complete.
		r.conn.abort()
	}
	r.bodyDone <- err
}

func (r *Response) copyBody(q *Request) error {
	w := r.conn.writer
	if q.Length >= 0 {
		n, err := io.Copy(w, io.LimitReader(q.Stream, q.Length))
		if err == nil && n < q.Length {
			err = ErrIncompleteBody
		}
		if err != nil {
			return err
		}
		return w.Flush()
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunks, q.Stream); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, _ = w.WriteString("\r\n")
	return w.Flush()
}

// readHead reads the head of a final response and skips interim ones.
func (r *Response) readHead(q *Request) (*http.Response, error) {
	method := &http.Request{Method: q.Method}
	r.conn.headBounded = true
	defer func() { r.conn.headBounded = false }()
	for {
		p, err := http.ReadResponse(r.conn.reader, method)
		if err != nil {
			return nil, err
		}
		if err := verifier.CheckHead(p.StatusCode, p.Header); err != nil {
			return nil, eris.Wrap(ErrMalformed, err.Error())
		}
		if p.StatusCode >= http.StatusOK {
			return p, nil
		}
		if p.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrMalformed, "unsolicited protocol switch")
		}
	}
}

func (r *Response) setHead(p *http.Response) {
	r.Status, r.Header, r.Length, r.received = p.StatusCode, p.Header, p.ContentLength, p
	r.closes = p.Close || r.conn.refusesWrites()
	r.conn.applyKeepAlive(p.Header)
}

// Read reads the body. Any error but io.EOF means that the body is incomplete.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.received.Body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if err := verifier.CheckFields(r.received.Trailer); err != nil {
		return n, eris.Wrap(ErrMalformed, err.Error())
	}
	r.complete = true
	return n, io.EOF
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool {
	return r.complete
}

// Bytes returns the number of bytes sent and received in this exchange so far.
func (r *Response) Bytes() int64 {
	return r.conn.bytes.Load() - r.bytesBefore
}

// Close returns the connection to the pool if the exchange is complete in both
// directions. Otherwise it closes the connection, so that the upstream drops the request.
func (r *Response) Close() {
	stopped := r.stopAbort()
	if r.complete && !r.closes && stopped && r.bodySent() && r.conn.reader.Buffered() == 0 {
		_ = r.conn.SetDeadline(time.Time{})
		r.pool.put(r.conn)
		return
	}
	_ = r.conn.Close()
}

// bodySent reports whether the body was sent completely. If not, closing the connection
// makes the goroutine that sends it return.
func (r *Response) bodySent() bool {
	if r.bodyDone == nil {
		return true
	}
	select {
	case err := <-r.bodyDone:
		return err == nil
	default:
		return false
	}
}

// skipResponse reads and discards a response to an earlier request.
func skipResponse(p *http.Response) error {
	if p.Close {
		return eris.Wrap(ErrMalformed, "response to an earlier request closes the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxUnmatchedBytes))
	if err == nil && n == maxUnmatchedBytes {
		err = eris.Wrap(ErrMalformed, "response to an earlier request too long")
	}
	return err
}

// classifyError wraps an error that occurred after sending began in the matching exported
// error.
func classifyError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return eris.Wrap(ErrTimeout, "upstream")
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrIncompleteBody):
		return err
	case errors.Is(err, syscall.ETIMEDOUT):
		return eris.Wrapf(ErrUnacknowledged, "%v", err)
	}
	return eris.Wrapf(ErrLost, "%v", err)
}
