package pipeliner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gullvale/gullvale/internal/connection/pipeliner"
)

// BenchmarkRequest compares processor time and memory of a request with those of the
// standard library's server, one request after the other and eight ahead. The caller's
// part is in both. Of the standard server and of this one a request takes 27 to 30 and
// 32 µs, eight ahead 17 to 19 and 12 to 13 µs; 3.1 and 4.1 KB, eight ahead 4.8 KB.
func BenchmarkRequest(b *testing.B) {
	body := strings.Repeat("x", 1000)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body)
	})
	ours := &pipeliner.Server{Handler: handler, MayOverlap: func(*http.Request) bool { return true }}
	standard := &http.Server{Handler: handler}
	for _, s := range []struct {
		name  string
		serve func(net.Listener) error
	}{{"Pipeliner", ours.Serve}, {"Standard", standard.Serve}} {
		address := listen(b, s.serve)
		for _, ahead := range []int{1, 8} {
			b.Run(fmt.Sprintf("%s/Ahead=%d", s.name, ahead), func(b *testing.B) { ask(b, address, ahead) })
		}
	}
}

func ask(b *testing.B, address string, ahead int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	text := strings.Repeat("GET /x HTTP/1.1\r\nHost: x\r\nAttempt: 1234\r\nKey: 5678\r\n\r\n", ahead)
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for i := 0; i < b.N; i += ahead {
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
		for range ahead {
			p, err := http.ReadResponse(r, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, p.Body)
		}
	}
}
