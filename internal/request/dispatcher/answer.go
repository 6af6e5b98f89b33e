package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/forwarder"
	"github.com/gullvale/gullvale/internal/request/relayer"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// responseBufferBytes is how much of a response is buffered until it is complete, so that the
// request can be retried if the response breaks off. Longer responses are streamed to the
// caller.
const responseBufferBytes = 128 << 10

// responseBuffers pools buffers for responses. It holds pointers to arrays, since putting a
// slice into the pool allocates.
var responseBuffers = sync.Pool{New: func() any { return new([responseBufferBytes]byte) }}

// handleResponse forwards an upstream's response to the caller. It reports false if the
// response is not forwarded and the request may be retried.
func (x *exchange) handleResponse(u *cataloger.Upstream, t *tracker.Upstream, resp *sender.Response) bool {
	if resp.Status == http.StatusMisdirectedRequest {
		x.recordTerminated(t)
		x.decision.Reason = "other incarnation"
		drainResponse(resp)
		return false
	}
	if resp.Header.Get(x.d.Fields.NotRun) != "" {
		x.path(t).RecordRefusal()
		x.decision.Reason = "refused by upstream"
		x.refusedBy = x.attempted[len(x.attempted)-1]
		drainResponse(resp)
		return false
	}
	success := resp.Status < http.StatusMultipleChoices
	if success && !x.proven(resp) {
		return x.discardResponse(t, "answer of unknown origin")
	}
	failed := resp.Status >= http.StatusInternalServerError
	if failed && x.retriesFailure() {
		x.path(t).RecordResponse(true)
		x.markMayHaveRun()
		x.decision.Reason = "upstream failed"
		drainResponse(resp)
		return false
	}
	return x.forwardResponse(u, t, resp, failed)
}

// proven reports whether a response has the upstream's proof that it is one, if upstreams give any.
// Bytes that are no response may come without end.
func (x *exchange) proven(resp *sender.Response) bool {
	proof := x.d.Fields.Proof
	return proof == "" || resp.Header.Get(proof) != ""
}

// recordTerminated records that the upstream of the last attempt has terminated. While the
// store is unavailable, other VMs would otherwise learn of it only from requests of their own.
func (x *exchange) recordTerminated(t *tracker.Upstream) {
	x.misdirected++
	if t.MarkReplaced() && x.d.OnTerminated != nil {
		x.d.OnTerminated(x.attempted[len(x.attempted)-1])
	}
}

// retriesFailure reports whether a failed request should be retried at another upstream. The
// response to the last allowed attempt is forwarded.
func (x *exchange) retriesFailure() bool {
	return x.route.Kind.Retryable() && len(x.attempted) < x.route.Attempts && x.expiresAt-x.d.Clock.Now() > minAttemptTime && x.d.Retries.Available(x.service)
}

// discardResponse handles a response that must not be forwarded: the request may have run, and
// the response counts as lost unless the caller has left. It always returns false.
func (x *exchange) discardResponse(t *tracker.Upstream, reason string) bool {
	x.markMayHaveRun()
	if x.r.Context().Err() != nil {
		return false
	}
	x.path(t).RecordLoss()
	x.decision.Reason = reason
	x.d.Meter.Count("upstream_lost", x.labels(reason))
	return false
}

// forwardResponse forwards a response to the caller: complete, or visibly broken off.
func (x *exchange) forwardResponse(u *cataloger.Upstream, t *tracker.Upstream, resp *sender.Response, failed bool) bool {
	b := responseBuffers.Get().(*[responseBufferBytes]byte)
	defer responseBuffers.Put(b)
	n, err := io.ReadFull(resp, b[:])
	whole := err == io.EOF || err == io.ErrUnexpectedEOF && resp.Complete()
	if err != nil && !whole {
		x.recordCause(err)
		x.checkLoss(u, t, err, x.retryable())
		return x.discardResponse(t, "answer broke off")
	}
	if !whole && !x.proven(resp) {
		return x.discardResponse(t, "answer of unknown origin")
	}
	x.path(t).RecordResponse(failed)
	if success := resp.Status < http.StatusMultipleChoices; success {
		x.recordRun()
	}
	x.copyHeader(resp)
	if whole {
		x.clearSuspect(resp)
		x.w.Header().Set("Content-Length", strconv.Itoa(n))
		x.w.WriteHeader(resp.Status)
		_, err = x.w.Write(b[:n])
		x.finishAnswered(resp.Status, err)
		return true
	}
	x.streamResponse(u, t, resp, b[:], n)
	return true
}

