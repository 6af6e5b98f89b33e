package storer_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/standin/responder"
	"github.com/gullvale/gullvale/pkg/storer"
)

// TestResetEndsNoRead guards against a part of an object that is taken for the whole one, since the
// platform reset the connection of a response without a length.
func TestResetEndsNoRead(t *testing.T) {
	is := is.New(t)
	responder.EachResetter(t, "HTTP/1.1 200 OK\r\n\r\n", func(address string) {
		_, err := call(t, http.MethodGet, "http://"+address, nil)
		is.True(errors.Is(err, storer.ErrUnreachable))
	})
}
