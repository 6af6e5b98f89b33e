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

// maxBufferedBody is up to how many bytes a body is read before a slot is asked for. It
// can then be handed over with the head, and handed over again.
const maxBufferedBody = 16 << 10

var errBodyTooLarge = errors.New("body over the limit of the service")

// setBody reads a short body and prepares to stream a long one.
func (x *exchange) setBody(c *exchanger.Call) bool {
	r := x.request
	most := x.service.MaxBody
	if r.ContentLength > most {
		x.reject(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge,
			fmt.Sprintf("%d bytes, %s of %s is %d", r.ContentLength, resolver.KeyMaxBody, x.service.Name, most))
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
	return x.readShortBody(c, most)
}

// readShortBody reads the first part of a body. If that is all, the body is short.
func (x *exchange) readShortBody(c *exchanger.Call, most int64) bool {
	head, err := io.ReadAll(io.LimitReader(x.request.Body, min(maxBufferedBody, most)+1))
	if err != nil {
		x.reject(http.StatusBadRequest, exchanger.ReasonBody, "the body broke off")
		return false
	}
	if int64(len(head)) > most {
		x.reject(http.StatusRequestEntityTooLarge, exchanger.ReasonBodyTooLarge,
			fmt.Sprintf("%s of %s is %d", resolver.KeyMaxBody, x.service.Name, most))
		return false
	}
	if len(head) <= maxBufferedBody {
		c.Short = head
		c.Length = int64(len(head))
		return true
	}
	c.BodyReady = true
	c.Body = io.MultiReader(bytes.NewReader(head), &limitedBody{source: x.request.Body, remaining: most - int64(len(head))})
	return true
}

// limitedBody fails, unlike io.LimitReader, when there is more.
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
