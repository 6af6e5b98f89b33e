package finder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/pkg/verifier"
)

// Headers exchanged between callers and entries.
const (
	headerService      = "Gullvale-Service"
	headerBlock        = "Gullvale-Block"
	headerDeadline     = "Gullvale-Deadline-Millis"
	headerOutcome      = "Gullvale-Outcome"
	headerReason       = "Gullvale-Reason"
	headerRetryAfter   = "Gullvale-Retry-After-Millis"
	headerUpstream     = "Gullvale-Upstream"
	headerEntry        = "Gullvale-Entry"
	headerKey          = "Idempotency-Key"
	headerFirstAttempt = "Gullvale-First-Try"
)

const (
	lookupTimeout  = 3 * timekeeper.Second
	maxLookupBytes = 64 << 10
)

// Outcomes of a request. Unknown, the zero value, means that the request may have run.
const (
	Unknown Outcome = iota
	NotRun
	Answered
)

// ErrNoEntry reports that there was no entry to send a lookup to.
var ErrNoEntry = eris.New("no entry reached")

type (
	// Outcome is what is known about whether a request ran.
	Outcome uint8

	// Finder looks up entries and sends requests to them. Seeds must be set; the
	// zero values of the other fields are valid. It is safe for concurrent use.
	Finder struct {
		// Seeds are the addresses of some daemons' listeners for callers, "ip:port".
		Seeds []string
		// HTTP sends requests. Nil means http.DefaultClient. Its CheckRedirect is not
		// used: redirects are returned as responses. If its transport does not support
		// httptrace, the outcome of each request without a response is unknown.
		HTTP  *http.Client
		Clock timekeeper.Clock

		lock         sync.Mutex
		cache        map[lookupKey]*cachedLookup
		dialFailures dialFailures
		// nextSeed rotates the seed to which a lookup is sent first.
		nextSeed atomic.Uint64
		lookups  atomic.Uint64
	}

	// Request is a request of a caller. Body is held in memory, so that the
	// request can be retried.
	Request struct {
		Service string
		// Block is an address in the client block on whose behalf the request is
		// sent; "" means the caller's own block.
		Block  string
		Method string
		// Target is the path and query.
		Target string
		Header http.Header
		Body   []byte
		// Deadline is how long the caller waits; 0 means as long as the service
		// allows.
		Deadline timekeeper.Millis
	}

	// Response is a response, or the reason why there is none. Body must be closed
	// if it is not nil. A read error means that the response is incomplete.
	Response struct {
		Outcome  Outcome
		Status   int
		Header   http.Header
		Body     io.ReadCloser
		Reason   string
		Entry    string
		Upstream string
		// RetryAfter is how long to wait before a retry; 0 means not specified.
		RetryAfter timekeeper.Millis
		Attempts   int
	}

	// Entry is a daemon returned by a lookup.
	Entry struct {
		Address     string
		Incarnation string
	}

	// Lookup is the result of a lookup.
	Lookup struct {
		Service        string
		Site           string
		Entries        []Entry
		LifetimeMillis timekeeper.Millis
		Settings       uint64
		Plan           uint64
	}

	lookupKey struct {
		service string
		block   string
	}

	cachedLookup struct {
		lookup  Lookup
		expires timekeeper.Millis
	}
)

// String returns the outcome as sent in the Gullvale-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	}
	return "unknown"
}

// Lookups returns the number of lookups sent.
func (f *Finder) Lookups() uint64 {
	return f.lookups.Load()
}

// Find returns the entries for a service and block. The result is cached for its
// lifetime.
func (f *Finder) Find(ctx context.Context, service, block string) (Lookup, error) {
	k := lookupKey{service, block}
	now := f.Clock.Now()
	f.lock.Lock()
	cached := f.cache[k]
	f.lock.Unlock()
	if cached != nil && now < cached.expires {
		return cached.lookup, nil
	}
	l, err := f.lookupAny(ctx, k, cached)
	if err != nil {
		return Lookup{}, err
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.cache == nil {
		f.cache = map[lookupKey]*cachedLookup{}
	}
	f.cache[k] = &cachedLookup{lookup: l, expires: now + l.LifetimeMillis}
	return l, nil
}

// lookupAny sends a lookup to the entries of the last result and then to the seeds,
// until one succeeds.
func (f *Finder) lookupAny(ctx context.Context, k lookupKey, last *cachedLookup) (Lookup, error) {
	var addresses []string
	if last != nil {
		for _, e := range last.lookup.Entries {
			addresses = append(addresses, e.Address)
		}
	}
	start := int(f.nextSeed.Add(1))
	for i := range f.Seeds {
		addresses = append(addresses, f.Seeds[(start+i)%len(f.Seeds)])
	}
	err := ErrNoEntry
	for _, a := range f.dialFailures.reachableFirst(addresses, f.Clock.Now()) {
		var l Lookup
		if l, err = f.lookupAt(ctx, a, k); err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Lookup{}, err
}

func (f *Finder) lookupAt(ctx context.Context, address string, k lookupKey) (Lookup, error) {
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
	p, err := verifier.RoundTrip(q, f.client().Do)
	f.dialFailures.record(address, err, f.Clock.Now())
	if err != nil {
		return Lookup{}, err
	}
	defer p.Body.Close()
	body, err := io.ReadAll(io.LimitReader(p.Body, maxLookupBytes))
	if err != nil {
		return Lookup{}, err
	}
	if p.StatusCode != http.StatusOK {
		return Lookup{}, eris.Errorf("lookup of %s at %s: %s", k.service, address, bytes.TrimSpace(body))
	}
	var l Lookup
	if err := json.Unmarshal(body, &l); err != nil {
		return Lookup{}, eris.Wrapf(err, "decode lookup response of %s", address)
	}
	return l, nil
}

// Invalidate removes the cached result for a service and block, so that the next
// request sends a new lookup.
func (f *Finder) Invalidate(service, block string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	delete(f.cache, lookupKey{service, block})
}
