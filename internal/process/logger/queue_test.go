package logger_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/gullvale/gullvale/internal/process/logger"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestQueueWritesInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := logger.NewQueue(&out)
	want := ""
	for i := range 100 {
		line := fmt.Sprintln("line", i)
		want += line
		_, err := q.Write([]byte(line))
		is.NoErr(err)
	}
	q.Close()
	is.Equal(out.String(), want)
	is.Equal(q.Dropped(), uint64(0))
}

func TestQueueNeverBlocks(t *testing.T) {
	is := is.New(t)
	s := blockedWriter{make(chan struct{})}
	q := logger.NewQueue(s)
	const lines = 5000
	for range lines {
		_, err := q.Write([]byte("x\n"))
		is.NoErr(err)
	}
	is.True(q.Dropped() > 0)
	is.True(q.Dropped() < lines)
	q.Close() // does not wait for a blocked writer
	close(s.release)
}

// BenchmarkLine measures logging one line about a request.
func BenchmarkLine(b *testing.B) {
	l := logger.New(logger.NewQueue(io.Discard), logrus.InfoLevel)
	for b.Loop() {
		l.WithFields(logrus.Fields{
			"id": "9c41d07be2a35f68", "route": "r-6x73d3z", "service": "huvo11a", "class": "once",
			"config": 7, "catalog": 120, "upstream": "i-7f3a91c2", "key": "17", "tries": 1,
			"outcome": "answered", "reason": "", "status": 200, "ms": 280, "load": 3.5, "own": 1,
			"placed": "home",
		}).Info("request")
	}
}
