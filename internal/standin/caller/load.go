package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gullvale/gullvale/internal/standin/payload"
	"github.com/gullvale/gullvale/pkg/finder"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// Bounds of the latency histogram in microseconds, and its precision.
	lowestMicros      = 1
	highestMicros     = 3600 * 1000 * 1000
	significantDigits = 3

	postBodyBytes = 256

	// maxRetries is how often a caller retries a request that was refused with a
	// retry time.
	maxRetries = 3
)

type (
	// Stream describes the requests of one kind.
	Stream struct {
		// Class groups the requests in the accounts.
		Class   string
		Service string
		// Rate is the mean number of requests per second.
		Rate float64
		// PostFraction is the fraction of POST requests, which must not run twice.
		PostFraction float64
		// Bytes is the length of a response.
		Bytes int64
		// Deadline is how long callers wait; 0 means the limit of the service.
		Deadline timekeeper.Millis
		// Blocks are the client blocks that callers belong to; each request uses
		// one at random.
		Blocks []string
		// Finder returns the finder for the callers of a block.
		Finder func(block string) *finder.Finder
		Seed   uint64
	}

	// Load sends the requests of streams and keeps the accounts. The zero value
	// is ready to use.
	Load struct {
		// OnResponse is called for every response. Nil means no callback.
		OnResponse func(s *Stream, latency time.Duration, resp finder.Response)

		lock     sync.Mutex
		accounts map[string]*Account
		tokens   map[string]tokenState
		active   sync.WaitGroup
		running  atomic.Int64
	}

	// Account counts the outcomes of the requests of one class.
	Account struct {
		Class    string
		Requests uint64
		Answered uint64
		NotRun   uint64
		Unknown  uint64
		// Cut counts truncated responses; Wrong counts responses with
		// unexpected content.
		Cut   uint64
		Wrong uint64
		// Retries counts attempts after a refusal that named a retry time.
		Retries uint64
		Latency *hdrhistogram.Histogram
		// Reasons counts the requests that were not answered by outcome and
		// reason, and the responses counted in Wrong by error.
		Reasons map[string]uint64
	}

	// tokenState is the outcome that the caller of a token saw.
	tokenState struct {
		post    bool
		outcome finder.Outcome
	}

	// Verdict counts the contradictions between the accounts and the journals.
	Verdict struct {
		// Lost counts requests answered to their callers that no upstream ran.
		Lost int
		// Doubled counts POST requests that ran more than once.
		Doubled int
		// NotRunRan counts POST requests reported as not run that an upstream ran.
		NotRunRan int
		Cut       uint64
		Wrong     uint64
	}
)

// Violated reports whether any guarantee was violated.
func (v Verdict) Violated() bool {
	return v.Lost+v.Doubled+v.NotRunRan > 0 || v.Cut+v.Wrong > 0
}

// NewClient returns an HTTP client that many callers can share. A nil dial
// means the default dialer.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	t := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &http.Client{Transport: t}
}

// Run starts requests of s with exponentially distributed intervals until ctx is
// done. Requests in flight continue; use Wait to wait for them.
func (l *Load) Run(ctx context.Context, s Stream) {
	if s.Rate <= 0 {
		return
	}
	r := rand.New(rand.NewPCG(s.Seed, s.Seed+1))
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(r.ExpFloat64() / s.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		post := r.Float64() < s.PostFraction
		block := s.Blocks[r.IntN(len(s.Blocks))]
		l.active.Add(1)
		l.running.Add(1)
		go l.runOne(&s, fmt.Sprintf("%s-%x-%d", s.Class, s.Seed, n), post, block)
	}
}

// Wait waits until no request is in flight.
func (l *Load) Wait() {
	l.active.Wait()
}

// Running returns the number of requests in flight.
func (l *Load) Running() int64 {
	return l.running.Load()
}

