package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/forwarder"
	"github.com/gullvale/gullvale/internal/standin/responder"
)

// testInvalid has an upstream send bytes that are no response, and then one. A caller gets neither: the
// request may have run.
func testInvalid(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, invalid := range responses {
		for _, linked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, linked=%t", name, linked), func(t *testing.T) {
				is := is.New(t)
				var requests atomic.Int64
				u := &responder.Responder{Bodies: make(chan responder.Body, 10), Response: func(*http.Request) string {
					if requests.Add(1) == 1 {
						return invalid
					}
					return responder.Respond("200 OK", "", "good")
				}}
				address := serveEntry(t, u.Start(t), linked)
				p, body := post(t, address)
				is.Equal(p.StatusCode, http.StatusBadGateway)
				is.True(strings.Contains(body, "Outcome")) // of the entry
				is.Equal(p.Header.Get("Bad"), "")
				is.Equal(requests.Load(), int64(1))
				p, body = post(t, address)
				is.Equal(p.StatusCode, http.StatusOK)
				is.Equal(body, "good") // not over the same connection
			})
		}
	}
}

// post sends a request to an entry, and returns the response and its body.
func post(t *testing.T, address string) (*http.Response, string) {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set(forwarder.HeaderService, string(service))
	q.Header.Set(forwarder.HeaderDeadline, "2000")
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return p, "broken"
	}
	return p, string(b)
}

// TestInvalidStatusIsNoResponse guards against a status that HTTP does not have and that is passed on,
// or replaced by 200.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	responses := map[string]string{"101": responder.Respond("101 Switching Protocols", "", "bad")}
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		responses[status] = responder.Respond(status+" Trouble", "", "bad")
		responses[status+" without a body"] = responder.Respond(status+" Trouble", "", "")
		responses[status+" before another head"] = "HTTP/1.1 " + status + " Trouble\r\n\r\n" + responder.Respond("200 OK", "", "bad")
		responses["100, then "+status] = "HTTP/1.1 100 Continue\r\n\r\n" + responder.Respond(status+" Trouble", "", "bad")
	}
	testInvalid(t, responses)
}

// TestInvalidHeadOfMemberIsNoResponse guards against a head that another daemon passes on over a link,
// and that is none.
func TestInvalidHeadOfMemberIsNoResponse(t *testing.T) {
	for name, head := range map[string]exchanger.Response{
		"status 0":     {Status: 0, Length: 3},
		"status 101":   {Status: 101, Length: 3},
		"invalid name": {Status: 200, Length: 3, Header: http.Header{"Bad ": {"x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, nil)
			useOwners(t, f, startServingPeer(t, "b", func(_ context.Context, c *exchanger.Call, _ bool) exchanger.Result {
				_, _ = c.Start(head), c.Write([]byte("bad"))
				return exchanger.Result{Outcome: exchanger.Answered, Whole: true}
			}))
			r := f.RunLinked(context.Background(), call(http.MethodPost), true)
			is.Equal(r.Outcome, exchanger.Unknown)
		})
	}
}

// TestInvalidNameIsNoResponse guards against a response with a field whose name is invalid, which is
// passed on, or whose body has another framing than the caller is told.
func TestInvalidNameIsNoResponse(t *testing.T) {
	responses := map[string]string{
		"Content-Length":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbad",
		"Transfer-Encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
		"failure":           responder.Respond("500 Internal Server Error", "Bad : x\r\n", "bad"),
		"interim response":  "HTTP/1.1 100 Continue\r\nBad : x\r\n\r\n" + responder.Respond("200 OK", "", "bad"),
	}
	for _, name := range responder.InvalidNames {
		responses[fmt.Sprintf("%q", name)] = responder.Respond("200 OK", name+": x\r\n", "bad")
	}
	testInvalid(t, responses)
}

// TestInvalidTrailerEndsNoResponse guards against a trailer with a field whose name is invalid and that
// is passed on as the end of a whole response.
func TestInvalidTrailerEndsNoResponse(t *testing.T) {
	for _, linked := range []bool{false, true} {
		t.Run(fmt.Sprintf("linked=%t", linked), func(t *testing.T) {
			is := is.New(t)
			u := &responder.Responder{Bodies: make(chan responder.Body, 10), Response: func(*http.Request) string {
				return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nBad : x\r\n\r\n"
			}}
			_, body := post(t, serveEntry(t, u.Start(t), linked))
			is.Equal(body, "broken")
		})
	}
}
