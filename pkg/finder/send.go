package finder

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// maxAttempts limits how often a request is sent.
	maxAttempts = 4

	// keyBytes is the length of the random part of a key in bytes.
	keyBytes = 12
)

var (
	// idempotentMethods lists the methods whose requests may run more than once.
	idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

	// replayHeaders make http.Transport retry a request without a body whatever its method.
	// The transport does not recognise them in lower case, whereas entries do.
	replayHeaders = []string{headerKey, "X-Idempotency-Key"}
)

type (
	// idempotencyKey is an idempotency key, where "" means none. first reports whether
	// it is sent for the first time.
	idempotencyKey struct {
		value string
		first bool
	}

	// pendingRequest is the state of a request across its attempts.
	pendingRequest struct {
		request Request
		// deadline is when the caller stops waiting; 0 means never.
		deadline timekeeper.Millis
		key      idempotencyKey
		last     Response
		// mayHaveRun reports whether one of the attempts may have run.
		mayHaveRun bool
	}
)

// Send sends a request to the first entry, and retries it on others where this is
// safe. It returns an error only if the first lookup fails; any other result is
// described by the Response.
func (f *Finder) Send(ctx context.Context, r Request) (Response, error) {
	s := pendingRequest{
		request: r,
		key:     idempotencyKey{value: r.Header.Get(headerKey)},
		last:    Response{Outcome: NotRun, Reason: ErrNoEntry.Error()},
	}
	if r.Deadline > 0 {
		s.deadline = f.Clock.Now() + r.Deadline
	}
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		l, err := f.Find(ctx, r.Service, r.Block)
		if err != nil && attempt == 1 {
			return Response{Outcome: NotRun, Reason: err.Error()}, err
		}
		if err != nil || len(l.Entries) == 0 {
			break
		}
		f.attempt(ctx, &s, f.chooseEntry(l.Entries, attempt), attempt)
		if !f.shouldRetry(r, s.last, s.deadline) {
			break
		}
		f.Invalidate(r.Service, r.Block)
	}
	return s.last, nil
}

// attempt sends a request to an entry as the n-th attempt. Once an attempt may have run,
// a later one that did not run does not change that: the outcome stays unknown and the
// key stays the same, since with a new key another entry would run the request again.
func (f *Finder) attempt(ctx context.Context, s *pendingRequest, e Entry, n int) {
	r := s.request
	if r.needsKey() && (s.key.value == "" || s.last.Outcome == NotRun && r.Header.Get(headerKey) == "") {
		s.key = idempotencyKey{value: newKey(e), first: true}
	}
	s.last = f.sendTo(ctx, e, r, s.key, s.deadline)
	s.last.Attempts = n
	s.key.first = false
	if s.mayHaveRun && s.last.Outcome == NotRun {
		s.last.Outcome = Unknown
	}
	s.mayHaveRun = s.last.Outcome == Unknown
}

// chooseEntry returns the entry for the n-th attempt: the next one in turn, skipping
// recently unreachable ones unless all of them are.
func (f *Finder) chooseEntry(all []Entry, n int) Entry {
	now := f.Clock.Now()
	for i := range all {
		e := all[(n-1+i)%len(all)]
		if !f.dialFailures.shouldSkip(e.Address, now) {
			return e
		}
	}
	return all[(n-1)%len(all)]
}

// shouldRetry reports whether a request may be retried immediately. If the response
// has a RetryAfter, the retry is left to the caller.
func (f *Finder) shouldRetry(r Request, p Response, deadline timekeeper.Millis) bool {
	if deadline > 0 && f.Clock.Now() >= deadline || p.RetryAfter > 0 {
		return false
	}
	switch p.Outcome {
	case NotRun:
		return p.Status == 0 || p.Status == http.StatusServiceUnavailable
	case Unknown:
		// A retry with the same key is safe: the home of the key returns the
		// recorded outcome or reports it as unknown. Once an entry has reported
		// it as unknown, a further attempt gives no other result.
		return slices.Contains(idempotentMethods, r.Method) || p.Status == 0
	}
	return false
}

// needsKey reports whether a request must not run twice.
func (r Request) needsKey() bool {
	return !slices.Contains(idempotentMethods, r.Method)
}

// newKey returns a new key whose home is e.
func newKey(e Entry) string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	return e.Incarnation + "." + hex.EncodeToString(b)
}

func (f *Finder) sendTo(ctx context.Context, e Entry, r Request, key idempotencyKey, deadline timekeeper.Millis) Response {
	client := f.client()
	var p requestTrace
	p.supported.Store(supportsTrace(client.Transport))
	q, err := http.NewRequestWithContext(p.withTrace(ctx), r.Method, "http://"+e.Address+r.Target, requestBody(r.Body))
	if err != nil {
		return Response{Outcome: NotRun, Reason: err.Error()}
	}
	q.ContentLength = int64(len(r.Body))
	// Without GetBody the transport does not retry a request that may have
	// run.
	q.GetBody = nil
	for n, v := range r.Header {
		q.Header[n] = v
	}
	q.Header.Set(headerService, r.Service)
	if r.Block != "" {
		q.Header.Set(headerBlock, r.Block)
	}
	if deadline > 0 {
		q.Header.Set(headerDeadline, strconv.FormatInt(int64(max(deadline-f.Clock.Now(), 1)), 10))
	}
	if key.value != "" {
		q.Header.Set(headerKey, key.value)
	}
	lowercaseReplayHeaders(q.Header)
	if key.first {
		q.Header.Set(headerFirstAttempt, "1")
	}
	resp, err := doWithTimeout(client, q, f.responseTimeout(deadline))
	f.dialFailures.record(e.Address, err, f.Clock.Now())
	if err != nil {
		return Response{Outcome: p.outcome(), Reason: err.Error()}
	}
	return newResponse(resp)
}

// lowercaseReplayHeaders changes the names of replayHeaders in h to lower case.
func lowercaseReplayHeaders(h http.Header) {
	for _, n := range replayHeaders {
		if v, ok := h[n]; ok {
			delete(h, n)
			h[strings.ToLower(n)] = v
		}
	}
}

func requestBody(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(b)
}

func newResponse(p *http.Response) Response {
	r := Response{
		Status:   p.StatusCode,
		Header:   p.Header,
		Body:     p.Body,
		Reason:   p.Header.Get(headerReason),
		Entry:    p.Header.Get(headerEntry),
		Upstream: p.Header.Get(headerUpstream),
	}
	if n, err := strconv.ParseInt(p.Header.Get(headerRetryAfter), 10, 64); err == nil {
		r.RetryAfter = timekeeper.Millis(n)
	}
	switch p.Header.Get(headerOutcome) {
	case Answered.String():
		r.Outcome = Answered
		return r
	case NotRun.String():
		r.Outcome = NotRun
	}
	r.Body = nil
	_, _ = io.Copy(io.Discard, io.LimitReader(p.Body, maxLookupBytes))
	p.Body.Close()
	return r
}

// client returns an HTTP client that does not follow redirects. A redirect from an upstream
// is the response to the request and is left to the caller.
func (f *Finder) client() *http.Client {
	c := *cmp.Or(f.HTTP, http.DefaultClient)
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// Wait sleeps for the RetryAfter of p. It returns false if ctx is done earlier.
func Wait(ctx context.Context, p Response) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(p.RetryAfter.Duration()):
		return true
	}
}
