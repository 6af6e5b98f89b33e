package dispatcher_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pipeliner"
	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/internal/standin/uploader"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
)

// upstreamPaths are the ways of a request to its upstream.
var upstreamPaths = []struct {
	name string
	make func(*testing.T, matcher.Kind) *harness
}{
	{"straight", newHarness},
	{"over a helper", func(t *testing.T, k matcher.Kind) *harness { return newRelayHarness(t, k).harness }},
}

// serveEntry adds an upstream at an address, starts the server of the entry, and returns its address.
func (s *harness) serveEntry(t *testing.T, upstream string) string {
	t.Helper()
	s.catalog.Put(cataloger.Upstream{ID: "u", Service: "s", Address: upstream, Site: "east/a", Slots: 4})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entry := &pipeliner.Server{Handler: s.Dispatcher}
	go func() { _ = entry.Serve(l) }()
	t.Cleanup(entry.Close)
	return l.Addr().String()
}

// TestResetIsNoEndOfResponse guards against a part of a response without a length that is passed on
// as a whole one, since the upload got the error of the reset connection and the response its end.
func TestResetIsNoEndOfResponse(t *testing.T) {
	const (
		rounds = 2
		piece  = 40_000
	)
	head := "HTTP/1.1 200 OK\r\n" + fields.RequestID + ": id\r\n" + fields.Proof + ": p\r\n\r\n"
	body := uploader.Numbered(2 * uploadBytes)
	for _, path := range upstreamPaths {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, chunked=%t", path.name, chunked), func(t *testing.T) {
				whole, all := 0, 0
				for range rounds {
					responder.EachResetter(t, head, func(upstream string) {
						p := sendUpload(t, path.make(t, matcher.Once).serveEntry(t, upstream), &uploader.Upload{Body: body, Chunked: chunked, Piece: piece, Interval: time.Millisecond})
						_, err := io.Copy(io.Discard, p.Body)
						if err == nil && p.StatusCode == http.StatusOK {
							whole++
						}
						all++
					})
				}
				if whole > 0 {
					t.Errorf("%d of %d parts of a response look complete", whole, all)
				}
			})
		}
	}
}

// TestCloseEndsResponse guards against a response without a length that is taken for a part of one,
// since its upstream closes the connection as soon as it has read the upload.
func TestCloseEndsResponse(t *testing.T) {
	for _, path := range upstreamPaths {
		for _, chunked := range []bool{false, true} {
			for _, length := range []int{0, 3000, 300_000} {
				t.Run(fmt.Sprintf("%s, chunked=%t, %d bytes", path.name, chunked, length), func(t *testing.T) {
					is := is.New(t)
					body := strings.Repeat("b", length)
					response := "HTTP/1.1 200 OK\r\n" + fields.RequestID + ": id\r\n" + fields.Proof + ": p\r\n\r\n" + body
					u := &responder.Responder{After: uploadBytes, Response: func(*http.Request) string { return response }, Bodies: make(chan responder.Body, 1), Closes: true}
					p := upload(t, path.make(t, matcher.Once).serveEntry(t, u.Start(t)), uploader.Numbered(uploadBytes), chunked)
					is.Equal(p.StatusCode, http.StatusOK)
					got, err := io.ReadAll(p.Body)
					is.NoErr(err)
					is.Equal(string(got), body)
				})
			}
		}
	}
}
