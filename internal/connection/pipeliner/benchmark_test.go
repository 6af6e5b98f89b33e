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

// BenchmarkRequest compares the time and memory per request with those of the server of
// net/http, one request at a time and with eight pipelined. Both include the caller.
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
		for _, pipelined := range []int{1, 8} {
			b.Run(fmt.Sprintf("%s/Pipelined=%d", s.name, pipelined), func(b *testing.B) { benchmarkRequests(b, address, pipelined) })
		}
	}
}

func benchmarkRequests(b *testing.B, address string, pipelined int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	text := strings.Repeat("GET /x HTTP/1.1\r\nHost: x\r\nAttempt: 1234\r\nKey: 5678\r\n\r\n", pipelined)
	r := bufio.NewReader(c)
	b.ReportAllocs()
	for i := 0; i < b.N; i += pipelined {
		if _, err := io.WriteString(c, text); err != nil {
			b.Fatal(err)
		}
		for range pipelined {
			p, err := http.ReadResponse(r, nil)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, p.Body)
		}
	}
}
