package dispatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
)

// post sends a request to an entry, and returns the response and its body.
func post(t *testing.T, address string) (*http.Response, string) {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h.example"
	q.Header.Set(fields.RequestID, "id")
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

// testInvalid has an upstream send bytes that are no response to the first request. A caller gets
// none of them: the request may have run, and is sent again if it may run twice.
func testInvalid(t *testing.T, responses map[string]string) {
	t.Helper()
	good := responder.Respond("200 OK", fields.RequestID+": id\r\n"+fields.Proof+": p\r\n", "good")
	for name, invalid := range responses {
		for _, path := range upstreamPaths {
			for kind, status := range map[matcher.Kind]int{matcher.Once: http.StatusBadGateway, matcher.Idempotent: http.StatusOK} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, path.name, kind), func(t *testing.T) {
					is := is.New(t)
					var requests atomic.Int64
					u := &responder.Responder{Bodies: make(chan responder.Body, 10), Response: func(*http.Request) string {
						if requests.Add(1) == 1 {
							return invalid
						}
						return good
					}}
					s := path.make(t, kind)
					s.catalog.Put(cataloger.Upstream{ID: "v", Service: "s", Address: u.Start(t), Site: "east/a", Slots: 4})
					p, body := post(t, s.serveEntry(t, u.Start(t)))
					is.Equal(p.StatusCode, status)
					is.Equal(body, map[int]string{http.StatusOK: "good"}[status])
					is.Equal(p.Header.Get("Bad"), "")
					is.Equal(requests.Load(), map[int]int64{http.StatusBadGateway: 1, http.StatusOK: 2}[status])
				})
			}
		}
	}
}

// TestInvalidStatusIsNoResponse guards against a status that HTTP does not have and that is passed on,
// or skipped as an interim one so that the bytes behind it are taken for the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	head := fields.RequestID + ": id\r\n" + fields.Proof + ": p\r\n"
	responses := map[string]string{}
	for _, status := range []string{"000", "001", "099", "+20", "600", "999"} {
		responses[status] = responder.Respond(status+" Trouble", head, "bad")
		responses[status+" without a body"] = responder.Respond(status+" Trouble", head, "")
		responses[status+" before another head"] = "HTTP/1.1 " + status + " Trouble\r\n\r\n" + responder.Respond("200 OK", head, "bad")
		responses["100, then "+status] = "HTTP/1.1 100 Continue\r\n\r\n" + responder.Respond(status+" Trouble", head, "bad")
	}
	testInvalid(t, responses)
}

// TestInvalidNameIsNoResponse guards against a response with a field whose name is invalid: what the
// field says is lost, and with it the framing of the body.
func TestInvalidNameIsNoResponse(t *testing.T) {
	id, proof := fields.RequestID+": id\r\n", fields.Proof+": p\r\n"
	head, chunked := id+proof, "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n"
	responses := map[string]string{
		"Content-Length":    "HTTP/1.1 200 OK\r\n" + head + "Content-Length : 2\r\n\r\nbad",
		"Transfer-Encoding": "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
		"failure":           responder.Respond("500 Internal Server Error", head+"Bad : x\r\n", "bad"),
		"refusal":           responder.Respond("503 Service Unavailable", id+fields.NotRun+": 1\r\nBad : x\r\n", "bad"),
		"other incarnation": responder.Respond("421 Misdirected Request", id+"Bad : x\r\n", "bad"),
		"interim response":  "HTTP/1.1 100 Continue\r\nBad : x\r\n\r\n" + responder.Respond("200 OK", head, "bad"),
		"trailer":           "HTTP/1.1 200 OK\r\n" + head + chunked + "Bad : x\r\n\r\n",
		"another request's": responder.Respond("200 OK", fields.RequestID+": other\r\nBad : x\r\n", "bad") + responder.Respond("200 OK", head, "bad"),
	}
	for _, name := range responder.InvalidNames {
		responses[fmt.Sprintf("%q", name)] = responder.Respond("200 OK", head+name+": x\r\n", "bad")
	}
	testInvalid(t, responses)
}

// TestBrokenAnswerIsNotBlamedOnHelper guards against a helper that is taken for lost, and avoided, since
// an answer broke off before the helper had sent its head: an idempotent request was not sent again.
func TestBrokenAnswerIsNotBlamedOnHelper(t *testing.T) {
	head := fields.RequestID + ": id\r\n" + fields.Proof + ": p\r\n"
	for _, path := range upstreamPaths {
		t.Run(path.name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int64
			u := &responder.Responder{Bodies: make(chan responder.Body, 10), Closes: true, Response: func(*http.Request) string {
				if requests.Add(1) == 1 {
					return "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n"
				}
				return responder.Respond("200 OK", head, "good")
			}}
			s := path.make(t, matcher.Idempotent)
			s.catalog.Put(cataloger.Upstream{ID: "v", Service: "s", Address: u.Start(t), Site: "east/a", Slots: 4})
			p, body := post(t, s.serveEntry(t, u.Start(t)))
			is.Equal(p.StatusCode, http.StatusOK)
			is.Equal(body, "good")
		})
	}
}
