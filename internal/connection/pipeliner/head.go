package pipeliner

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// mostEmptyLines is how many characters of empty lines are read past behind the body of a
// POST: as many as the standard library's server does.
const mostEmptyLines = 4

var (
	headEnds    = [][]byte{[]byte("\r\n\r\n"), []byte("\n\n"), []byte("\n\r\n")}
	lengthField = []byte("\ncontent-length")
)

// refusal is why a request is refused before a handler sees it.
type refusal struct {
	status int
	text   string
}

// read reads the head of the next request. The refusal is set if there is none that
// can be handled. It reports false when the connection ends.
func (c *conn) read() (*http.Request, *refusal, bool) {
	if !c.awaitHead() {
		return nil, nil, false
	}
	raw, f, ok := c.collect()
	if !ok || f != nil {
		return nil, f, ok
	}
	c.bounded = true
	c.headRest = c.server.maxHeadBytes() - int64(c.reader.Buffered())
	r, err := http.ReadRequest(c.reader)
	tooLong := c.headRest <= 0
	c.bounded = false
	switch {
	case err == nil:
		r.RemoteAddr = c.remote
		c.emptyLines = 0
		if r.Method == http.MethodPost {
			c.emptyLines = mostEmptyLines
		}
		f := judge(r, raw)
		c.count(f)
		return r, f, true
	case tooLong:
		f := &refusal{http.StatusRequestHeaderFieldsTooLarge, "request header too large"}
		c.count(f)
		return nil, f, true
	case isTimeout(err):
		return nil, c.slow(), !c.interrupted()
	case isLost(err):
		c.cancel()
		return nil, nil, false
	}
	f = explain(err)
	c.count(f)
	return nil, f, true
}

// awaitHead waits for the first byte of a head. It reports false when the connection
// ends: the caller left, it was idle for too long, or it is to be closed.
func (c *conn) awaitHead() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = idle
	for {
		if c.closing || c.broken {
			return false
		}
		if c.reader.Buffered() > 0 && !c.skipEmptyLine() {
			c.phase = head
			return true
		}
		if !c.limitIdle() {
			return false
		}
		c.lock.Unlock()
		err := c.fill()
		c.lock.Lock()
		if err != nil && !isTimeout(err) {
			c.cancel()
			return false
		}
	}
}

// limitIdle sets how long the connection may still be idle, and reports false if it
// was for too long. The caller holds the lock.
func (c *conn) limitIdle() bool {
	m := c.server.idleTimeout()
	if len(c.pending) > 0 || m == 0 {
		c.setLimit(0)
		return true
	}
	rest := c.idleSince + m - c.server.Clock.Now()
	if rest <= 0 {
		return false
	}
	c.setLimit(rest)
	return true
}

// skipEmptyLine drops up to two line ends behind the body of a POST, which some callers
// send there, and reports true if nothing else is left. The caller holds the lock.
func (c *conn) skipEmptyLine() bool {
	for c.emptyLines > 0 && c.reader.Buffered() > 0 {
		b, _ := c.reader.Peek(1)
		if b[0] != '\r' && b[0] != '\n' {
			return false
		}
		_, _ = c.reader.Discard(1)
		c.emptyLines--
	}
	return c.reader.Buffered() == 0
}

// collect waits until the whole head, or as much of it as there is room for, is in the
// read buffer, and returns the whole head. The refusal is set if it does not come in
// time. It reports false when the connection ends.
func (c *conn) collect() ([]byte, *refusal, bool) {
	limited := false
	for {
		raw, _ := c.reader.Peek(c.reader.Buffered())
		if n := headLength(raw); n > 0 {
			return raw[:n], nil, true
		}
		if len(raw) == c.reader.Size() {
			c.limitHead()
			return nil, nil, true
		}
		if !limited {
			limited = true
			c.limitHead()
		}
		switch err := c.fill(); {
		case err == nil:
		case isTimeout(err):
			return nil, c.slow(), !c.interrupted()
		default:
			c.cancel()
			return nil, nil, false
		}
	}
}

// limitHead bounds the time that the head takes.
func (c *conn) limitHead() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.closing && !c.broken {
		c.setLimit(c.server.headTimeout())
	}
}

func (c *conn) interrupted() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.closing || c.broken
}

// headLength returns the length of a head, 0 if it is not whole.
func headLength(raw []byte) int {
	n := 0
	for _, e := range headEnds {
		if i := bytes.Index(raw, e); i >= 0 && (n == 0 || i+len(e) < n) {
			n = i + len(e)
		}
	}
	return n
}

// judge refuses what net/http leaves to its server to refuse, and a body with two
// lengths, of which net/http drops one while others on the way may go by it. Raw is
// the head as it came, nil if it was too long to be kept.
func judge(r *http.Request, raw []byte) *refusal {
	switch {
	case r.ProtoMajor != 1:
		return &refusal{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	case len(r.TransferEncoding) > 0 && (raw == nil || bytes.Contains(bytes.ToLower(raw), lengthField)):
		return malformed("both Content-Length and Transfer-Encoding")
	case r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != http.MethodConnect:
		return malformed("missing required Host header")
	case !httpguts.ValidHostHeader(r.Host):
		return malformed("malformed Host header")
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("invalid header name")
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return malformed("invalid header value")
			}
		}
	}
	if e := r.Header.Get("Expect"); e != "" && !expectsContinue(r) {
		return &refusal{http.StatusExpectationFailed, "unknown expectation"}
	}
	return nil
}

func malformed(text string) *refusal {
	return &refusal{http.StatusBadRequest, text}
}

// explain returns the refusal of a head that net/http could not read.
func explain(err error) *refusal {
	if strings.Contains(err.Error(), "unsupported transfer encoding") {
		return &refusal{http.StatusNotImplemented, "unsupported transfer encoding"}
	}
	return malformed(err.Error())
}

// expectsContinue tells whether the caller waits for a sign before it sends the body.
func expectsContinue(r *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue")
}

// isLost tells whether an error is of the connection and not of what came over it.
func isLost(err error) bool {
	var lost *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &lost)
}

func (c *conn) count(f *refusal) {
	if f != nil {
		c.server.refused(KindMalformed)
	}
}

// slow refuses a head that did not come in time, such that the caller knows that its
// request did not run.
func (c *conn) slow() *refusal {
	if !c.interrupted() {
		c.server.refused(KindSlowHead)
	}
	return &refusal{http.StatusRequestTimeout, "request header too slow"}
}

func (s *Server) maxHeadBytes() int64 {
	if s.MaxHeadBytes > 0 {
		return max(s.MaxHeadBytes, readBuffer)
	}
	return defaultMaxHeadBytes
}
