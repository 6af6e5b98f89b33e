package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/pipeliner"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/internal/standin/uploader"
)

// serveEntry starts the server of an entry with one upstream, which another daemon owns if linked, and
// returns its address.
func serveEntry(t *testing.T, upstream string, linked bool) string {
	t.Helper()
	f := newForwarderTo(t, upstream)
	f.Leaving = func() bool { return false }
	if linked {
		owner := f.Owner
		useOwners(t, f, startServingPeer(t, "b", func(ctx context.Context, c *exchanger.Call, _ bool) exchanger.Result {
			return owner.Run(ctx, c)
		}))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entry := &pipeliner.Server{Handler: f}
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
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	body := uploader.Numbered(uploadBytes)
	for _, linked := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("linked=%t, chunked=%t", linked, chunked), func(t *testing.T) {
				whole, all := 0, 0
				for range rounds {
					responder.EachResetter(t, head, func(upstream string) {
						p := sendUpload(t, serveEntry(t, upstream, linked), &uploader.Upload{Body: body, Chunked: chunked, Piece: piece, Interval: time.Millisecond})
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
	for _, linked := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			for _, length := range []int{0, 3000, 300_000} {
				t.Run(fmt.Sprintf("linked=%t, chunked=%t, %d bytes", linked, chunked, length), func(t *testing.T) {
					is := is.New(t)
					body := strings.Repeat("b", length)
					u := &responder.Responder{
						After: uploadBytes, Response: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + body },
						Bodies: make(chan responder.Body, 1), Closes: true,
					}
					p := upload(t, serveEntry(t, u.Start(t), linked), uploader.Numbered(uploadBytes), chunked)
					is.Equal(p.StatusCode, http.StatusOK)
					got, err := io.ReadAll(p.Body)
					is.NoErr(err)
					is.Equal(string(got), body)
				})
			}
		}
	}
}
