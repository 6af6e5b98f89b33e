package finder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/pkg/verifier"
)

// responseGrace is how long to wait for the response of an entry after the deadline. The
// entry enforces the deadline itself, and only the entry knows the outcome of the request.
const responseGrace = timekeeper.Second

// errNoResponse reports that an entry did not begin its response in time.
var errNoResponse = eris.New("no response from the entry")

// responseBody cancels the context of its request when it is closed.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and cancels the context of the request.
func (b responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// responseTimeout returns how long to wait for a response to begin; 0 means no limit.
func (f *Finder) responseTimeout(deadline timekeeper.Millis) time.Duration {
	if deadline == 0 {
		return 0
	}
	return max(deadline-f.Clock.Now(), 0).Duration() + responseGrace.Duration()
}

// doWithTimeout sends a request and waits up to timeout for the response headers; 0 means no
// limit. The timeout does not apply to the response body.
func doWithTimeout(client *http.Client, q *http.Request, timeout time.Duration) (*http.Response, error) {
	if timeout == 0 {
		return verifier.RoundTrip(q, client.Do)
	}
	ctx, cancel := context.WithCancel(q.Context())
	timer := time.AfterFunc(timeout, cancel)
	p, err := verifier.RoundTrip(q.WithContext(ctx), client.Do)
	if !timer.Stop() {
		err = errNoResponse
	}
	if err != nil {
		cancel()
		if p != nil {
			_ = p.Body.Close()
		}
		return nil, err
	}
	p.Body = responseBody{p.Body, cancel}
	return p, nil
}
