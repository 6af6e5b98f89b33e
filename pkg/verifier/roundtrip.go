package verifier

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/rotisserie/eris"
)

const (
	// maxInterimBytes bounds the interim responses to a request. The transport does not bound those
	// that a trace examines.
	maxInterimBytes = 64 << 10

	// statusLineBytes and fieldBytes are about what a head has beside the names and values of fields.
	statusLineBytes = 16
	fieldBytes      = 4
)

type (
	// interimChecker checks the interim responses to one request.
	interimChecker struct {
		bytes int
	}

	// trailedBody is a body in chunks, which may have a trailer.
	trailedBody struct {
		io.ReadCloser
		response *http.Response
	}
)

// RoundTrip sends a request by a function that uses a transport of net/http, and checks the response
// and the interim ones before it. If one is invalid, it returns an error that wraps ErrInvalid, and the
// connection is not used again. An invalid trailer is an error of the last read of the body.
func RoundTrip(q *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	var used net.Conn
	var interim interimChecker
	trace := &httptrace.ClientTrace{
		GotConn:        func(i httptrace.GotConnInfo) { used = i.Conn },
		Got1xxResponse: interim.check,
	}
	p, err := send(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, err
	}
	// The transport takes 101 for a final response.
	if err := CheckFinal(p.StatusCode, p.Header); err != nil {
		_ = p.Body.Close()
		// The transport keeps the connection if the response has no body.
		if used != nil {
			_ = used.Close()
		}
		return nil, err
	}
	if len(p.TransferEncoding) > 0 {
		p.Body = &trailedBody{ReadCloser: p.Body, response: p}
	}
	return p, nil
}

// Read reads the body. It fails at the end if the trailer is invalid.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := CheckFields(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, io.EOF
}

func (c *interimChecker) check(status int, h textproto.MIMEHeader) error {
	c.bytes += statusLineBytes
	for name, values := range h {
		for _, v := range values {
			c.bytes += len(name) + len(v) + fieldBytes
		}
	}
	if c.bytes > maxInterimBytes {
		return eris.Wrapf(ErrInvalid, "interim responses exceed %d bytes", maxInterimBytes)
	}
	return CheckHead(status, http.Header(h))
}
