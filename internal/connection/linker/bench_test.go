package linker_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
)

// connectAnswering returns a link to a member that answers with bodies of n bytes.
func connectAnswering(b *testing.B, n int) *linker.Peer {
	var s manualClock
	_, to, p := connectManagers(b, s.newClock())
	to.Serve = answerWhole(is.New(b), n, framer.ChunkBytes)
	return p
}

// BenchmarkShortCall measures calls with short answers, one after the other.
func BenchmarkShortCall(b *testing.B) {
	p := connectAnswering(b, 10)
	for b.Loop() {
		p.Run(context.Background(), call(), false)
	}
}

// BenchmarkConcurrentCalls measures calls with short answers, 32 at a time for each processor.
func BenchmarkConcurrentCalls(b *testing.B) {
	p := connectAnswering(b, 10)
	b.SetParallelism(32)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p.Run(context.Background(), call(), false)
		}
	})
}

// BenchmarkLongAnswer measures calls with answers of many chunks, one after the other.
func BenchmarkLongAnswer(b *testing.B) {
	const bodyBytes = 16 << 20
	p := connectAnswering(b, bodyBytes)
	b.SetBytes(bodyBytes)
	for b.Loop() {
		p.Run(context.Background(), call(), false)
	}
}
