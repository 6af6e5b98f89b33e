package finder

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The headers between callers and entries.
const (
	headerService    = "Gullvale-Service"
	headerBlock      = "Gullvale-Block"
	headerDeadline   = "Gullvale-Deadline-Millis"
	headerOutcome    = "Gullvale-Outcome"
	headerReason     = "Gullvale-Reason"
	headerRetryAfter = "Gullvale-Retry-After-Millis"
	headerUpstream   = "Gullvale-Upstream"
	headerEntry      = "Gullvale-Entry"
	headerKey        = "Idempotency-Key"
	headerFirstTry   = "Gullvale-First-Try"
)

const (
	lookupTimeout = 3 * timekeeper.Second
	maxLookup     = 64 << 10

	// maxTries bounds how often one request is sent.
	maxTries = 4

	// keyBytes is the length of the random part of a key.
	keyBytes = 12
)

// The outcomes. The zero value claims least.
const (
	Unknown Outcome = iota
	NotRun
	Answered
)

// ErrNoEntry reports that no entry could be asked.
var ErrNoEntry = eris.New("no entry reached")

// idempotent lists the methods that may run twice.
var idempotent = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

type (
	// Outcome says what became of a request.
	Outcome uint8

	// Finder finds entries and sends requests to them. Seeds must be set; the
	// other fields have useful zero values. It is safe for concurrent use.
	Finder struct {
		// Seeds are the caller addresses of some daemons, "ip:port".
		Seeds []string
		// HTTP sends requests. Nil means http.DefaultClient.
		HTTP  *http.Client
		Clock timekeeper.Clock

		lock    sync.Mutex
		answers map[key]*kept
		avoided avoided
		next    atomic.Uint64
		lookups atomic.Uint64
	}

	// Request is what a caller wants. Body is kept whole, so that a request
	// that did not run can be sent again.
	Request struct {
		Service string
		// Block is an address of the client block for which the caller asks,
		// "" for its own.
		Block  string
		Method string
		// Target is the path and query.
		Target string
		Header http.Header
		Body   []byte
		// Deadline is how long the caller will wait, 0 for as long as the
		// service allows.
		Deadline timekeeper.Millis
	}

	// Response is an answer, or why there is none. Body must be closed when it
	// is not nil. An error while it is read means that the answer is broken.
	Response struct {
		Outcome  Outcome
		Status   int
		Header   http.Header
		Body     io.ReadCloser
		Reason   string
		Entry    string
		Upstream string
		// RetryAfter is when to come back after NotRun.
		RetryAfter timekeeper.Millis
		Tries      int
	}

	// Entry is one daemon named by a look-up.
	Entry struct {
		Address     string
		Incarnation string
	}

	// Lookup is the answer to a look-up.
	Lookup struct {
		Service        string
		Site           string
		Entries        []Entry
		LifetimeMillis timekeeper.Millis
		Settings       uint64
		Plan           uint64
	}

	key struct {
		service string
		block   string
	}

	// sentKey is an idempotency key, "" for none, and whether it is sent for the
	// first time.
	sentKey struct {
		value string
		first bool
	}

	kept struct {
		lookup Lookup
		until  timekeeper.Millis
	}
)

// String names the outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	}
	return "unknown"
}

// Lookups counts the look-ups that were sent.
func (f *Finder) Lookups() uint64 {
	return f.lookups.Load()
}

