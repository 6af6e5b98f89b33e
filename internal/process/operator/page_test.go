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

// TestPage fetches the phone page with and without gzip. It must be a single file, small
// enough for a slow connection, and must load nothing from other hosts.
func TestPage(t *testing.T) {
	is := is.New(t)
	none := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	h, err := (&operator.Server{Lookup: none, Metrics: none}).Handler()
	is.NoErr(err)
	get := func(encoding string) *httptest.ResponseRecorder {
		q := httptest.NewRequest(http.MethodGet, operator.PathPage, nil)
		q.Header.Set("Accept-Encoding", encoding)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, q)
		is.Equal(w.Code, http.StatusOK)
		return w
	}
	plain := get("").Body.String()
	compressed := get("gzip")
	is.Equal(compressed.Header().Get("Content-Encoding"), "gzip")
	t.Logf("%d bytes, %d compressed", len(plain), compressed.Body.Len())
	r, err := gzip.NewReader(compressed.Body)
	is.NoErr(err)
	text, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(text), plain)
	is.True(len(plain) < maxPageBytes)
	is.True(!strings.Contains(plain, "//cdn") && !strings.Contains(plain, "http://") && !strings.Contains(plain, "https://"))
	is.True(!strings.Contains(plain, "innerHTML")) // text written by operators cannot run as script
	is.True(strings.Contains(compressed.Header().Get("Content-Security-Policy"), "default-src 'none'"))
}
