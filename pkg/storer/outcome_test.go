package storer_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/storer"
)

// deadAddress refuses connections, since no process listens on port 1.
const deadAddress = "http://127.0.0.1:1"

// TestUnreachableRedirectTargetLeavesResultUnknown guards against a write that is reported
// as not arrived although the platform received it and responded with a redirect to an
// unreachable address.
func TestUnreachableRedirectTargetLeavesResultUnknown(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.RedirectHandler(deadAddress, http.StatusSeeOther))
	defer s.Close()
	_, err := call(t, http.MethodPut, s.URL, []byte("x"))
	is.True(errors.Is(err, storer.ErrUnknown))
}

// TestFailedDialReturnsDialError guards against an unknown result of a write for which no
// connection could be opened.
func TestFailedDialReturnsDialError(t *testing.T) {
	is := is.New(t)
	_, err := call(t, http.MethodPut, deadAddress, []byte("x"))
	var dial *storer.DialError
	is.True(errors.As(err, &dial))
}
