package keykeeper_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/request/keykeeper"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

func newKeeper(now *atomic.Int64) *keykeeper.Keeper {
	return &keykeeper.Keeper{Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return timekeeper.Millis(now.Load()) }}}
}

var answered = exchanger.Result{Outcome: exchanger.Answered, Whole: true}

// TestConcurrentBeginsClaimKeyOnce has many goroutines begin the same key at once.
func TestConcurrentBeginsClaimKeyOnce(t *testing.T) {
	is := is.New(t)
	k := newKeeper(new(atomic.Int64))
	var begun, repeated atomic.Int64
	var done sync.WaitGroup
	for range 50 {
		done.Add(1)
		go func() {
			defer done.Done()
			r, v := k.Begin("k", 1)
			if v == keykeeper.Begun {
				begun.Add(1)
				k.End("k", r, answered, &keykeeper.Response{Body: []byte("one")})
				return
			}
			result, response, ok := r.Wait(context.Background())
			if ok && result.Outcome == exchanger.Answered && string(response.Body) == "one" {
				repeated.Add(1)
			}
		}()
	}
	done.Wait()
	is.Equal(begun.Load(), int64(1))
	is.Equal(repeated.Load(), int64(49))
}

func TestOutcomesAreRemembered(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	now.Store(1)
	k := newKeeper(&now)
	r, _ := k.Begin("unknown", 1)
	state, _ := k.Lookup("unknown")
	is.Equal(state, keykeeper.Running)
	k.End("unknown", r, exchanger.Lost(exchanger.ReasonLinkLost, ""), nil)
	_, v := k.Begin("unknown", 1)
	is.Equal(v, keykeeper.Duplicate) // an unknown outcome is never run again
	_, v = k.Begin("unknown", 2)
	is.Equal(v, keykeeper.Mismatch)

	r, _ = k.Begin("refused", 1)
	k.End("refused", r, exchanger.Refused(exchanger.ReasonQueueFull, 0), nil)
	_, v = k.Begin("refused", 1)
	is.Equal(v, keykeeper.Begun) // what did not run may be retried

	now.Add(int64(keykeeper.DefaultRetention))
	_, v = k.Begin("unknown", 2)
	is.Equal(v, keykeeper.Begun)
	state, _ = k.Lookup("refused")
	is.Equal(state, keykeeper.Running) // a key that runs is never forgotten
}

// TestMemoryIsBounded fills the keeper. Remembered keys are never dropped for room: new keys
// are refused, and accepted again once old ones expire.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	now.Store(1)
	k := newKeeper(&now)
	k.Limit = 1 << 20
	full := 0
	for i := range 5000 {
		key := keykeeper.Key(fmt.Sprint("key", i))
		r, v := k.Begin(key, 1)
		if v == keykeeper.Full {
			full++
			continue
		}
		k.End(key, r, answered, &keykeeper.Response{Response: exchanger.Response{Header: http.Header{}}, Body: make([]byte, 1000)})
	}
	is.True(full > 2000 && full < 4900)
	_, v := k.Begin("key0", 1)
	is.Equal(v, keykeeper.Duplicate)
	now.Add(int64(keykeeper.DefaultRetention))
	_, v = k.Begin("key4999", 1)
	is.Equal(v, keykeeper.Begun)
}
