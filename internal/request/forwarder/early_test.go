package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/forwarder"
	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/internal/standin/uploader"
)

const (
	// uploadBytes is the length of an upload, sent in pieces of uploadPiece so that the server
	// reads each on its own. An early upstream responds after uploadRead.
	uploadBytes    = 400_000
	uploadPiece    = 4_000
	uploadRead     = 80_000
	uploadInterval = 2 * time.Millisecond
)

// upload sends a long body in pieces to the entry and returns the response.
func upload(t *testing.T, address, body string, chunked bool) *http.Response {
	t.Helper()
	return sendUpload(t, address, &uploader.Upload{Body: body, Chunked: chunked, Piece: uploadPiece, Interval: uploadInterval})
}

// sendUpload sends an upload to the entry and returns the response.
func sendUpload(t *testing.T, address string, u *uploader.Upload) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	u.Host, u.Header = "s", http.Header{forwarder.HeaderService: {string(service)}}
	go func() { _ = u.Send(c) }()
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestEarlyAnswerLeavesNoGapInUpload guards against an upstream that responds before it has read
// an upload, and reads bytes from further behind in place of the rest.
func TestEarlyAnswerLeavesNoGapInUpload(t *testing.T) {
	tests := []struct {
		name     string
		response string
		status   int
	}{
		{"rejected", responder.Respond("413 Content Too Large", "", "long"), 413},
		{"failed", responder.Respond("500 Internal Server Error", "", "failed"), 500},
		{"success", responder.Respond("200 OK", "", "good"), 200},
		{"long success", responder.Respond("200 OK", "", strings.Repeat("x", 300<<10)), 200},
	}
	for _, tt := range tests {
		for _, linked := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, linked=%t, chunked=%t", tt.name, linked, chunked), func(t *testing.T) {
					is := is.New(t)
					u := &responder.Responder{After: uploadRead, Response: func(*http.Request) string { return tt.response }, Bodies: make(chan responder.Body, 1)}
					address := serveEntry(t, u.Start(t), linked)
					sent := uploader.Numbered(uploadBytes)
					p := upload(t, address, sent, chunked)
					is.Equal(p.StatusCode, tt.status)
					_, err := io.Copy(io.Discard, p.Body)
					is.NoErr(err)
					got := <-u.Bodies
					is.True(strings.HasPrefix(sent, got.Bytes))         // no gap
					is.Equal(got.Complete, len(got.Bytes) == len(sent)) // no end before the end
				})
			}
		}
	}
}
