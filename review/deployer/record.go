package deployer

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes to a file what was sent, answered and run.
type Record struct {
	lock  sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.lock.Lock()
	defer r.lock.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	_ = r.file.Close()
}
