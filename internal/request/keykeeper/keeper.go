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
	shards = 64

	// MaxAnswerBytes is the longest answer that is kept. Of a longer one only
	// the outcome is.
	MaxAnswerBytes = 64 << 10

	// DefaultRetention is how long a key is remembered after it ended.
	DefaultRetention = 10 * timekeeper.Minute

	// DefaultLimit bounds the memory of all keys of a daemon, in bytes.
	DefaultLimit = 32 << 20

	// recordBytes is what a key takes besides its answer, in bytes.
	recordBytes = 400
)

// The states of a key.
const (
	// Absent is a key that is not known here.
	Absent State = iota
	// Running is a key whose request is under way.
	Running
	// Ended is a key whose request has an outcome.
	Ended
)

// What became of an attempt to begin a key.
const (
	// Begun means that the caller of Begin runs the request and must End it.
	Begun Verdict = iota
	// Repeated means that the key is known: see its record.
	Repeated
	// Mismatch means that the key was used for another request.
	Mismatch
	// Full means that there is no room for another key.
	Full
)

type (
	// Key is the value of an Idempotency-Key field.
	Key string

	// State is where a key stands.
	State uint8

	// Verdict is the answer to Begin.
	Verdict uint8

	// Print tells requests apart that carry the same key.
	Print uint64

	// Keeper remembers keys. The zero value is ready.
	Keeper struct {
		Clock timekeeper.Clock
		// Retention returns how long keys are remembered; nil means
		// DefaultRetention.
		Retention func() timekeeper.Millis
		// Limit bounds the memory in bytes; 0 means DefaultLimit.
		Limit int64

		parts [shards]shard
	}

	shard struct {
		lock    sync.Mutex
		records map[Key]*Record
		bytes   int64
		swept   timekeeper.Millis
	}

	// Record is a key and what became of its request.
	Record struct {
		print   Print
		ended   chan struct{}
		expires timekeeper.Millis

		// Result and Answer are valid once the key has ended.
		result exchanger.Result
		answer *Answer
	}

	// Answer is an answer that is kept.
	Answer struct {
		exchanger.Answer
		Body []byte
	}
)

// PrintOf returns the print of a request.
func PrintOf(method, target string, body []byte) Print {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + target + "\n")
	_, _ = d.Write(body)
	return Print(d.Sum64())
}

// Begin claims a key for a request. Only one claim of a key is ever granted,
// until it is ended as not run.
func (k *Keeper) Begin(key Key, p Print) (*Record, Verdict) {
	s := k.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	now := k.Clock.Now()
	k.sweep(s, now)
	if r := s.records[key]; r != nil && !r.over(now) {
		if r.print != p {
			return nil, Mismatch
		}
		return r, Repeated
	}
	if s.bytes+recordBytes > k.limit()/shards {
		return nil, Full
	}
	if s.records == nil {
		s.records = map[Key]*Record{}
	}
	r := &Record{print: p, ended: make(chan struct{})}
	s.records[key] = r
	s.bytes += r.size(key)
	return r, Begun
}

// End says what became of the request of a key that Begin granted. answer is nil
// when it is not to be kept.
func (k *Keeper) End(key Key, r *Record, result exchanger.Result, answer *Answer) {
	s := k.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	r.result = result
	s.bytes -= r.size(key)
	if result.Outcome == exchanger.NotRun {
		delete(s.records, key)
	} else {
		if answer != nil && s.bytes+int64(len(answer.Body)) <= k.limit()/shards {
			r.answer = answer
		}
		r.expires = k.Clock.Now() + k.Kept()
		s.bytes += r.size(key)
	}
	close(r.ended)
}

// Look returns where a key stands, and its outcome once it has ended.
func (k *Keeper) Look(key Key) (State, exchanger.Result) {
	s := k.shard(key)
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.records[key]
	switch {
	case r == nil || r.over(k.Clock.Now()):
		return Absent, exchanger.Result{}
	case r.expires == 0:
		return Running, exchanger.Result{}
	}
	return Ended, r.result
}

// Wait waits until the key has ended and returns its outcome and kept answer. It
// reports false when ctx ends before.
func (r *Record) Wait(ctx context.Context) (exchanger.Result, *Answer, bool) {
	select {
	case <-r.ended:
		return r.result, r.answer, true
	case <-ctx.Done():
		return exchanger.Result{}, nil, false
	}
}

// over tells whether a record may be forgotten. One that runs never is.
func (r *Record) over(now timekeeper.Millis) bool {
	return r.expires != 0 && now >= r.expires
}

func (r *Record) size(key Key) int64 {
	n := int64(recordBytes + len(key))
	if r.answer != nil {
		n += int64(len(r.answer.Body))
	}
	return n
}

// sweep forgets what is over, now and then.
func (k *Keeper) sweep(s *shard, now timekeeper.Millis) {
	if now-s.swept < timekeeper.Second {
		return
	}
	s.swept = now
	for key, r := range s.records {
		if r.over(now) {
			s.bytes -= r.size(key)
			delete(s.records, key)
		}
	}
}

func (k *Keeper) shard(key Key) *shard {
	return &k.parts[xxhash.Sum64String(string(key))%shards]
}

// Kept returns how long keys are remembered.
func (k *Keeper) Kept() timekeeper.Millis {
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

// Recorder keeps a copy of an answer on its way to the caller.
type Recorder struct {
	answer Answer
	long   bool
}

// Attach makes c copy its answer into rec.
func (rec *Recorder) Attach(c *exchanger.Call) {
	start, write := c.Start, c.Write
	c.Start = func(a exchanger.Answer) error {
		rec.answer.Answer = a
		rec.answer.Header = a.Header.Clone()
		return start(a)
	}
	c.Write = func(p []byte) error {
		if len(rec.answer.Body)+len(p) > MaxAnswerBytes {
			rec.long = true
			rec.answer.Body = nil
		}
		if !rec.long {
			rec.answer.Body = append(rec.answer.Body, p...)
		}
		return write(p)
	}
}

// Answer returns the copy of a whole answer, nil when there is none to keep.
func (rec *Recorder) Answer(r exchanger.Result) *Answer {
	if r.Outcome != exchanger.Answered || !r.Whole || rec.long {
		return nil
	}
	if rec.answer.Header == nil {
		rec.answer.Header = http.Header{}
	}
	return &rec.answer
}
