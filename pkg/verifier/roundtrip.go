package verifier

import (
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

// interimChecker checks the interim responses to one request.
type interimChecker struct {
	bytes int
}

// RoundTrip sends a request by a function that uses a transport of net/http, and checks the response
// and the interim ones before it. If one is invalid, it returns an error that wraps ErrInvalid, and the
// connection is not used again.
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
	if err := checkFinal(p); err != nil {
		_ = p.Body.Close()
		// The transport keeps the connection if the response has no body.
		if used != nil {
			_ = used.Close()
		}
		return nil, err
	}
	return p, nil
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

// checkFinal checks the head of a response that the transport takes for a final one.
func checkFinal(p *http.Response) error {
	if p.StatusCode == http.StatusSwitchingProtocols {
		return eris.Wrap(ErrInvalid, "unsolicited protocol switch")
	}
	return CheckHead(p.StatusCode, p.Header)
}
