package linker_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
)

// shortCloseTimeout makes yamux reset each stream that its remote end does not close at once.
const shortCloseTimeout = time.Millisecond

// resetEarly makes yamux reset streams that the remote end does not close at once.
func resetEarly(c *yamux.Config) { c.StreamCloseTimeout = shortCloseTimeout }

// resetsHandled returns a channel that is closed once yamux at the end to has handled n resets of
// streams, which yamux at the end from has sent.
func resetsHandled(from, to *orderedConn, n int) <-chan struct{} {
	handled := make(chan struct{})
	var once sync.Once
	var resets int
	var total atomic.Int64
	from.beforeWrite = func(p []byte) error {
		if isWindowUpdate(p, yamuxReset) {
			resets++
		}
		if resets == n && total.Load() == 0 {
			total.Store(from.sent.Load() + int64(len(p)))
		}
		return nil
	}
	// yamux reads from the connection only after it has handled everything that it has read.
	to.beforeRead = func() {
		if b := total.Load(); b > 0 && to.received.Load() >= b && len(to.rest) == 0 {
			once.Do(func() { close(handled) })
		}
	}
	return handled
}

// TestResetByOwnerKeepsBufferedAnswers guards against the loss of answers that arrived whole. Their
// callers have taken nothing of them yet when the yamux of their owner resets the streams, which it
// does if the remote end has not closed a stream within StreamCloseTimeout.
func TestResetByOwnerKeepsBufferedAnswers(t *testing.T) {
	for _, c := range []struct{ calls, bodyBytes, pieceBytes int }{
		{1, framer.ChunkBytes + 1, 0},
		{1, 250 << 10, 0},
		{20, 180000, 0},
		{1, 40000, 1},
		{2, 100000, yamuxHeaderBytes - 1},
		{2, 100000, yamuxHeaderBytes},
		{2, 100000, yamuxHeaderBytes + 1},
		{2, 100000, 4097},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			dialled, accepts := newOrderedConn(), newOrderedConn()
			accepts.configure = resetEarly
			dialled.pieceBytes = c.pieceBytes
			handled := resetsHandled(accepts, dialled, c.calls)
			o := connectInOrder(t, dialled, accepts)
			o.to.Serve = answerWhole(is, c.bodyBytes, framer.ChunkBytes)
			var all sync.WaitGroup
			var lost atomic.Int64
			for range c.calls {
				all.Go(func() {
					x, body := readSlowly(handled)
					if r := o.peer.Run(context.Background(), x, false); !r.Whole || *body != c.bodyBytes {
						lost.Add(1)
					}
				})
			}
			all.Wait()
			is.Equal(lost.Load(), int64(0))
			is.Equal(o.peer.OpenCalls(), 0)
		})
	}
}

// flagFrame returns the frame with which yamux closes or resets a stream.
func flagFrame(flag uint16, stream uint32) []byte {
	b := make([]byte, yamuxHeaderBytes)
	b[1] = yamuxWindowUpdate
	binary.BigEndian.PutUint16(b[2:], flag)
	binary.BigEndian.PutUint32(b[4:], stream)
	return b
}

// replaceCloses makes one end of a link send other frames in place of those with which yamux closes
// the streams given.
func replaceCloses(c *orderedConn, frames map[uint32][]byte) {
	c.replace = func(p []byte) []byte {
		if isWindowUpdate(p, yamuxFin) {
			if f := frames[binary.BigEndian.Uint32(p[4:])]; f != nil {
				return f
			}
		}
		return p
	}
}

// TestResetInsteadOfCloseKeepsBufferedAnswer guards against the loss of an answer that arrived with
// its End frame, and whose owner then resets the stream without closing it. yamux does so if the
// connection took no bytes for ConnectionWriteTimeout when the stream was closed.
func TestResetInsteadOfCloseKeepsBufferedAnswer(t *testing.T) {
	for _, bodyBytes := range []int{framer.ChunkBytes + 1, 180000} {
		t.Run(fmt.Sprint(bodyBytes), func(t *testing.T) {
			is := is.New(t)
			dialled, accepts := newOrderedConn(), newOrderedConn()
			replaceCloses(accepts, map[uint32][]byte{firstCallStream: flagFrame(yamuxReset, firstCallStream)})
			handled := resetsHandled(accepts, dialled, 1)
			o := connectInOrder(t, dialled, accepts)
			o.to.Serve = answerWhole(is, bodyBytes, framer.ChunkBytes)
			x, body := readSlowly(handled)
			r := o.peer.Run(context.Background(), x, false)
			is.Equal(*body, bodyBytes)
			is.True(r.Whole)
			is.True(o.peer.Run(context.Background(), call(), false).Whole)
			is.Equal(o.from.Counters().Dials.Load(), uint64(1))
			is.Equal(o.peer.OpenCalls(), 0)
		})
	}
}

