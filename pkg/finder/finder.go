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
)

// The outcomes. The zero value claims least.
const (
	Unknown Outcome = iota
	NotRun
	Answered
)

// ErrNoEntry reports that no entry could be asked.
var ErrNoEntry = eris.New("no entry reached")

type (
	// Outcome says what became of a request.
	Outcome uint8

	// Finder finds entries and sends requests to them. Seeds must be set; the
	// other fields have useful zero values. It is safe for concurrent use.
	Finder struct {
		// Seeds are the caller addresses of some daemons, "ip:port".
		Seeds []string
		// HTTP sends requests. Nil means http.DefaultClient. Its CheckRedirect is not
		// used: redirects are passed on as answers. A transport that does not support
		// httptrace leaves each request without an answer unknown.
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