// Find returns the entries for a service and block, from memory while the last
// answer holds.
func (f *Finder) Find(ctx context.Context, service, block string) (Lookup, error) {
	k := key{service, block}
	now := f.Clock.Now()
	f.lock.Lock()
	a := f.answers[k]
	f.lock.Unlock()
	if a != nil && now < a.until {
		return a.lookup, nil
	}
	l, err := f.ask(ctx, k, a)
	if err != nil {
		return Lookup{}, err
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.answers == nil {
		f.answers = map[key]*kept{}
	}
	f.answers[k] = &kept{lookup: l, until: now + l.LifetimeMillis}
	return l, nil
}

// ask asks the entries of the last answer first, then the seeds.
func (f *Finder) ask(ctx context.Context, k key, last *kept) (Lookup, error) {
	var addresses []string
	if last != nil {
		for _, e := range last.lookup.Entries {
			addresses = append(addresses, e.Address)
		}
	}
	start := int(f.next.Add(1))
	for i := range f.Seeds {
		addresses = append(addresses, f.Seeds[(start+i)%len(f.Seeds)])
	}
	err := ErrNoEntry
	for _, a := range f.avoided.order(addresses, f.Clock.Now()) {
		var l Lookup
		if l, err = f.askOne(ctx, a, k); err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Lookup{}, err
}

func (f *Finder) askOne(ctx context.Context, address string, k key) (Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout.Duration())
	defer cancel()
	f.lookups.Add(1)
	v := url.Values{"Service": {k.service}}
	if k.block != "" {
		v.Set("Block", k.block)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/Lookup?"+v.Encode(), http.NoBody)
	if err != nil {
		return Lookup{}, err
	}
	p, err := f.client().Do(q)
	f.avoided.note(address, err, f.Clock.Now())
	if err != nil {
		return Lookup{}, err
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(p.Body, maxLookup))
	if err != nil {
		return Lookup{}, err
	}
	if p.StatusCode != http.StatusOK {
		return Lookup{}, eris.Errorf("look-up of %s at %s: %s", k.service, address, bytes.TrimSpace(body))
	}
	var l Lookup
	if err := json.Unmarshal(body, &l); err != nil {
		return Lookup{}, eris.Wrapf(err, "look-up at %s", address)
	}
	return l, nil
}

// Forget drops the answer for a service and block, so that the next request
// asks anew.
func (f *Finder) Forget(service, block string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.answers, key{service, block})
}

// Send sends a request to the best entry, and to others while it did not run.
// The error says only that no entry could be asked; every other end of the
// request is a Response.
func (f *Finder) Send(ctx context.Context, r Request) (Response, error) {
	end := timekeeper.Millis(0)
	if r.Deadline > 0 {
		end = f.Clock.Now() + r.Deadline
	}
	last := Response{Outcome: NotRun, Reason: ErrNoEntry.Error()}
	key := sentKey{value: r.Header.Get(headerKey)}
	// unsettled is that an earlier try may have run. A later one that did not
	// run says nothing of it: the key stays the same, and so does the doubt.
	unsettled := false
	for try := 1; try <= maxTries; try++ {
		l, err := f.Find(ctx, r.Service, r.Block)
		if err != nil {
			if try == 1 {
				return Response{Outcome: NotRun, Reason: err.Error()}, err
			}
			return last, nil
		}
		if len(l.Entries) == 0 {
			break
		}
		e := f.entry(l.Entries, try)
		if r.needsKey() && (key.value == "" || last.Outcome == NotRun && r.Header.Get(headerKey) == "") {
			key = sentKey{value: newKey(e), first: true}
		}
		last = f.sendTo(ctx, e, r, key, end)
		key.first = false
		last.Tries = try
		if unsettled && last.Outcome == NotRun {
			last.Outcome = Unknown
		}
		unsettled = last.Outcome == Unknown
		if !f.again(r, last, end) {
			break
		}
		f.Forget(r.Service, r.Block)
	}
	return last, nil
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
	if end > 0 && f.Clock.Now() >= end {
		return false
	}
	switch p.Outcome {
	case NotRun:
		return p.RetryAfter == 0 && (p.Status == 0 || p.Status == http.StatusServiceUnavailable)
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
	var sent atomic.Bool
	t := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, t), r.Method, "http://"+e.Address+r.Target, bodyOf(r.Body))
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
		// In lower case the transport does not take it as leave to repeat the
		// request by itself.
		delete(q.Header, headerKey)
		q.Header[strings.ToLower(headerKey)] = []string{key.value}
	}
	if key.first {
		q.Header.Set(headerFirstTry, "1")
	}
	p, err := f.client().Do(q)
	f.avoided.note(e.Address, err, f.Clock.Now())
	if err != nil {
		return lost(err, sent.Load())
	}
	return response(p)
}

func bodyOf(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(b)
}

// lost is the outcome of a request without an answer. A request whose head was
// never written did not run.
func lost(err error, sent bool) Response {
	if !sent || isDial(err) {
		return Response{Outcome: NotRun, Reason: err.Error()}
	}
	return Response{Outcome: Unknown, Reason: err.Error()}
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

func (f *Finder) client() *http.Client {
	if f.HTTP != nil {
		return f.HTTP
	}
	return http.DefaultClient
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
