package responder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// connTimeout bounds a connection, so that a test ends if the other side never does.
const connTimeout = 10 * time.Second

type (
	// Responder is a stand-in upstream. The exported fields must be set before Start.
	Responder struct {
		// After is how many bytes of a body are read before the response.
		After int
		// Response returns the bytes of the response to a request.
		Response func(*http.Request) string
		// Repeat means that each response of a connection is sent again, right before the next one.
		Repeat bool
		// Closes means that the connection is closed once the body was read.
		Closes bool
		// Bodies receives what was read of each body, once it ended.
		Bodies chan Body
	}

	// Body is what a Responder read of the body of a request.
	Body struct {
		Bytes string
		// Complete means that the framing of the request ended the body.
		Complete bool
	}
)

// Respond returns a response with a body, and with a Content-Length that fits it.
func Respond(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// Start listens until the test ends, and returns the address.
func (r *Responder) Start(t testing.TB) string {
	t.Helper()
	return serve(t, r.runConn)
}

// serve runs a function for each connection until the test ends, and returns the address.
func serve(t testing.TB, runConn func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go runAccept(l, runConn)
	return l.Addr().String()
}

func runAccept(l net.Listener, runConn func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go runConn(c)
	}
}

// runConn serves one request after the other until a body is incomplete.
func (r *Responder) runConn(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(connTimeout))
	in := bufio.NewReader(c)
	repeated := ""
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		response := r.Response(q)
		b := r.serve(c, q, repeated+response)
		r.Bodies <- b
		if r.Repeat {
			repeated = response
		}
		if !b.Complete || r.Closes {
			return
		}
	}
}

func (r *Responder) serve(c net.Conn, q *http.Request, response string) Body {
	var read strings.Builder
	if _, err := io.CopyN(&read, q.Body, int64(r.After)); err != nil {
		return Body{Bytes: read.String()}
	}
	if _, err := io.WriteString(c, response); err != nil {
		return Body{Bytes: read.String()}
	}
	_, err := io.Copy(&read, q.Body)
	return Body{read.String(), err == nil}
}