// runOne sends a request, retries it while it is refused with a retry time, and records the
// outcome.
func (l *Load) runOne(s *Stream, token string, post bool, block string) {
	defer l.active.Done()
	defer l.running.Add(-1)
	began := time.Now()
	r := newRequest(s, token, post, block)
	f := s.Finder(block)
	ctx := context.Background()
	retries := 0
	resp, err := f.Send(ctx, r)
	for err == nil && resp.Outcome == finder.NotRun && resp.RetryAfter > 0 && retries < maxRetries {
		retries++
		finder.Wait(ctx, resp)
		resp, err = f.Send(ctx, r)
	}
	if err != nil {
		resp.Outcome = finder.NotRun
	}
	verifyErr := verifyResponse(resp, token, r.Body, s.Bytes)
	latency := time.Since(began)
	l.record(s, token, post, resp, verifyErr, latency, retries)
	if l.OnResponse != nil {
		l.OnResponse(s, latency, resp)
	}
}

func newRequest(s *Stream, token string, post bool, block string) finder.Request {
	r := finder.Request{
		Service:  s.Service,
		Block:    block,
		Method:   http.MethodGet,
		Target:   fmt.Sprintf("/item?%s=%s&%s=%d", payload.ParamToken, token, payload.ParamBytes, s.Bytes),
		Deadline: s.Deadline,
	}
	if post {
		r.Method = http.MethodPost
		r.Body = make([]byte, postBodyBytes)
		copy(r.Body, token)
	}
	return r
}

// errTruncated means that a response ended early.
var errTruncated = errors.New("response truncated")

// verifyResponse reads the body of a response and compares it with the expected one. It returns
// errTruncated for a response that ended early, and nil if there is no response.
func verifyResponse(resp finder.Response, token string, body []byte, length int64) error {
	if resp.Body == nil {
		return nil
	}
	defer resp.Body.Close()
	if resp.Status != http.StatusOK {
		return fmt.Errorf("status %d", resp.Status)
	}
	_, err := payload.Verify(resp.Body, payload.New(token, body, length))
	var netErr net.Error
	if err != nil && (errors.As(err, &netErr) || isTruncated(err)) {
		return errTruncated
	}
	return err
}

func (l *Load) record(s *Stream, token string, post bool, resp finder.Response, verifyErr error, latency time.Duration, retries int) {
	l.lock.Lock()
	defer l.lock.Unlock()
	a := l.account(s.Class)
	a.Requests++
	a.Retries += uint64(retries)
	if l.tokens == nil {
		l.tokens = map[string]tokenState{}
	}
	l.tokens[token] = tokenState{post: post, outcome: resp.Outcome}
	switch resp.Outcome {
	case finder.Answered:
		a.Answered++
		_ = a.Latency.RecordValue(max(latency.Microseconds(), lowestMicros))
	case finder.NotRun:
		a.NotRun++
	default:
		a.Unknown++
	}
	if resp.Outcome != finder.Answered {
		a.Reasons[resp.Outcome.String()+": "+resp.Reason]++
	}
	switch {
	case errors.Is(verifyErr, errTruncated):
		a.Cut++
	case verifyErr != nil:
		a.Wrong++
		a.Reasons["wrong: "+verifyErr.Error()]++
	}
}

func (l *Load) account(class string) *Account {
	if l.accounts == nil {
		l.accounts = map[string]*Account{}
	}
	a := l.accounts[class]
	if a == nil {
		a = &Account{
			Class:   class,
			Latency: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
			Reasons: map[string]uint64{},
		}
		l.accounts[class] = a
	}
	return a
}

// Accounts returns a copy of the accounts.
func (l *Load) Accounts() []Account {
	l.lock.Lock()
	defer l.lock.Unlock()
	var out []Account
	for _, a := range l.accounts {
		b := *a
		b.Latency = hdrhistogram.Import(a.Latency.Export())
		out = append(out, b)
	}
	return out
}

// CheckJournals compares the accounts with the journals of all upstreams.
func (l *Load) CheckJournals(journals []map[string]int) Verdict {
	runs := map[string]int{}
	for _, j := range journals {
		for t, n := range j {
			runs[t] += n
		}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	var v Verdict
	for t, s := range l.tokens {
		n := runs[t]
		if s.outcome == finder.Answered && n == 0 {
			v.Lost++
		}
		if s.post && n > 1 {
			v.Doubled++
		}
		if s.outcome == finder.NotRun && n > 0 && s.post {
			v.NotRunRan++
		}
	}
	for _, a := range l.accounts {
		v.Cut += a.Cut
		v.Wrong += a.Wrong
	}
	return v
}
