package storer_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/pkg/storer"
)

// invalidResponses are bytes that net/http takes for a success.
var invalidResponses = map[string]string{
	"status 000":        responder.Respond("000 Trouble", "", "{}"),
	"status 000, empty": responder.Respond("000 Trouble", "", ""),
	"invalid name":      responder.Respond("200 OK", "Bad : x\r\n", "{}"),
	"invalid framing":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\n{}",
	"invalid trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nBad : x\r\n\r\n",
}

// TestInvalidResponseIsNoSuccess guards against a write that counts as done, or data that is taken for
// the platform's, because of bytes that are no response.
func TestInvalidResponseIsNoSuccess(t *testing.T) {
	for name, invalid := range invalidResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &responder.Responder{Bodies: make(chan responder.Body, 10), Response: func(*http.Request) string { return invalid }}
			url := "http://" + s.Start(t)
			_, err := call(t, http.MethodPut, url, []byte("{}"))
			is.True(errors.Is(err, storer.ErrUnknown)) // the write may have taken effect
			_, err = call(t, http.MethodGet, url, nil)
			is.True(errors.Is(err, storer.ErrUnreachable))
		})
	}
}
