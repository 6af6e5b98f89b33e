package operator_test

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/operator"
)

const maxPageBytes = 50 << 10

// TestPage gets the phone page as a phone does, packed, and as it is: one file, small
// enough for a poor link, that asks nobody else for anything.
func TestPage(t *testing.T) {
	is := is.New(t)
	none := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	h, err := (&operator.Server{Lookup: none, Metrics: none}).Handler()
	is.NoErr(err)
	get := func(coding string) *httptest.ResponseRecorder {
		q := httptest.NewRequest(http.MethodGet, operator.PathPage, nil)
		q.Header.Set("Accept-Encoding", coding)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, q)
		is.Equal(w.Code, http.StatusOK)
		return w
	}
	plain := get("").Body.String()
	packed := get("gzip")
	is.Equal(packed.Header().Get("Content-Encoding"), "gzip")
	t.Logf("%d bytes, %d packed", len(plain), packed.Body.Len())
	r, err := gzip.NewReader(packed.Body)
	is.NoErr(err)
	text, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(text), plain)
	is.True(len(plain) < maxPageBytes)
	is.True(!strings.Contains(plain, "//cdn") && !strings.Contains(plain, "http://") && !strings.Contains(plain, "https://"))
	is.True(!strings.Contains(plain, "innerHTML")) // nothing that operators wrote can run
	is.True(strings.Contains(packed.Header().Get("Content-Security-Policy"), "default-src 'none'"))
}
