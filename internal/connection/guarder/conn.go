package guarder

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
)

const (
	// MaxHeadBytes bounds the head of a request. It is what the server is told
	// too; beyond it the head is not kept.
	MaxHeadBytes = 64 << 10

	// Answers that begin so refuse the request.
	refusal4 = "HTTP/1.1 4"
	refusal5 = "HTTP/1.1 5"
)

// The kinds of refusal that are counted.
const (
	// KindSlowHead is a head that did not come in time.
	KindSlowHead Kind = "slow head"
	// KindMalformed is a head that the HTTP server refused.
	KindMalformed Kind = "malformed head"
)

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
	// dateField is in every answer of a handler and in none that the server
	// writes by itself.
	dateField   = []byte("\r\nDate: ")
	notRunField = []byte("Gullvale-Outcome: not-run\r\n")
	lengthField = []byte("\ncontent-length:")
)

type (
	// Kind names why a connection was refused before a handler saw a request.
	Kind string

	// Listener wraps the connections of a listener.
	Listener struct {
		net.Listener
		// Refused counts. Nil means nobody wants to know.
		Refused func(Kind)
	}

	// Conn is one connection of a caller.
	Conn struct {
		net.Conn
		refused func(Kind)

		lock      sync.Mutex
		head      []byte
		recording bool
	}

	connKey struct{}
)

// Accept returns the next connection, wrapped.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, refused: l.Refused, recording: true}, nil
}

// ConnContext puts the connection into the context of its requests.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState follows the server, which says when the next head begins.
func ConnState(c net.Conn, s http.ConnState) {
	if g, ok := c.(*Conn); ok && s == http.StateIdle {
		g.reset()
	}
}

// TwoLengths tells whether the head of a chunked request also gave a length.
// The server drops the length silently, while others on the way may go by it.
// A chunked request whose head was read together with the one before cannot be
// judged and counts as such.
func TwoLengths(r *http.Request) bool {
	if len(r.TransferEncoding) == 0 {
		return false
	}
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return false
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	i := bytes.Index(c.head, headEnd)
	if i < 0 {
		return true
	}
	return bytes.Contains(bytes.ToLower(c.head[:i]), lengthField)
}

func (c *Conn) reset() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.head = c.head[:0]
	c.recording = true
}

// Read keeps the head of the request that comes next.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.recording {
		c.record(p[:n])
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.recording && len(c.head) > 0 {
		c.recording = false
		c.count(KindSlowHead)
	}
	return n, err
}

func (c *Conn) record(p []byte) {
	c.head = append(c.head, p...)
	if len(c.head) > MaxHeadBytes || bytes.Contains(c.head, headEnd) {
		c.recording = false
	}
}

// Write marks the refusals that the server writes by itself.
func (c *Conn) Write(p []byte) (int, error) {
	refuses := bytes.HasPrefix(p, []byte(refusal4)) || bytes.HasPrefix(p, []byte(refusal5))
	if !refuses || bytes.Contains(p, dateField) {
		return c.Conn.Write(p)
	}
	c.count(KindMalformed)
	i := bytes.Index(p, lineEnd)
	if i < 0 {
		return c.Conn.Write(p)
	}
	i += len(lineEnd)
	marked := append(append(bytes.Clone(p[:i]), notRunField...), p[i:]...)
	if _, err := c.Conn.Write(marked); err != nil {
		return 0, err
	}
	return len(p), nil
}

// CloseWrite lets the server end its side first, as it does after a refusal.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

func (c *Conn) count(k Kind) {
	if c.refused != nil {
		c.refused(k)
	}
}
