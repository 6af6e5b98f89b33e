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
	// maxTries bounds how often one request is sent.
	maxTries = 4

	// keyBytes is the length of the random part of a key.
	keyBytes = 12
)

var (
	// idempotent lists the methods that may run twice.
	idempotent = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

	// replayHeaders make http.Transport repeat a request of any method that has no body.
	// It does not know them in lower case, which means the same to entries.
	replayHeaders = []string{headerKey, "X-Idempotency-Key"}
)

type (
	// sentKey is an idempotency key, "" for none, and whether it is sent for the
	// first time.
	sentKey struct {
		value string
		first bool
	}

	// sending is a request on its way through its tries.
	sending struct {
		request Request
		// end is when the caller gives up, 0 for never.
		end  timekeeper.Millis
		key  sentKey
		last Response
		// mayHaveRun is that one of the tries may have run.
		mayHaveRun bool
	}
)

// Send sends a request to the best entry, and to others while it did not run.
// The error says only that no entry could be asked; every other end of the
// request is a Response.
func (f *Finder) Send(ctx context.Context, r Request) (Response, error) {
	s := sending{
		request: r,
		key:     sentKey{value: r.Header.Get(headerKey)},
		last:    Response{Outcome: NotRun, Reason: ErrNoEntry.Error()},
	}
	if r.Deadline > 0 {
		s.end = f.Clock.Now() + r.Deadline
	}
	for try := 1; try <= maxTries; try++ {
		l, err := f.Find(ctx, r.Service, r.Block)
		if err != nil && try == 1 {
			return Response{Outcome: NotRun, Reason: err.Error()}, err
		}
		if err != nil || len(l.Entries) == 0 {
			break
		}
		f.try(ctx, &s, f.entry(l.Entries, try), try)
		if !f.again(r, s.last, s.end) {
			break
		}
		f.Forget(r.Service, r.Block)
	}
	return s.last, nil
}

// try sends a request to an entry for the n-th time. Once it may have run, a try that
// did not run says nothing of the ones before: the key stays the same, and so does the
// doubt. With a new key another entry would run it again.
func (f *Finder) try(ctx context.Context, s *sending, e Entry, n int) {
	r := s.request
	if r.needsKey() && (s.key.value == "" || s.last.Outcome == NotRun && r.Header.Get(headerKey) == "") {
		s.key = sentKey{value: newKey(e), first: true}
	}
	s.last = f.sendTo(ctx, e, r, s.key, s.end)
	s.last.Tries = n
	s.key.first = false
	if s.mayHaveRun && s.last.Outcome == NotRun {
		s.last.Outcome = Unknown
	}
	s.mayHaveRun = s.last.Outcome == Unknown
}

// entry chooses the entry for a try: the next one, passing over those that were not
// reached lately unless none was.
func (f *Finder) entry(all []Entry, try int) Entry {
	now := f.Clock.Now()
	for i := range all {
		e := all[(try-1+i)%len(all)]
		if !f.avoided.take(e.Address, now) {
			return e
		}
	}
	return all[(try-1)%len(all)]
}

// again tells whether a request may be sent once more now. An entry that names
// a time to come back is obeyed by whoever called, not here.
func (f *Finder) again(r Request, p Response, end timekeeper.Millis) bool {
	if end > 0 && f.Clock.Now() >= end || p.RetryAfter > 0 {
		return false
	}
	switch p.Outcome {
	case NotRun:
		return p.Status == 0 || p.Status == http.StatusServiceUnavailable
	case Unknown:
		// With a key it is safe to ask again: its home knows, or says that
		// nobody does. Once an entry has said so, that is that.
		return slices.Contains(idempotent, r.Method) || p.Status == 0
	}
	return false
}

// needsKey tells whether a request must not run twice.
func (r Request) needsKey() bool {
	return !slices.Contains(idempotent, r.Method)
}

// newKey makes a key that names the entry as its home.
func newKey(e Entry) string {
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	return e.Incarnation + "." + hex.EncodeToString(b)
}

func (f *Finder) sendTo(ctx context.Context, e Entry, r Request, key sentKey, end timekeeper.Millis) Response {
	client := f.client()
	var p progress
	p.reported.Store(reports(client.Transport))
	q, err := http.NewRequestWithContext(p.watch(ctx), r.Method, "http://"+e.Address+r.Target, bodyOf(r.Body))
	if err != nil {
		return Response{Outcome: NotRun, Reason: err.Error()}
	}
	q.ContentLength = int64(len(r.Body))
	// Without GetBody the transport does not repeat a request that may have
	// run.
	q.GetBody = nil
	for n, v := range r.Header {
		q.Header[n] = v
	}
	q.Header.Set(headerService, r.Service)
	if r.Block != "" {
		q.Header.Set(headerBlock, r.Block)
	}
	if end > 0 {
		q.Header.Set(headerDeadline, strconv.FormatInt(int64(max(end-f.Clock.Now(), 1)), 10))
	}
	if key.value != "" {
		q.Header.Set(headerKey, key.value)
	}
	hideKeys(q.Header)
	if key.first {
		q.Header.Set(headerFirstTry, "1")
	}
	a, err := do(client, q, f.patience(end))
	f.avoided.note(e.Address, err, f.Clock.Now())
	if err != nil {
		return Response{Outcome: p.outcome(), Reason: err.Error()}
	}
	return response(a)
}

// hideKeys puts the names of replayHeaders in lower case.
func hideKeys(h http.Header) {
	for _, n := range replayHeaders {
		if v, ok := h[n]; ok {
			delete(h, n)
			h[strings.ToLower(n)] = v
		}
	}
}

func bodyOf(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(b)
}

func response(p *http.Response) Response {
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
	_, _ = io.Copy(io.Discard, io.LimitReader(p.Body, maxLookup))
	p.Body.Close()
	return r
}

// client returns the client to send with. It follows no redirect: one from an upstream is
// the answer to the request, and is for the caller to follow.
func (f *Finder) client() *http.Client {
	c := *cmp.Or(f.HTTP, http.DefaultClient)
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// Wait sleeps as long as an entry asked for, and reports false when ctx ends
// before.
func Wait(ctx context.Context, p Response) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(p.RetryAfter.Duration()):
		return true
	}
}
