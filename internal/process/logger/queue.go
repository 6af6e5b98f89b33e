package logger

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is how many lines may wait to be written: about two seconds of
	// output at the maximum rate of log lines.
	queueCapacity = 1024

	// closeTimeout bounds how long Close waits for the queued lines.
	closeTimeout = 200 * time.Millisecond
)

// Queue writes lines in the background, so that a slow reader of the logs blocks
// nothing. It drops and counts lines when it is full. Create it with NewQueue.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewQueue starts a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of one line. It always returns success, since a caller can do
// nothing about a dropped line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (q *Queue) Dropped() uint64 {
	return q.dropped.Load()
}

// Close waits at most closeTimeout for the queued lines to be written. Write must not be
// called afterwards.
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
		// Ignore the error: there is nowhere to log that the log cannot be written.
		_, _ = q.out.Write(line)
	}
}
