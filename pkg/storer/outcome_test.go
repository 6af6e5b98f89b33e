package storer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/storer"
)

// deadAddress refuses connections: no process may listen on port 1 here.
const deadAddress = "http://127.0.0.1:1"

// TestRefusedRedirectLeavesDoubt guards against a write called not arrived that the platform
// has taken, since the address that its answer names is not reached.
func TestRefusedRedirectLeavesDoubt(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.RedirectHandler(deadAddress, http.StatusSeeOther))
	defer s.Close()
	_, err := call(t, http.MethodPut, s.URL, []byte("x"))
	is.True(errors.Is(err, storer.ErrUnknown))
}

// TestUnreachedWriteDidNotArrive guards against doubt about a write that reached nobody.
func TestUnreachedWriteDidNotArrive(t *testing.T) {
	is := is.New(t)
	_, err := call(t, http.MethodPut, deadAddress, []byte("x"))
	var dial *storer.DialError
	is.True(errors.As(err, &dial))
}