// partialAnswer returns a Serve that answers n chunks of a longer body, closes written and waits for
// release.
func partialAnswer(is *is.I, n int, written chan<- struct{}, release <-chan struct{}) func(context.Context, *exchanger.Call, bool) exchanger.Result {
	return func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
		is.NoErr(x.Start(exchanger.Response{Status: 200, Length: 1 << 20}))
		for range n {
			is.NoErr(x.Write(make([]byte, framer.ChunkBytes)))
		}
		close(written)
		<-release
		return exchanger.Result{}
	}
}

// runAside runs a call and sends its result to the returned channel.
func (o *orderedLink) runAside(x *exchanger.Call) <-chan exchanger.Result {
	result := make(chan exchanger.Result, 1)
	go func() { result <- o.peer.Run(context.Background(), x, false) }()
	return result
}

// TestResetBeforeEndOfAnswerEndsCall guards against a call that does not learn at once that the rest
// of its answer is missing, also if its caller has yet to take much of what arrived. The owner resets
// the stream, and may have closed it before without an End frame.
func TestResetBeforeEndOfAnswerEndsCall(t *testing.T) {
	const chunks = 3
	for _, c := range []struct {
		taken  int
		closed bool
	}{{chunks, false}, {1, false}, {chunks, true}, {1, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			dialled, accepts := newOrderedConn(), newOrderedConn()
			frames := map[uint32][]byte{firstCallStream + 4: flagFrame(yamuxReset, firstCallStream)}
			if c.closed {
				frames[firstCallStream+2] = flagFrame(yamuxFin, firstCallStream)
			}
			replaceCloses(accepts, frames)
			handled := resetsHandled(accepts, dialled, 1)
			o := connectInOrder(t, dialled, accepts)
			written, release := make(chan struct{}), make(chan struct{})
			defer close(release)
			o.to.Serve = partialAnswer(is, chunks, written, release)
			// The caller is about to take the last of these chunks when its stream is reset.
			x, _, body := countingCall()
			count := x.Write
			last := make(chan struct{})
			x.Write = func(p []byte) error {
				if *body+len(p) == c.taken*framer.ChunkBytes {
					close(last)
					<-handled
				}
				return count(p)
			}
			result := o.runAside(x)
			<-written
			<-last
			o.to.Serve = answerWhole(is, 10, framer.ChunkBytes)
			for range 2 {
				is.True(o.peer.Run(context.Background(), call(), false).Whole)
			}
			is.Equal(<-result, exchanger.Result{Outcome: exchanger.Answered, Reason: exchanger.ReasonLinkLost})
			is.Equal(*body, c.taken*framer.ChunkBytes)
			is.Equal(o.from.Counters().Lost.Load(), uint64(1))
			is.Equal(o.from.Counters().Dials.Load(), uint64(1))
		})
	}
}

// TestResetAfterEndIsOfOneCallOnly guards against a call that waits for ever since the reset of its
// stream is taken for one that follows the end: another call, whose answer is whole and whose caller
// reads slowly, had its stream reset before.
func TestResetAfterEndIsOfOneCallOnly(t *testing.T) {
	is := is.New(t)
	dialled, accepts := newOrderedConn(), newOrderedConn()
	accepts.configure = resetEarly
	replaceCloses(accepts, map[uint32][]byte{firstCallStream + 4: flagFrame(yamuxReset, firstCallStream+2)})
	handled := resetsHandled(accepts, dialled, 1)
	o := connectInOrder(t, dialled, accepts)
	o.to.Serve = answerWhole(is, 180000, framer.ChunkBytes)
	release := make(chan struct{})
	x, body := readSlowly(release)
	first := o.runAside(x)
	<-handled

	written := make(chan struct{})
	o.to.Serve = partialAnswer(is, 1, written, release)
	second := o.runAside(call())
	<-written
	o.to.Serve = answerWhole(is, 10, framer.ChunkBytes)
	is.True(o.peer.Run(context.Background(), call(), false).Whole)
	is.Equal((<-second).Reason, exchanger.ReasonLinkLost)

	close(release)
	is.True((<-first).Whole)
	is.Equal(*body, 180000)
	is.Equal(o.from.Counters().Dials.Load(), uint64(1))
}

