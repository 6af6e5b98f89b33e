package finder

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// grace is how long after the deadline an entry's answer is waited for: the entry keeps the
// deadline itself, and alone knows what became of the request.
const grace = timekeeper.Second

// errNoAnswer reports an entry that did not begin its answer in time.
var errNoAnswer = eris.New("no answer from the entry")

// body is the body of an answer, and what ends its request.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and releases its request.
func (b body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// patience returns how long to wait for an answer to begin, 0 for as long as it takes.
func (f *Finder) patience(end timekeeper.Millis) time.Duration {
	if end == 0 {
		return 0
	}
	return max(end-f.Clock.Now(), 0).Duration() + grace.Duration()
}

// do sends a request and waits for the head of its answer. The body may take longer.
func do(client *http.Client, q *http.Request, patience time.Duration) (*http.Response, error) {
	if patience == 0 {
		return client.Do(q)
	}
	ctx, cancel := context.WithCancel(q.Context())
	timer := time.AfterFunc(patience, cancel)
	p, err := client.Do(q.WithContext(ctx))
	if !timer.Stop() {
		err = errNoAnswer
	}
	if err != nil {
		cancel()
		if p != nil {
			_ = p.Body.Close()
		}
		return nil, err
	}
	p.Body = body{p.Body, cancel}
	return p, nil
}
