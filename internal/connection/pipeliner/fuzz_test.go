package pipeliner_test

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// closingRequest is appended to each input. If the requests of the input are complete,
	// it makes the server close the connection at once.
	closingRequest = "\r\n\r\nGET /end HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

	// fuzzTimeout is when the caller disconnects if the server has not closed the
	// connection.
	fuzzTimeout = 50 * time.Millisecond
)

// FuzzRequests sends arbitrary bytes to this server and to that of net/http, and compares
// the requests that handlers get. This server refuses some requests that net/http accepts.
// Its handlers may therefore get only the first requests of those that the handlers of
// net/http get, but never different ones.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		"GET /a HTTP/1.1\r\n" + host + "\r\nGET /b HTTP/1.1\r\n" + host + "\r\n",
		"POST /x HTTP/1.1\r\n" + host + "Content-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\n" + host + "\r\n",
		"POST /x HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nGET /b HTTP/1.1\r\n" + host + "\r\n",
		"POST /x HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc",
		"GET /x HTTP/1.1\r\n" + host + "A: b\rGET /y HTTP/1.1\r\n\r\n",
		"POST /x HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
		"HEAD / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.0\r\n\r\n",
	} {
		f.Add(text)
	}
	ours, standard, gotOurs, gotStandard := servers(f)
	f.Fuzz(func(t *testing.T, text string) {
		if strings.HasPrefix(text, "PRI * HTTP/2.0") || strings.Contains(text, "OPTIONS *") {
			t.Skip("net/http handles these itself")
		}
		gotOurs.clear()
		gotStandard.clear()
		a, b := exchangeFor(t, fuzzTimeout, ours, text+closingRequest), exchangeFor(t, fuzzTimeout, standard, text+closingRequest)
		if a.timedOut || b.timedOut {
			t.Skip("handlers may still be running")
		}
		got, want := gotOurs.requestsOf(a.caller), gotStandard.requestsOf(b.caller)
		if len(got) > len(want) || !slices.Equal(got, want[:len(got)]) {
			t.Fatalf("for %q handlers get\n%q, with net/http\n%q", text, got, want)
		}
	})
}
