package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
)

// maxBufferedBody is how many bytes of a body are read before a slot is requested. A body up
// to this size is handed over together with the head, and can be handed over again.
const maxBufferedBody = 16 << 10

var errBodyTooLarge = errors.New("body over the limit of the service")

// setBody reads a short body and prepares to stream a long one. It reports false if it refused
// the request.
func (x *exchange) setBody(c *exchanger.Call) bool {
	r := x.request
	limit := x.service.MaxBody
	if r.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge,
			fmt.Sprintf("%d bytes, %s of %s is %d", r.ContentLength, resolver.KeyMaxBody, x.service.Name, limit))
		return false
	}
	switch {
	case r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody:
		c.Length = 0
		return true
	case r.ContentLength > maxBufferedBody:
		c.Body, c.BodyReady = r.Body, true
		return true
	}
	return x.readShortBody(c, limit)
}

// readShortBody reads the first part of a body of unknown or short length. If that is all, the
// call carries it in full; otherwise the body is streamed.
func (x *exchange) readShortBody(c *exchanger.Call, limit int64) bool {
	head, err := io.ReadAll(io.LimitReader(x.request.Body, min(maxBufferedBody, limit)+1))
	if err != nil {
		x.reject(http.StatusBadRequest, exchanger.ReasonBodyIncomplete, "the body broke off")
		return false
	}
	if int64(len(head)) > limit {
		x.reject(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge,
			fmt.Sprintf("%s of %s is %d", resolver.KeyMaxBody, x.service.Name, limit))
		return false
	}
	if len(head) <= maxBufferedBody {
		c.ShortBody = head
		c.Length = int64(len(head))
		return true
	}
	c.BodyReady = true
	c.Body = io.MultiReader(bytes.NewReader(head), &limitedBody{source: x.request.Body, remaining: limit - int64(len(head))})
	return true
}

// limitedBody limits a body. Unlike io.LimitReader, it fails if the body exceeds the limit.
type limitedBody struct {
	source    io.Reader
	remaining int64
}

func (l *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > l.remaining+1 {
		p = p[:l.remaining+1]
	}
	n, err := l.source.Read(p)
	if int64(n) > l.remaining {
		return int(l.remaining), errBodyTooLarge
	}
	l.remaining -= int64(n)
	return n, err
}
