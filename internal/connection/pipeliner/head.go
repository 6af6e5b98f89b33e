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

// maxEmptyLineBytes is how many bytes of line ends are skipped after the body of a POST: as
// many as in the server of the standard library.
const maxEmptyLineBytes = 4

var (
	headTerminators = [][]byte{[]byte("\r\n\r\n"), []byte("\n\n"), []byte("\n\r\n")}
	lengthField     = []byte("\ncontent-length")
)

// refusal is the status and text with which a request is refused before a handler sees it.
type refusal struct {
	status int
	text   string
}

// readRequest reads the head of the next request. The refusal is not nil if the request
// cannot be handled. It reports false if the connection is to be closed.
func (c *conn) readRequest() (*http.Request, *refusal, bool) {
	if !c.awaitHead() {
		return nil, nil, false
	}
	raw, f, ok := c.collectHead()
	if !ok || f != nil {
		return nil, f, ok
	}
	c.headBounded = true
	c.headRemaining = c.server.maxHeadBytes() - int64(c.reader.Buffered())
	if raw == nil {
		c.startHeadCopy()
	}
	r, err := http.ReadRequest(c.reader)
	tooLong := c.headRemaining <= 0
	c.headBounded = false
	if raw == nil {
		raw = c.endHeadCopy()
	}
	switch {
	case err == nil:
		r.RemoteAddr = c.remote
		c.emptyLines = 0
		if r.Method == http.MethodPost {
			c.emptyLines = maxEmptyLineBytes
		}
		f := checkHead(r, raw)
		c.countRefusal(f)
		return r, f, true
	case tooLong:
		f := &refusal{http.StatusRequestHeaderFieldsTooLarge, "request header too large"}
		c.countRefusal(f)
		return nil, f, true
	case isTimeout(err):
		return nil, c.refuseSlowHead(), !c.interrupted()
	case isConnError(err):
		c.cancel()
		return nil, nil, false
	}
	f = refusalOf(err)
	c.countRefusal(f)
	return nil, f, true
}

// awaitHead waits for the first byte of a head. It reports false if the connection is to
// be closed: the caller disconnected, the idle timeout is over, or it is closing.
func (c *conn) awaitHead() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.phase = phaseIdle
	for {
		if c.closing || c.broken {
			return false
		}
		if c.reader.Buffered() > 0 && !c.skipEmptyLines() {
			c.phase = phaseHead
			return true
		}
		if !c.setIdleTimeout() {
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

// setIdleTimeout sets the read deadline for the rest of the idle timeout, or none if
// responses are pending. It reports false if the timeout is over. The caller holds the
// lock.
func (c *conn) setIdleTimeout() bool {
	m := c.server.idleTimeout()
	if len(c.pending) > 0 || m == 0 {
		c.setReadTimeout(0)
		return true
	}
	rest := c.idleSince + m - c.server.Clock.Now()
	if rest <= 0 {
		return false
	}
	c.setReadTimeout(rest)
	return true
}

// skipEmptyLines skips up to two line ends after the body of a POST, which some callers
// send, and reports whether the read buffer is empty then. The caller holds the lock.
func (c *conn) skipEmptyLines() bool {
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

// collectHead waits until the read buffer contains the complete head or is full. It
// returns the head, or nil if it does not fit. The refusal is not nil if the head does not
// arrive in time. It reports false if the connection is to be closed.
func (c *conn) collectHead() ([]byte, *refusal, bool) {
	limited := false
	for {
		raw, _ := c.reader.Peek(c.reader.Buffered())
		if n := headLength(raw); n > 0 {
			return raw[:n], nil, true
		}
		if len(raw) == c.reader.Size() {
			c.setHeadTimeout()
			return nil, nil, true
		}
		if !limited {
			limited = true
			c.setHeadTimeout()
		}
		switch err := c.fill(); {
		case err == nil:
		case isTimeout(err):
			return nil, c.refuseSlowHead(), !c.interrupted()
		default:
			c.cancel()
			return nil, nil, false
		}
	}
}

// startHeadCopy begins to copy a head that does not fit the read buffer, which is full of it.
func (c *conn) startHeadCopy() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.headCopy = bytes.Clone(buffered)
}

// endHeadCopy returns the copy of the head. It is empty if the head did not arrive completely.
func (c *conn) endHeadCopy() []byte {
	raw := c.headCopy
	c.headCopy = nil
	return raw[:headLength(raw)]
}

// setHeadTimeout sets the read deadline for the head.
func (c *conn) setHeadTimeout() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.closing && !c.broken {
		c.setReadTimeout(c.server.headTimeout())
	}
}

func (c *conn) interrupted() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.closing || c.broken
}

// headLength returns the length of the head at the start of raw, 0 if it is incomplete.
func headLength(raw []byte) int {
	n := 0
	for _, e := range headTerminators {
		if i := bytes.Index(raw, e); i >= 0 && (n == 0 || i+len(e) < n) {
			n = i + len(e)
		}
	}
	return n
}

// checkHead refuses what http.ReadRequest accepts and the server of net/http refuses. It
// also refuses a request with both Content-Length and Transfer-Encoding: net/http ignores
// the former, which other proxies on the path may use. raw is the head as received. checkHead
// returns nil for a valid head.
func checkHead(r *http.Request, raw []byte) *refusal {
	switch {
	case r.ProtoMajor != 1:
		return &refusal{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	case len(r.TransferEncoding) > 0 && bytes.Contains(bytes.ToLower(raw), lengthField):
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

// refusalOf returns the refusal of a head that net/http failed to parse.
func refusalOf(err error) *refusal {
	if strings.Contains(err.Error(), "unsupported transfer encoding") {
		return &refusal{http.StatusNotImplemented, "unsupported transfer encoding"}
	}
	return malformed(err.Error())
}

// expectsContinue reports whether the caller waits for 100 Continue before it sends the
// body.
func expectsContinue(r *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue")
}

// isConnError reports whether the connection failed, as opposed to what was read from it.
func isConnError(err error) bool {
	var lost *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &lost)
}

func (c *conn) countRefusal(f *refusal) {
	if f != nil {
		c.server.reportRefusal(KindMalformed)
	}
}

// refuseSlowHead returns the refusal of a head that did not arrive in time, so that the
// caller learns that its request did not run.
func (c *conn) refuseSlowHead() *refusal {
	if !c.interrupted() {
		c.server.reportRefusal(KindSlowHead)
	}
	return &refusal{http.StatusRequestTimeout, "request header too slow"}
}

func (s *Server) maxHeadBytes() int64 {
	if s.MaxHeadBytes > 0 {
		return max(s.MaxHeadBytes, readBuffer)
	}
	return defaultMaxHeadBytes
}
