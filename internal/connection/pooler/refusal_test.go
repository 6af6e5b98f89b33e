package pooler_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/standin/server"
)

// longBody is more than the buffers of a connection hold, so that it is never sent whole.
const longBody = 16 << 20

// startRefusing starts an upstream that refuses each request by its head and closes the connection
// with the body unread, which resets it.
func startRefusing(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go runRefusing(l)
	return l.Addr().String()
}

func runRefusing(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go refuse(c)
	}
}

func refuse(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+server.HeaderNotRun+": 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy")
	}
}

// TestRefusalIsReadAfterFailedWrite guards against a refusal that is dropped since the upstream
// closed the connection before it read the whole request.
func TestRefusalIsReadAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	o, _ := newOwner(settings(1, 1, startRefusing(t)))
	for range 10 {
		c := call("x", nil, io.Discard)
		c.Method, c.Body, c.Length, c.BodyReady = http.MethodPost, strings.NewReader(strings.Repeat("x", longBody)), longBody, true
		r := o.Run(context.Background(), c)
		is.Equal(r.Outcome, exchanger.NotRun)
		is.Equal(r.Reason, exchanger.ReasonUpstreamRefused)
	}
}