// streamResponse forwards a response that is longer than the buffer.
func (x *exchange) streamResponse(u *cataloger.Upstream, t *tracker.Upstream, resp *sender.Response, b []byte, n int) {
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	for {
		if _, err := x.w.Write(b[:n]); err != nil {
			x.finishAnswered(resp.Status, err)
			return
		}
		var err error
		n, err = resp.Read(b)
		if err == io.EOF {
			x.clearSuspect(resp)
			_, err = x.w.Write(b[:n])
			x.finishAnswered(resp.Status, err)
			return
		}
		if err != nil {
			x.recordCause(err)
			x.checkLoss(u, t, err, false)
			x.finish(exchanger.Answered, "answer broke off", resp.Status)
			// HTTP/1.1 signals an incomplete response by closing the connection.
			panic(http.ErrAbortHandler)
		}
	}
}

// recordCause records why the response to the last attempt broke off: why its context ended, or else
// the error of the read.
func (x *exchange) recordCause(err error) {
	if cause := context.Cause(x.attemptContext); cause != nil {
		err = cause
	}
	x.decision.Cause = err.Error()
}

func (x *exchange) finishAnswered(status int, err error) {
	if err != nil {
		x.finish(exchanger.Answered, "caller left", status)
		return
	}
	x.finish(exchanger.Answered, "", status)
}

// copyHeader copies the end-to-end header fields of a response.
func (x *exchange) copyHeader(resp *sender.Response) {
	h := x.w.Header()
	forwarder.RemoveHop(resp.Header)
	for n, v := range resp.Header {
		h[n] = v
	}
	if resp.Status == http.StatusServiceUnavailable && h.Get("Retry-After") != "" {
		// The upstream's pause is for this daemon. Others may take the caller's next attempt.
		h.Set("Retry-After", formatSeconds(x.retryAfter()))
	}
	x.setCloseIfStopping()
}

// setCloseIfStopping asks the caller to close the connection if this process is stopping, so
// that its next request can go to another entry.
func (x *exchange) setCloseIfStopping() {
	if x.d.stopsAt() > 0 {
		x.w.Header().Set("Connection", "close")
	}
}

// refuseNotRun responds that the request did not run, or that it may have run if an earlier
// attempt may have. after is the Retry-After time; 0 allows an immediate retry.
func (x *exchange) refuseNotRun(status int, reason string, after timekeeper.Millis) {
	if x.mayHaveRun {
		x.failUnknown(http.StatusBadGateway, reason)
		return
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		x.w.Header().Set("Retry-After", formatSeconds(after))
	}
	x.writeStatus(status)
	x.finish(exchanger.NotRun, reason, status)
}

// deny refuses what the configuration in force does not allow. While a change is known but not
// read, the new configuration may allow it, so the response is a retryable refusal instead of
// a permanent error.
func (x *exchange) deny(status int, reason string) {
	if x.d.configLag() > 0 {
		x.refuseNotRun(http.StatusServiceUnavailable, reason+" yet", unknownRetryAfter)
		return
	}
	x.refuseNotRun(status, reason, 0)
}

// failUnknown responds that the request may have run.
func (x *exchange) failUnknown(status int, reason string) {
	x.writeStatus(status)
	x.finish(exchanger.Unknown, reason, status)
}

func (x *exchange) writeStatus(status int) {
	x.w.Header().Set("Content-Length", "0")
	x.setCloseIfStopping()
	x.w.WriteHeader(status)
}

func (x *exchange) finish(o exchanger.Outcome, reason string, status int) {
	x.decision.Outcome, x.decision.Reason, x.decision.Status = o.String(), reason, status
}

// upstreamHeader returns the header fields to send to upstreams.
func (x *exchange) upstreamHeader() http.Header {
	h := x.r.Header.Clone()
	forwarder.RemoveHop(h)
	f := x.d.Fields
	for _, n := range []string{f.RequestID, f.Key} {
		if v, ok := x.r.Header[http.CanonicalHeaderKey(n)]; ok {
			h[http.CanonicalHeaderKey(n)] = v
		}
	}
	for _, n := range []string{f.NotRun, f.Proof, f.Load, f.Leaving, f.Expected, f.Deadline, f.Credential, f.Organisation} {
		h.Del(n)
	}
	relayer.RemoveFields(h)
	return h
}

// drainResponse reads the rest of a short response so that its connection can be reused.
func drainResponse(resp *sender.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, framer.ChunkBytes))
}

func formatSeconds(m timekeeper.Millis) string {
	return strconv.FormatFloat(float64(m)/float64(timekeeper.Second), 'f', -1, 64)
}
