package operator

import (
	"bytes"
	"compress/gzip"
	_ "embed"
	"net/http"
	"strings"
	"sync"
)

// PathPage is the path of the web page for phones. The page holds no secrets: it
// fetches its data with the operator's token.
const PathPage = "/"

//go:embed page/index.html
var page []byte

// compressedPage returns the page compressed with gzip, for slow connections.
var compressedPage = sync.OnceValue(func() []byte {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestCompression)
	_, _ = w.Write(page)
	_ = w.Close()
	return b.Bytes()
})

func servePage(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Type", "text/html; charset=utf-8")
	h.Set("Content-Security-Policy", "default-src 'none'; script-src 'unsafe-inline'; style-src 'unsafe-inline'; connect-src 'self'; form-action 'none'; frame-ancestors 'none'")
	h.Set("Cache-Control", "no-cache")
	h.Set("Referrer-Policy", "no-referrer")
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		h.Set("Content-Encoding", "gzip")
		_, _ = w.Write(compressedPage())
		return
	}
	_, _ = w.Write(page)
}
