package guarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/guarder"
)

// startGuarded serves requests that say whether their head had two lengths.
func startGuarded(t *testing.T) (address string, refused chan guarder.Kind) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused = make(chan guarder.Kind, 10)
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, guarder.TwoLengths(r))
		}),
		ReadHeaderTimeout: 50 * time.Millisecond,
		ConnContext:       guarder.ConnContext,
		ConnState:         guarder.ConnState,
	}
	go func() { _ = s.Serve(guarder.Listener{Listener: l, Refused: func(k guarder.Kind) { refused <- k }}) }()
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), refused
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestSlowHeadIsCounted(t *testing.T) {
	is := is.New(t)
	address, refused := startGuarded(t)
	c := dial(t, address, "GET / HTTP/1.1\r\nHost: x")
	is.Equal(<-refused, guarder.KindSlowHead)
	_, err := io.ReadAll(c)
	is.NoErr(err) // the connection is closed
}

// TestEachHeadIsJudgedByItself sends several requests over one connection. A
// length in the head of one says nothing of the next.
func TestEachHeadIsJudgedByItself(t *testing.T) {
	is := is.New(t)
	address, _ := startGuarded(t)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	c := dial(t, address, "")
	r := bufio.NewReader(c)
	for _, x := range []struct{ text, want string }{
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx", "false"},
		{"POST / HTTP/1.1\r\nHost: x\r\n" + chunked, "false"},
		{"POST / HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 9\r\n" + chunked, "true"},
		{"POST / HTTP/1.1\r\nHost: x\r\n" + chunked, "false"},
	} {
		_, err := io.WriteString(c, x.text)
		is.NoErr(err)
		p, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		b, err := io.ReadAll(p.Body)
		is.NoErr(err)
		is.Equal(string(b), x.want)
	}
	// Read together with the request before, a head cannot be judged.
	c = dial(t, address, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nxPOST / HTTP/1.1\r\nHost: x\r\n"+chunked)
	r = bufio.NewReader(c)
	for _, want := range []string{"false", "true"} {
		p, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		b, err := io.ReadAll(p.Body)
		is.NoErr(err)
		is.Equal(string(b), want)
	}
}
