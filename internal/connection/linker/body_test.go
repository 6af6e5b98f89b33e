package linker_test

import (
	"bytes"
	"context"
	"runtime"
	"runtime/pprof"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/exchanger"
)

// zeros is a request body without an end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// awaitEndOf waits until no goroutine runs a function.
func awaitEndOf(t *testing.T, function string) {
	t.Helper()
	var b bytes.Buffer
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); runtime.Gosched() {
		b.Reset()
		_ = pprof.Lookup("goroutine").WriteTo(&b, 2)
		if !strings.Contains(b.String(), function+"(") {
			return
		}
	}
	t.Errorf("a goroutine still runs %s", function)
}

// TestUnreadBodyHoldsNothing guards against a goroutine that stays for ever with the buffer of its
// stream, since it passes on a request body whose request was answered without reading it, as by a
// daemon that only relays it.
func TestUnreadBodyHoldsNothing(t *testing.T) {
	is := is.New(t)
	var s manualClock
	_, to, p := connectManagers(t, s.newClock())
	to.Serve = func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
		x.Admitted()
		var b [1]byte
		_, err := x.Body.Read(b[:])
		is.NoErr(err)
		return exchanger.Result{Outcome: exchanger.Answered, Whole: true}
	}
	x := call()
	x.Method = "POST"
	x.Length = -1
	x.Body = zeros{}
	is.True(p.Run(context.Background(), x, false).Whole)
	awaitEndOf(t, "runReadBody")
}
