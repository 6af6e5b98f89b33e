package integration_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func writeFile(name, text string) error {
	return os.WriteFile(name, []byte(text), 0o600)
}

// TestBadInputIsRefused sends request heads that must not reach an upstream, each on its own
// connection. Every response must report that the request was not run.
func TestBadInputIsRefused(t *testing.T) {
	address := startPlatform(t)
	upstream := startUpstream(t)
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream)+"[Service.keg-ledger]\nMaxBodyBytes = 1000\nHosts = [\"ledger\"]\n")
	const head = "POST /x?Token=bad HTTP/1.1\r\nHost: ledger\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		{"length and chunks", head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 400},
		{"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 501},
		{"blank before colon", head + "Content-Length : 3\r\n\r\nabc", 400},
		{"no method", " /x HTTP/1.1\r\n\r\n", 400},
		{"huge head", head + "X: " + strings.Repeat("x", 100<<10) + "\r\n\r\n", 431},
		{"body over the limit", head + "Content-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001), 413},
		{"chunks over the limit", head + "Transfer-Encoding: chunked\r\n\r\n" + "7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413},
		{"bad deadline", head + "Gullvale-Deadline-Millis: soon\r\nContent-Length: 0\r\n\r\n", 400},
		{"bad block", head + "Gullvale-Block: home\r\nContent-Length: 0\r\n\r\n", 400},
		{"no service", "GET /x HTTP/1.1\r\nHost: other\r\n\r\n", 404},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", d.callers)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
			go func() { _, _ = io.WriteString(conn, c.text) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Gullvale-Outcome"), "not-run")
		})
	}
	is := is.New(t)
	is.Equal(upstreamCounts(t, upstream).Journal["bad"], 0)
	eventually(t, "the refusals are counted", func() bool {
		resp, err := http.Get("http://" + d.operators + "/metrics")
		is.NoErr(err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return strings.Contains(string(b), `gullvale_heads_refused{class="none",kind="malformed head",service="none"} 6`) &&
			strings.Contains(string(b), `gullvale_request_reasons{class="short",kind="body too large",service="keg-ledger"} 2`)
	})
}

// startTruncatingUpstream starts an upstream that passes health checks, replies to every other
// request with head and then closes the connection.
func startTruncatingUpstream(t *testing.T, head string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil || r.URL.Path == "/health" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
					return
				}
				_, _ = io.WriteString(conn, head)
			}()
		}
	}()
	return l.Addr().String()
}

// TestTruncatedResponseStaysTruncated guards against a truncated response, with a length or
// chunked, that reaches the caller as a complete one.
func TestTruncatedResponseStaysTruncated(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startPlatform(t)
			upstream := startTruncatingUpstream(t, head)
			d1 := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
			d2 := startDaemon(t, daemonOptions{name: "erie-2", region: "erie", domain: "a", platform: address})
			d1.applySettings(2, fmt.Sprintf(oneSiteSettings, upstream))
			for _, d := range []*daemon{d1, d2} {
				var resp *http.Response
				eventually(t, "an upstream is owned", func() bool {
					var err error
					resp, err = d.send(context.Background(), http.MethodGet, "keg-ledger", "/x", nil)
					is.NoErr(err)
					return resp.StatusCode == http.StatusOK
				})
				b, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				is.Equal(string(b), "half")
				is.True(err != nil) // the truncation must reach the caller
			}
		})
	}
}

// TestPostOutcomeIsUnknownAfterUpstreamCloses has an upstream read a request and close the
// connection without a response. A POST is neither retried nor reported as not run, with or without
// an idempotency key.
func TestPostOutcomeIsUnknownAfterUpstreamCloses(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	upstream := startTruncatingUpstream(t, "")
	d := startDaemon(t, daemonOptions{name: "erie-1", region: "erie", domain: "a", platform: address})
	d.applySettings(1, fmt.Sprintf(oneSiteSettings, upstream))
	for _, body := range []string{"", "one sofa"} {
		for _, key := range []string{"", "key of " + body} {
			var resp *http.Response
			eventually(t, "an upstream is owned", func() bool {
				req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/x", strings.NewReader(body))
				is.NoErr(err)
				req.Header.Set("Gullvale-Service", "keg-ledger")
				if key != "" {
					req.Header.Set("Idempotency-Key", key)
				}
				resp, err = http.DefaultClient.Do(req)
				is.NoErr(err)
				resp.Body.Close()
				return resp.Header.Get("Gullvale-Outcome") != "not-run"
			})
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get("Gullvale-Outcome"), "unknown")
		}
	}
}
