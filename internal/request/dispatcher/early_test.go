package dispatcher_test

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

	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/internal/standin/uploader"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
)

const (
	// uploadBytes is the length of an upload, sent in pieces of uploadPiece so that the server
	// reads each on its own. An early upstream responds after uploadRead.
	uploadBytes    = 200_000
	uploadPiece    = 2_000
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
	u.Host, u.Header = "h.example", http.Header{fields.RequestID: {"id"}}
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
	id, proof := fields.RequestID+": id\r\n", fields.Proof+": p\r\n"
	tests := []struct {
		name     string
		response string
		status   int
	}{
		{"rejected", responder.Respond("413 Content Too Large", id+proof, "long"), 413},
		{"failed", responder.Respond("500 Internal Server Error", id+proof, "failed"), 500},
		{"not run", responder.Respond("503 Service Unavailable", id+fields.NotRun+": 1\r\n", "full"), 503},
		{"misdirected", responder.Respond("421 Misdirected Request", id, "other"), 503},
		{"success", responder.Respond("200 OK", id+proof, "good"), 200},
		{"long success", responder.Respond("200 OK", id+proof, strings.Repeat("x", 300<<10)), 200},
	}
	for _, tt := range tests {
		for _, path := range upstreamPaths {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, chunked=%t", tt.name, path.name, chunked), func(t *testing.T) {
					is := is.New(t)
					s := path.make(t, matcher.Once)
					u := &responder.Responder{After: uploadRead, Response: func(*http.Request) string { return tt.response }, Bodies: make(chan responder.Body, 1)}
					address := s.serveEntry(t, u.Start(t))
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

// TestHelperReadsNoRequestBehindUnreadBody guards against the rest of an upload that a helper takes
// for the next request on the connection, after the upstream has responded early.
func TestHelperReadsNoRequestBehindUnreadBody(t *testing.T) {
	is := is.New(t)
	s := newRelayHarness(t, matcher.Once)
	response := responder.Respond("413 Content Too Large", fields.RequestID+": id\r\n"+fields.Proof+": p\r\n", "long")
	u := &responder.Responder{After: uploadRead, Response: func(*http.Request) string { return response }, Bodies: make(chan responder.Body, 2)}
	s.catalog.Put(cataloger.Upstream{ID: "u", Service: "s", Address: u.Start(t), Site: "east/a", Slots: 4})
	c, err := net.Dial("tcp", s.helperServer.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	head := http.Header{fields.RequestID: {"id"}}
	relayer.Call{From: "entry", Upstream: cataloger.Incarnation{ID: "u"}, Service: "s", Time: 2000}.WriteTo(head)
	send := func(framing, body string) {
		_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h.example\r\n%s\r\n", framing)
		_ = head.Write(c)
		_, _ = io.WriteString(c, "\r\n"+body)
	}
	// The last chunk is incomplete: the rest of it looks like another request that is handed over.
	send("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s", uploadRead, uploader.Numbered(uploadRead), uploadRead, "part"))
	in := bufio.NewReader(c)
	p, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(p.StatusCode, http.StatusRequestEntityTooLarge)
	_, err = io.Copy(io.Discard, p.Body)
	is.NoErr(err)
	is.Equal((<-s.relayed).Status, http.StatusRequestEntityTooLarge)
	send("Content-Length: 4", "body")
	_, err = http.ReadResponse(in, nil)
	is.True(err != nil) // the connection is closed
	is.Equal(len(s.relayed), 0)
}
