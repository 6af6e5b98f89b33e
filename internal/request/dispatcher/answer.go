package dispatcher

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/forwarder"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// heldBytes is how much of an answer is held back until it is whole, so that an
// answer that breaks off can be asked for again. Longer ones are passed on while
// they arrive.
const heldBytes = 128 << 10

// held are buffers for answers. A pointer to an array goes into the pool, as a
// slice would be allocated anew each time.
var held = sync.Pool{New: func() any { return new([heldBytes]byte) }}

// answer passes an upstream's answer on, and reports false if it is none that
// the caller should get yet.
func (x *exchange) answer(u *cataloger.Upstream, t *tracker.Upstream, a *sender.Answer) bool {
	if a.Status == http.StatusMisdirectedRequest {
		x.ended(t)
		x.decision.Reason = "other incarnation"
		drain(a)
		return false
	}
	if a.Header.Get(x.d.Fields.NotRun) != "" {
		t.Refused()
		x.decision.Reason = "refused by upstream"
		x.refusedBy = x.tried[len(x.tried)-1]
		drain(a)
		return false
	}
	success := a.Status < http.StatusMultipleChoices
	if proof := x.d.Fields.Proof; success && proof != "" && a.Header.Get(proof) == "" {
		return x.broken(t, "answer of unknown origin")
	}
	failed := a.Status >= http.StatusInternalServerError
	if failed && x.repeatFailure() {
		t.Reached(true)
		x.mayHaveRun()
		x.decision.Reason = "upstream failed"
		drain(a)
		return false
	}
	return x.pass(u, t, a, failed)
}

// ended notes that the upstream that was tried last has ended. While the store is away that
// is news to the other VMs, each of which would find out by a request of its own.
func (x *exchange) ended(t *tracker.Upstream) {
	x.misdirected++
	if t.Misdirected() && x.d.Ended != nil {
		x.d.Ended(x.tried[len(x.tried)-1])
	}
}

// repeatFailure tells whether a failure is worth another upstream. The answer of
// the last try is passed on.
func (x *exchange) repeatFailure() bool {
	return x.route.Kind.Repeatable() && len(x.tried) < x.route.Attempts && x.until-x.d.Clock.Now() > leastTime && x.d.Retries.Left(x.part)
}

// broken handles an answer that must not be passed on.
func (x *exchange) broken(t *tracker.Upstream, reason string) bool {
	x.mayHaveRun()
	if x.r.Context().Err() != nil {
		return false
	}
	t.Lost()
	x.decision.Reason = reason
	x.d.Meter.Count("upstream_lost", x.labels(reason))
	return false
}

// pass hands an answer to the caller, whole or visibly broken.
func (x *exchange) pass(u *cataloger.Upstream, t *tracker.Upstream, a *sender.Answer, failed bool) bool {
	b := held.Get().(*[heldBytes]byte)
	defer held.Put(b)
	n, err := io.ReadFull(a, b[:])
	whole := err == io.EOF || err == io.ErrUnexpectedEOF && a.Whole()
	if err != nil && !whole {
		x.check(u, t, err, x.repeatable())
		return x.broken(t, "answer broke off")
	}
	t.Reached(failed)
	x.head(a)
	if whole {
		x.innocent(a)
		x.w.Header().Set("Content-Length", strconv.Itoa(n))
		x.w.WriteHeader(a.Status)
		_, err = x.w.Write(b[:n])
		x.passed(a.Status, err)
		return true
	}
	x.passLong(u, t, a, b[:], n)
	return true
}

// passLong passes on an answer that is longer than what is held.
func (x *exchange) passLong(u *cataloger.Upstream, t *tracker.Upstream, a *sender.Answer, b []byte, n int) {
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(a.Status)
	for {
		if _, err := x.w.Write(b[:n]); err != nil {
			x.passed(a.Status, err)
			return
		}
		var err error
		n, err = a.Read(b)
		if err == io.EOF {
			x.innocent(a)
			_, err = x.w.Write(b[:n])
			x.passed(a.Status, err)
			return
		}
		if err != nil {
			x.check(u, t, err, false)
			x.finish(exchanger.Answered, "answer broke off", a.Status)
			// Closing the connection is how HTTP/1.1 says that an answer
			// is broken.
			panic(http.ErrAbortHandler)
		}
	}
}

func (x *exchange) passed(status int, err error) {
	if err != nil {
		x.finish(exchanger.Answered, "caller left", status)
		return
	}
	x.finish(exchanger.Answered, "", status)
}

// head copies the fields of an answer that concern more than one connection.
func (x *exchange) head(a *sender.Answer) {
	h := x.w.Header()
	forwarder.RemoveHop(a.Header)
	for n, v := range a.Header {
		h[n] = v
	}
	x.leave()
}

// leave tells the caller to open its next connection elsewhere if this process
// is to end.
func (x *exchange) leave() {
	if x.d.leavingAt() > 0 {
		x.w.Header().Set("Connection", "close")
	}
}

// refuse answers that the request did not run, unless an earlier sending may have.
// After is when to come back, 0 for at once.
func (x *exchange) refuse(status int, reason string, after timekeeper.Millis) {
	if x.unknown {
		x.fail(http.StatusBadGateway, reason)
		return
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		x.w.Header().Set("Retry-After", seconds(after))
	}
	x.reply(status)
	x.finish(exchanger.NotRun, reason, status)
}

// deny refuses what the configuration in force doesn't allow. While a change is known of
// that has not been read, it may be allowed: the caller comes back, or goes elsewhere, and
// isn't told for good that it asks for what doesn't exist.
func (x *exchange) deny(status int, reason string) {
	if x.d.behind() > 0 {
		x.refuse(http.StatusServiceUnavailable, reason+" yet", unknownRetryAfter)
		return
	}
	x.refuse(status, reason, 0)
}

// fail answers that the request may have run.
func (x *exchange) fail(status int, reason string) {
	x.reply(status)
	x.finish(exchanger.Unknown, reason, status)
}

func (x *exchange) reply(status int) {
	x.w.Header().Set("Content-Length", "0")
	x.leave()
	x.w.WriteHeader(status)
}

func (x *exchange) finish(o exchanger.Outcome, reason string, status int) {
	x.decision.Outcome, x.decision.Reason, x.decision.Status = o.String(), reason, status
}

// upstreamHeader returns the fields that go on to upstreams.
func (x *exchange) upstreamHeader() http.Header {
	h := x.r.Header.Clone()
	forwarder.RemoveHop(h)
	f := x.d.Fields
	for _, n := range []string{f.RequestID, f.Key} {
		if v, ok := x.r.Header[http.CanonicalHeaderKey(n)]; ok {
			h[http.CanonicalHeaderKey(n)] = v
		}
	}
	for _, n := range []string{f.NotRun, f.Proof, f.Load, f.Expected, f.Deadline, f.Credential, f.Organisation} {
		h.Del(n)
	}
	return h
}

// drain reads the rest of a short answer so that its connection can be kept.
func drain(a *sender.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(a, framer.ChunkBytes))
}

func seconds(m timekeeper.Millis) string {
	return strconv.FormatFloat(float64(m)/float64(timekeeper.Second), 'f', -1, 64)
}