// TestRefusedStreamEndsCall guards against calls that wait although the yamux of the owner reset
// their streams, for which it had no room: for the answer, or for the window if the request exceeds
// it. Nothing else ends them.
func TestRefusedStreamEndsCall(t *testing.T) {
	for _, requestBytes := range []int{0, 3 * halfWindowBytes} {
		t.Run(fmt.Sprint(requestBytes), func(t *testing.T) { testRefusedStreams(t, requestBytes) })
	}
}

func testRefusedStreams(t *testing.T, requestBytes int) {
	is := is.New(t)
	const calls = 6
	dialled, accepts := newOrderedConn(), newOrderedConn()
	accepts.configure = func(c *yamux.Config) { c.AcceptBacklog = 1 }
	var requests, total atomic.Int64
	var once sync.Once
	arrived := make(chan struct{})
	dialled.afterWrite = func(p []byte) {
		if isFrame(p, framer.KindRequest) && requests.Add(1) == calls {
			total.Store(dialled.sent.Load())
		}
	}
	accepts.beforeRead = func() {
		if n := total.Load(); n > 0 && accepts.received.Load() >= n {
			once.Do(func() { close(arrived) })
		}
	}
	// The owner writes nothing, and so accepts one stream only, until all have arrived.
	var linked atomic.Bool
	accepts.beforeWrite = func([]byte) error {
		if linked.Load() {
			<-arrived
		}
		return nil
	}
	o := connectInOrder(t, dialled, accepts)
	linked.Store(true)
	o.to.Serve = answerWhole(is, 10, framer.ChunkBytes)
	var all sync.WaitGroup
	var whole, lost atomic.Int64
	for range calls {
		all.Go(func() {
			x := call()
			x.ShortBody = make([]byte, requestBytes)
			r := o.peer.Run(context.Background(), x, false)
			if r.Whole {
				whole.Add(1)
			}
			if r.Outcome == exchanger.Unknown && r.Reason == exchanger.ReasonLinkLost {
				lost.Add(1)
			}
		})
	}
	all.Wait()
	is.True(lost.Load() > 0)
	is.Equal(whole.Load()+lost.Load(), int64(calls))
	is.True(o.peer.Run(context.Background(), call(), false).Whole)
	is.Equal(o.from.Counters().Dials.Load(), uint64(1))
	is.Equal(o.peer.OpenCalls(), 0)
}

// TestSenderOfBodyEndsWithCall guards against a goroutine that waits for ever to send the rest of a
// request body: the owner answers without reading it and resets the stream, so that it never extends
// the window.
func TestSenderOfBodyEndsWithCall(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 180000
	dialled, accepts := newOrderedConn(), newOrderedConn()
	accepts.configure = resetEarly
	handled := resetsHandled(accepts, dialled, 1)
	o := connectInOrder(t, dialled, accepts)
	answer := answerWhole(is, bodyBytes, framer.ChunkBytes)
	o.to.Serve = func(ctx context.Context, x *exchanger.Call, relay bool) exchanger.Result {
		x.Admitted()
		defer x.Body.(io.Closer).Close()
		return answer(ctx, x, relay)
	}
	x, body := readSlowly(handled)
	x.Method = "POST"
	x.Length = -1
	x.Body = zeros{}
	r := o.peer.Run(context.Background(), x, false)
	is.True(r.Whole)
	is.Equal(*body, bodyBytes)
	awaitEndOf(t, "runSendBody")
}

// TestLinkKeepsNothingOfEndedCalls guards against an entry that stays for each call whose stream
// ends after it: the caller has left, and the owner closes or resets the stream later.
func TestLinkKeepsNothingOfEndedCalls(t *testing.T) {
	is := is.New(t)
	dialled, accepts := newOrderedConn(), newOrderedConn()
	accepts.configure = resetEarly
	o := connectInOrder(t, dialled, accepts)
	release := make(chan struct{})
	o.to.Serve = func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
		is.NoErr(x.Start(exchanger.Response{Status: 200, Length: -1}))
		is.NoErr(x.Write(make([]byte, 10)))
		<-release
		return exchanger.Result{}
	}
	for range 50 {
		x := call()
		x.Write = func([]byte) error {
			is.Equal(o.peer.OpenCalls(), 1)
			return context.Canceled
		}
		o.peer.Run(context.Background(), x, false)
		is.Equal(o.peer.OpenCalls(), 0)
	}
	close(release)
	for o.to.Serving() > 0 {
		runtime.Gosched()
	}
	o.to.Serve = answerWhole(is, 10, framer.ChunkBytes)
	is.True(o.peer.Run(context.Background(), call(), false).Whole)
	is.Equal(o.peer.OpenCalls(), 0)
}
