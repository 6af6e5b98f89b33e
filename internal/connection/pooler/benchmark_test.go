package pooler_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gullvale/gullvale/internal/request/exchanger"
)

// BenchmarkRun keeps every slot of an upstream busy, with as many calls in the queue, and
// reports the number of dials.
func BenchmarkRun(b *testing.B) {
	for _, slots := range []int{3, 12, 48} {
		b.Run(fmt.Sprint("slots=", slots), func(b *testing.B) { benchmarkRun(b, slots) })
	}
}

func benchmarkRun(b *testing.B, slots int) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	}))
	defer s.Close()
	d := &testDialer{connects: func(int64) bool { return true }}
	o := newOwnerWithDialer(settings(slots, slots, s.Listener.Addr().String()), d)
	b.ReportAllocs()
	b.ResetTimer()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var done sync.WaitGroup
	for range 2 * slots {
		done.Go(func() {
			for remaining.Add(-1) >= 0 {
				r := o.Run(context.Background(), call("x", nil, io.Discard))
				if r.Outcome != exchanger.Answered {
					b.Error(r)
				}
			}
		})
	}
	done.Wait()
	b.ReportMetric(float64(d.dials.Load()), "dials")
}
