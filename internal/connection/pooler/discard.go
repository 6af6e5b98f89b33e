package pooler

import (
	"io"
	"net/http"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxDiscard is the longest body, in bytes, that is read although nobody wants
	// it. Explanations of refusals and health are shorter, and it is less than the
	// transport reads at once (4 KB), so mostly it is there with the head.
	maxDiscard = 2 << 10

	// discardTimeout is how long such a body may take: the caller of a refused
	// request waits for it.
	discardTimeout = 50 * timekeeper.Millis(1)
)

// discard ends an answer whose body nobody wants. The transport keeps a connection
// only if the body was read to its end: closed unread, each refusal and each probe
// with a body cost the upstream another connection (10 dials for 10 refusals and 5
// for 5 probes, with it 1 each: TestRefusalKeepsItsConnection,
// TestProbeKeepsItsConnection).
func discard(r *http.Response) {
	defer r.Body.Close()
	if r.ContentLength < 0 || r.ContentLength > maxDiscard {
		return
	}
	t := time.AfterFunc(discardTimeout.Duration(), func() { r.Body.Close() })
	defer t.Stop()
	// An error means that the connection is lost, which the transport sees too.
	_, _ = io.Copy(io.Discard, r.Body)
}
