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
)

const (
	// maxStray is how many answers to earlier requests are read past before a
	// connection counts as broken.
	maxStray = 2
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

// The ways in which a request ends without an answer, to be tested with
// errors.Is.
var (
	// ErrNotSent means that no byte of the request left for the upstream.
	ErrNotSent = eris.New("request not sent")
	// ErrWithdrawn means the same, since Check did not allow it any more.
	ErrWithdrawn = eris.New("request withdrawn before it was sent")
	// ErrLost means that the request was sent and may have run.
	ErrLost = eris.New("connection lost after the request was sent")
	// ErrTimeout means that the request was sent and its time is over.
	ErrTimeout = eris.New("no answer in time")
	// ErrSilent is an ErrLost whose other end acknowledged nothing any more.
	ErrSilent = eris.New("upstream went silent")
	// ErrMalformed means that what came back is no answer.
	ErrMalformed = eris.New("malformed answer")
	// ErrBody means that the caller did not send the whole body.
	ErrBody = eris.New("body not received whole")
)

type (
	// Request is one sending.
	Request struct {
		Method string
		// Target is path and query as they were received.
		Target string
		Host   string
		Header http.Header
		// Short is the body if it was received whole; else Stream is the body
		// and Length its length, -1 for one sent in chunks.
		Short  []byte
		Stream io.Reader
		Length int64
		// EchoField is the name of the field that an upstream echoes, and Echo
		// the value that tells this request's answer from others. An empty name
		// turns the comparison off.
		EchoField string
		Echo      string
		// Until is when the connection is given up, by the monotonic clock.
		Until time.Time
		// DialTimeout bounds the opening of a connection.
		DialTimeout timekeeper.Millis
		// Young, if set, is how long a kept connection may have been idle.
		Young timekeeper.Millis
		// Check is asked right before sending whether the request may still go.
		Check func() bool
	}

	// Answer is the head of an answer. Its body is read from it; Close must be
	// called in the end.
	Answer struct {
		Status int
		Header http.Header
		// Length is the length of the body, -1 when it is not known.
		Length int64
		// Reused tells that the connection had been used before.
		Reused bool

		pool *Pool
		conn *conn
		// before is what the connection had carried before this exchange.
		before int64
		body   io.ReadCloser
		ends   bool
		done   bool
		stop   func() bool
		sent   chan error
	}
)

// Do sends a request and waits for the head of its answer.
func (p *Pool) Do(ctx context.Context, q *Request) (*Answer, error) {
	c, err := p.connect(ctx, q)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", p.Address, err)
	}
	if q.Check != nil && !q.Check() {
		p.put(c)
		return nil, ErrWithdrawn
	}
	_ = c.SetDeadline(q.Until)
	a := &Answer{pool: p, conn: c, before: c.bytes.Load(), Reused: c.reused}
	a.stop = context.AfterFunc(ctx, c.abort)
	if err := a.exchange(q); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (p *Pool) connect(ctx context.Context, q *Request) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, q.DialTimeout.Duration())
	defer cancel()
	return p.get(ctx, q.Young)
}

func (a *Answer) exchange(q *Request) error {
	if err := a.write(q); err != nil {
		return classify(err)
	}
	for range maxStray + 1 {
		p, err := a.readHead(q)
		if err != nil {
			return classify(err)
		}
		if q.EchoField == "" || p.Header.Get(q.EchoField) == q.Echo {
			a.take(p)
			return nil
		}
		if p.Header.Get(q.EchoField) == "" {
			return eris.Wrap(ErrMalformed, "answer without the request's id")
		}
		if err := skip(p); err != nil {
			return classify(err)
		}
	}
	return eris.Wrap(ErrMalformed, "answers to other requests only")
}

// write sends head and body. A body that is not at hand whole is sent beside the
// reading of the answer, since an upstream may answer before it has it all.
func (a *Answer) write(q *Request) error {
	w := a.conn.writer
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
	case len(q.Short) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch:
		writeLength(w, int64(len(q.Short)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(q.Short)
	if err := w.Flush(); err != nil {
		return err
	}
	if q.Stream != nil {
		a.sent = make(chan error, 1)
		go a.runBody(q)
	}
	return nil
}

func writeLength(w io.StringWriter, n int64) {
	_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(n, 10) + "\r\n")
}

// runBody sends a body that arrives while it is sent.
func (a *Answer) runBody(q *Request) {
	err := a.copyBody(q)
	if err != nil {
		// A body that ended early must not look whole.
		a.conn.abort()
	}
	a.sent <- err
}

func (a *Answer) copyBody(q *Request) error {
	w := a.conn.writer
	if q.Length >= 0 {
		n, err := io.Copy(w, io.LimitReader(q.Stream, q.Length))
		if err == nil && n < q.Length {
			err = ErrBody
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

// readHead reads the head of a final answer.
func (a *Answer) readHead(q *Request) (*http.Response, error) {
	method := &http.Request{Method: q.Method}
	for {
		p, err := http.ReadResponse(a.conn.reader, method)
		if err != nil {
			return nil, err
		}
		if p.StatusCode >= http.StatusOK {
			return p, nil
		}
		if p.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrMalformed, "unasked change of protocol")
		}
	}
}

func (a *Answer) take(p *http.Response) {
	a.Status, a.Header, a.Length, a.body = p.StatusCode, p.Header, p.ContentLength, p.Body
	a.ends = p.Close
	a.conn.noteKeepAlive(p.Header)
}

// Read reads the body. Any error but io.EOF means that it is not whole.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.done = true
	}
	return n, err
}

// Whole tells whether the body was read to its end.
func (a *Answer) Whole() bool {
	return a.done
}

// Bytes returns how many bytes were sent and received for this exchange so far.
func (a *Answer) Bytes() int64 {
	return a.conn.bytes.Load() - a.before
}

// Close gives the connection back if the exchange is complete on both sides, and
// closes it else, which makes the upstream drop the request.
func (a *Answer) Close() {
	stopped := a.stop()
	if a.done && !a.ends && stopped && a.bodySent() && a.conn.reader.Buffered() == 0 {
		_ = a.conn.SetDeadline(time.Time{})
		a.pool.put(a.conn)
		return
	}
	_ = a.conn.Close()
}

// bodySent tells whether the body left whole. The writer of one that did not is
// ended with the connection.
func (a *Answer) bodySent() bool {
	if a.sent == nil {
		return true
	}
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// skip reads past an answer that belongs to an earlier request.
func skip(p *http.Response) error {
	if p.Close {
		return eris.Wrap(ErrMalformed, "stray answer that ends the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(p.Body, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		err = eris.Wrap(ErrMalformed, "stray answer too long")
	}
	return err
}

// classify tells what an error after the beginning of a sending means.
func classify(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return eris.Wrap(ErrTimeout, "upstream")
	case errors.Is(err, ErrMalformed), errors.Is(err, ErrBody):
		return err
	case errors.Is(err, syscall.ETIMEDOUT):
		return eris.Wrapf(ErrSilent, "%v", err)
	}
	return eris.Wrapf(ErrLost, "%v", err)
}
