package logger

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is how many lines wait to be written: about two seconds of a
	// process that writes as many as it may.
	queueCapacity = 1024

	// closeTimeout is how long Close waits for the lines that are left.
	closeTimeout = 200 * time.Millisecond
)

// Queue writes lines in the background, so that a reader of the logs that does not
// keep up delays nothing. Lines that find no room are counted and left out. Build it
// with NewQueue.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewQueue starts a queue in front of out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line. It always reports success, since a caller could do nothing
// about a line that is left out.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (q *Queue) Dropped() uint64 {
	return q.dropped.Load()
}

// Close writes what is queued, for a short time at most. Nothing may be written
// afterwards.
func (q *Queue) Close() {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		// There is no place left to tell of a log that cannot be written.
		_, _ = q.out.Write(line)
	}
}
