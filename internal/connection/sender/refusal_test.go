package sender_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// longBody is more than the buffers of a connection hold, so that it is never sent whole.
const longBody = 16 << 20

// startRefusingUpstream starts an upstream that answers after the head of a request and closes
// the connection with the body unread, which resets it.
func startRefusingUpstream(t *testing.T) *testUpstream {
	return startTestUpstream(t, func(c conn, next func() string) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+echoField+": 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy")
	})
}

// TestResponseIsReadAfterFailedWrite guards against a response that is dropped since the upstream
// closed the connection before it read the whole request.
func TestResponseIsReadAfterFailedWrite(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		t.Run(map[bool]string{false: "buffered", true: "streamed"}[streamed], func(t *testing.T) {
			is := is.New(t)
			s := startRefusingUpstream(t)
			q := request("1")
			q.Method = http.MethodPost
			body := strings.Repeat("x", longBody)
			if streamed {
				q.Stream, q.Length = strings.NewReader(body), longBody
			} else {
				q.Buffered = []byte(body)
			}
			b, err := s.get(q)
			is.NoErr(err)
			is.Equal(b, "busy")
			_, err = s.get(request("1"))
			is.NoErr(err)
			is.Equal(s.pool.Dials(), uint64(2))
		})
	}
}
