package pooler

import (
	"io"
	"net/http"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxDiscardBytes is the longest body that is read and discarded. The bodies
	// of refusals and health checks are shorter, and it is less than the transport
	// reads at once (4 KB), so the body has mostly arrived with the head.
	maxDiscardBytes = 2 << 10

	// discardTimeout bounds the read of such a body, since the caller of a refused
	// request waits for it.
	discardTimeout = 50 * timekeeper.Millis(1)
)

// discard reads and closes a response body that is not needed. The transport reuses a
// connection only if the body was read to its end. If bodies were closed unread, every
// refusal and every probe would take a new connection (TestRefusalsReuseOneConnection,
// TestProbesReuseOneConnection).
func discard(r *http.Response) {
	defer r.Body.Close()
	if r.ContentLength < 0 || r.ContentLength > maxDiscardBytes {
		return
	}
	t := time.AfterFunc(discardTimeout.Duration(), func() { r.Body.Close() })
	defer t.Stop()
	// On an error the connection is lost, and the transport drops it.
	_, _ = io.Copy(io.Discard, r.Body)
}
