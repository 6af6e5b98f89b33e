package commander_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/commander"
)

// TestUploadMayExceedResponseTimeout guards against a timeout on the whole call: an upload that
// takes longer than the time to respond would then always fail after 5 s.
func TestUploadMayExceedResponseTimeout(t *testing.T) {
	is := is.New(t)
	const (
		length = 10 << 20
		pieces = 60
		pause  = 100 * time.Millisecond
	)
	received := 0
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for b := make([]byte, length/pieces); ; time.Sleep(pause) {
			n, err := io.ReadFull(r.Body, b)
			received += n
			if err != nil {
				break
			}
		}
		_, _ = io.WriteString(w, "{}")
	}))
	s.Config.ConnState = func(c net.Conn, _ http.ConnState) {
		// Larger kernel buffers would hide the narrow link.
		if c, ok := c.(*net.TCPConn); ok {
			_ = c.SetReadBuffer(64 << 10)
		}
	}
	s.Start()
	defer s.Close()

	text := bytes.Repeat([]byte("x"), length)
	is.NoErr(commander.PostBlocks(context.Background(), s.Listener.Addr().String(), "places", text))
	is.Equal(received, length)
}
