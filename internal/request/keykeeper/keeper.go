package keykeeper

import (
	"context"
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	shardCount = 64

	// MaxResponseBytes is the maximum length of a response body that is kept. Of a longer one,
	// only the outcome is kept.
	MaxResponseBytes = 64 << 10

	// DefaultRetention is how long a key is remembered after it has ended.
	DefaultRetention = 10 * timekeeper.Minute

	// DefaultLimit is the maximum memory for all keys of a daemon, in bytes.
	DefaultLimit = 32 << 20

	// recordOverhead is the approximate memory of a key without its response, in bytes.
	recordOverhead = 400
)

// The states of a key.
const (
	// Absent means that the key is unknown here.
	Absent State = iota
	// Running means that the key's request is in progress.
	Running
	// Ended means that the key's request has an outcome.
	Ended
)

// The results of Begin.
const (
	// Begun means that the caller of Begin runs the request and must call End.
	Begun BeginResult = iota
	// Duplicate means that the key is known; its record is returned.
	Duplicate
	// Mismatch means that the key was used for another request.
	Mismatch
	// Full means that there is no room for another key.
	Full
)

type (
	// Key is the value of an Idempotency-Key field.
	Key string

	// State is the state of a key.
	State uint8

	// BeginResult is the result of Begin.
	BeginResult uint8

	// Fingerprint is a hash that distinguishes requests with the same key.
	Fingerprint uint64

	// Keeper stores keys. The zero value is ready to use.
	Keeper struct {
		Clock timekeeper.Clock
		// Retention returns how long keys are remembered; nil means
		// DefaultRetention.
		Retention func() timekeeper.Millis
		// Limit is the maximum memory in bytes; 0 means DefaultLimit.
		Limit int64

		shards [shardCount]shard
	}

	shard struct {
		lock    sync.Mutex
		records map[Key]*Record
		bytes   int64
		sweptAt timekeeper.Millis
	}

	// Record holds the state and outcome of a key's request.
	Record struct {
		fingerprint Fingerprint
		done        chan struct{}
		expires     timekeeper.Millis

		// result and response are valid once done is closed.
		result   exchanger.Result
		response *Response
	}

	// Response is a kept response.
	Response struct {
		exchanger.Response
		Body []byte
	}
)

// FingerprintOf returns the Fingerprint of a request.
func FingerprintOf(method, target string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + target + "\n")
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Begin claims a key for a request. Only one claim of a key succeeds, until it ends as not run
// or its retention is over.
func (k *Keeper) Begin(key Key, f Fingerprint) (*Record, BeginResult) {
	s := k.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	now := k.Clock.Now()
	k.sweep(s, now)
	if r := s.records[key]; r != nil && !r.expired(now) {
		if r.fingerprint != f {
			return nil, Mismatch
		}
		return r, Duplicate
	}
	if s.bytes+recordOverhead > k.limit()/shardCount {
		return nil, Full
	}
	if s.records == nil {
		s.records = map[Key]*Record{}
	}
	r := &Record{fingerprint: f, done: make(chan struct{})}
	s.records[key] = r
	s.bytes += r.size(key)
	return r, Begun
}

// End records the outcome of a request whose key Begin claimed. response is nil if it must not
// be kept.
func (k *Keeper) End(key Key, r *Record, result exchanger.Result, response *Response) {
	s := k.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	r.result = result
	s.bytes -= r.size(key)
	if result.Outcome == exchanger.NotRun {
		delete(s.records, key)
	} else {
		if response != nil && s.bytes+int64(len(response.Body)) <= k.limit()/shardCount {
			r.response = response
		}
		r.expires = k.Clock.Now() + k.RetentionPeriod()
		s.bytes += r.size(key)
	}
	close(r.done)
}

// Lookup returns the state of a key, and its outcome once it has ended.
func (k *Keeper) Lookup(key Key) (State, exchanger.Result) {
	s := k.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.records[key]
	switch {
	case r == nil || r.expired(k.Clock.Now()):
		return Absent, exchanger.Result{}
	case r.expires == 0:
		return Running, exchanger.Result{}
	}
	return Ended, r.result
}

// Wait blocks until the key has ended and returns its outcome and the kept response, if any.
// It returns false if ctx is done first.
func (r *Record) Wait(ctx context.Context) (exchanger.Result, *Response, bool) {
	select {
	case <-r.done:
		return r.result, r.response, true
	case <-ctx.Done():
		return exchanger.Result{}, nil, false
	}
}

// expired reports whether a record may be dropped. A running one never expires.
func (r *Record) expired(now timekeeper.Millis) bool {
	return r.expires != 0 && now >= r.expires
}

func (r *Record) size(key Key) int64 {
	n := int64(recordOverhead + len(key))
	if r.response != nil {
		n += int64(len(r.response.Body))
	}
	return n
}

// sweep drops expired records, at most once a second for each shard.
func (k *Keeper) sweep(s *shard, now timekeeper.Millis) {
	if now-s.sweptAt < timekeeper.Second {
		return
	}
	s.sweptAt = now
	for key, r := range s.records {
		if r.expired(now) {
			s.bytes -= r.size(key)
			delete(s.records, key)
		}
	}
}

func (k *Keeper) shard(key Key) *shard {
	return &k.shards[xxhash.Sum64String(string(key))%shardCount]
}

// RetentionPeriod returns how long keys are remembered after they have ended.
func (k *Keeper) RetentionPeriod() timekeeper.Millis {
	if k.Retention != nil {
		return k.Retention()
	}
	return DefaultRetention
}

func (k *Keeper) limit() int64 {
	if k.Limit > 0 {
		return k.Limit
	}
	return DefaultLimit
}

// Recorder copies a response on its way to the caller.
type Recorder struct {
	response Response
	tooLong  bool
}

// Attach makes c copy its response into rec.
func (rec *Recorder) Attach(c *exchanger.Call) {
	start, write := c.Start, c.Write
	c.Start = func(resp exchanger.Response) error {
		rec.response.Response = resp
		rec.response.Header = resp.Header.Clone()
		return start(resp)
	}
	c.Write = func(p []byte) error {
		if len(rec.response.Body)+len(p) > MaxResponseBytes {
			rec.tooLong = true
			rec.response.Body = nil
		}
		if !rec.tooLong {
			rec.response.Body = append(rec.response.Body, p...)
		}
		return write(p)
	}
}

// Response returns the copy of a complete response, or nil if there is none to keep.
func (rec *Recorder) Response(r exchanger.Result) *Response {
	if r.Outcome != exchanger.Answered || !r.Whole || rec.tooLong {
		return nil
	}
	if rec.response.Header == nil {
		rec.response.Header = http.Header{}
	}
	return &rec.response
}
