package responder

import (
	"io"
	"net"
	"testing"
)

// maxRequestBytes bounds the request that an Endless reads.
const maxRequestBytes = 64 << 10

// Endless is a stand-in upstream that responds with Start, and then with Text again and again until the
// caller closes the connection.
type Endless struct {
	Start, Text string
	// Closed receives how many bytes were sent over a connection, once the caller has closed it.
	Closed chan int
}

// Listen listens until the test ends, and returns the address.
func (e *Endless) Listen(t testing.TB) string {
	t.Helper()
	return serve(t, e.runConn)
}

func (e *Endless) runConn(c net.Conn) {
	defer c.Close()
	if _, err := c.Read(make([]byte, maxRequestBytes)); err != nil {
		return
	}
	sent, err := io.WriteString(c, e.Start)
	for n := 0; err == nil; sent += n {
		n, err = io.WriteString(c, e.Text)
	}
	e.Closed <- sent
}
