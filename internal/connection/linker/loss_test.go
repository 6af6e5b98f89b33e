package linker_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/registrar"
)

const (
	// A yamux window update is a header without a body, with these flags.
	yamuxHeaderBytes  = 12
	yamuxWindowUpdate = 1
	yamuxSyn          = 1
	yamuxFin          = 4
	yamuxReset        = 8

	// firstCallStream is the stream of the first call over a link that this side dialled.
	firstCallStream = 3

	// halfWindowBytes is how much of a stream is read before its window is updated.
	halfWindowBytes = 128 << 10

	// smallBuffer is a receive buffer that a short answer does not fit into.
	smallBuffer = 2 << 10
)

type (
	// orderedConn is one end of a link whose reads and writes the test orders. Nil
	// fields leave them as they are.
	orderedConn struct {
		net.Conn
		// replace returns what is written in place of p, in the same length. beforeWrite fails a
		// write; afterWrite runs before a write that succeeded returns.
		replace     func(p []byte) []byte
		beforeWrite func(p []byte) error
		afterWrite  func(p []byte)
		// beforeRead runs before the kernel is asked, afterRead before the bytes are
		// passed on. It may append to them, or return nil to leave them unread.
		beforeRead func()
		afterRead  func(p []byte) []byte

		// closing is closed once this end was closed for writing.
		closing  chan struct{}
		once     sync.Once
		sent     atomic.Int64
		received atomic.Int64
		// rest is what afterRead returned and no read has taken yet.
		rest []byte
		// receiveBytes is the kernel's receive buffer of a dialled end, 0 for its default.
		receiveBytes int
		// pieceBytes is the largest number of bytes that a read returns, 0 for no limit.
		pieceBytes int
		// configure changes the configuration of yamux at this end.
		configure func(*yamux.Config)
	}

	// orderedLink is a link between two managers, and its two ends.
	orderedLink struct {
		from, to         *linker.Manager
		peer             *linker.Peer
		dialled, accepts *orderedConn
	}

	orderedListener struct {
		net.Listener
		conn *orderedConn
		used atomic.Bool
	}
)

func newOrderedConn() *orderedConn {
	return &orderedConn{closing: make(chan struct{})}
}

func (c *orderedConn) Write(p []byte) (int, error) {
	if c.replace != nil {
		p = c.replace(p)
	}
	if c.beforeWrite != nil {
		if err := c.beforeWrite(p); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	if err == nil && c.afterWrite != nil {
		c.afterWrite(p)
	}
	return n, err
}

func (c *orderedConn) Read(p []byte) (int, error) {
	if c.pieceBytes > 0 {
		p = p[:min(len(p), c.pieceBytes)]
	}
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		c.rest = c.rest[n:]
		return n, nil
	}
	if c.beforeRead != nil {
		c.beforeRead()
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	if err != nil || c.afterRead == nil {
		return n, err
	}
	b := c.afterRead(p[:n])
	if b == nil {
		return 0, net.ErrClosed
	}
	n = copy(p, b)
	c.rest = bytes.Clone(b[n:])
	return n, nil
}

func (c *orderedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.closing) })
	return err
}

func (c *orderedConn) CloseWrite() error {
	err := c.Conn.(*net.TCPConn).CloseWrite()
	c.once.Do(func() { close(c.closing) })
	return err
}

// setReceiveBuffer limits the receive buffer before the connection announces its window.
func (c *orderedConn) setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if c.receiveBytes == 0 {
		return nil
	}
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.receiveBytes)
	})
	return errors.Join(err, set)
}

func (l *orderedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.used.Swap(true) {
		return conn, err
	}
	l.conn.Conn = conn
	return l.conn, nil
}

// connectInOrder starts two managers whose first link runs over the given ends.
func connectInOrder(t *testing.T, dialled, accepts *orderedConn) *orderedLink {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var s manualClock
	clock := s.newClock()
	member := registrar.Member{Incarnation: "b", Site: "erie/a", Links: l.Addr().String()}
	var used atomic.Bool
	from := &linker.Manager{
		Clock: clock,
		Self:  func() registrar.Member { return registrar.Member{Incarnation: "a", Site: "erie/a"} },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			d := net.Dialer{Control: dialled.setReceiveBuffer}
			conn, err := d.DialContext(ctx, "tcp", address)
			if err != nil || used.Swap(true) {
				return conn, err
			}
			dialled.Conn = conn
			return dialled, nil
		},
		ConfigureMux: dialled.configure,
	}
	acceptedOnce := make(chan struct{})
	var once sync.Once
	to := &linker.Manager{
		Clock:    clock,
		Self:     func() registrar.Member { return member },
		Accepted: func(*linker.Session) { once.Do(func() { close(acceptedOnce) }) },

		ConfigureMux: accepts.configure,
	}
	o := &orderedLink{from: from, to: to, dialled: dialled, accepts: accepts}
	go to.Accept(ctx, &orderedListener{Listener: l, conn: accepts})
	o.peer = from.Peer(ctx, member)
	if !o.peer.Await(ctx) {
		t.Fatal("link not established")
	}
	<-acceptedOnce
	return o
}

// closeAccepted closes the link on the accepting side.
func (o *orderedLink) closeAccepted() {
	for _, s := range o.to.AcceptedSessions() {
		s.Close()
	}
}

// closeAfterAnswer closes the link on the accepting side once it has written all of its
// first answer, as at a planned stop.
func (o *orderedLink) closeAfterAnswer() {
	o.accepts.afterWrite = func(p []byte) {
		if isWindowUpdate(p, yamuxFin) {
			go o.closeAccepted()
		}
	}
}

// answerWhole returns a Serve that answers a body of n bytes in chunks.
func answerWhole(is *is.I, n, chunk int) func(context.Context, *exchanger.Call, bool) exchanger.Result {
	return func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
		is.NoErr(x.Start(exchanger.Response{Status: 200, Length: int64(n)}))
		for rest := n; rest > 0; rest -= chunk {
			is.NoErr(x.Write(make([]byte, min(rest, chunk))))
		}
		return exchanger.Result{Outcome: exchanger.Answered, Whole: true, Upstream: "u"}
	}
}

func isWindowUpdate(p []byte, flag uint16) bool {
	return len(p) == yamuxHeaderBytes && p[1] == yamuxWindowUpdate && binary.BigEndian.Uint16(p[2:])&flag != 0
}

func isFrame(p []byte, k framer.Kind) bool {
	return len(p) > 0 && p[0] == byte(k)
}

// countingCall returns a call that counts the bytes of its response.
func countingCall() (x *exchanger.Call, started *bool, body *int) {
	x = call()
	started, body = new(bool), new(int)
	x.Start = func(exchanger.Response) error {
		*started = true
		return nil
	}
	x.Write = func(p []byte) error {
		*body += len(p)
		return nil
	}
	return x, started, body
}

// admittedCall returns a call with a body. The write of its request has returned when
// admitted runs.
func admittedCall(admitted func()) (x *exchanger.Call, body *int) {
	x, _, body = countingCall()
	x.Method = "POST"
	x.Length = -1
	x.Body = bytes.NewReader(make([]byte, 10))
	x.Admitted = admitted
	return x, body
}

// admitThen returns a Serve that reads the whole body of a request before it runs serve.
func admitThen(is *is.I, serve func(context.Context, *exchanger.Call, bool) exchanger.Result) func(context.Context, *exchanger.Call, bool) exchanger.Result {
	return func(ctx context.Context, x *exchanger.Call, relay bool) exchanger.Result {
		x.Admitted()
		_, err := io.ReadAll(x.Body)
		is.NoErr(err)
		return serve(ctx, x, relay)
	}
}

// TestLateResultOfRequestWriteKeepsBegunResponse guards against the loss of a response
// that arrived before the write of its request returned: the link ends in between, and the
// write reports that instead of its success.
func TestLateResultOfRequestWriteKeepsBegunResponse(t *testing.T) {
	is := is.New(t)
	dialled := newOrderedConn()
	dialled.afterWrite = func(p []byte) {
		if isFrame(p, framer.KindRequest) {
			<-dialled.closing
		}
	}
	o := connectInOrder(t, dialled, newOrderedConn())
	returned := make(chan struct{})
	o.to.Serve = func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
		is.NoErr(x.Start(exchanger.Response{Status: 200, Length: 1 << 20}))
		is.NoErr(x.Write(make([]byte, 10)))
		o.closeAccepted()
		<-returned
		return exchanger.Result{}
	}
	x, started, body := countingCall()
	r := o.peer.Run(context.Background(), x, false)
	close(returned)
	is.True(r.Outcome != exchanger.NotRun)
	is.Equal(r.Outcome, exchanger.Answered)
	is.True(*started)
	is.Equal(*body, 10)
	is.True(!r.Whole)
}

// TestLateResultOfRequestWriteKeepsWholeAnswer guards against the same loss of a short
// answer whose End frame arrived too.
func TestLateResultOfRequestWriteKeepsWholeAnswer(t *testing.T) {
	is := is.New(t)
	dialled := newOrderedConn()
	dialled.afterWrite = func(p []byte) {
		if isFrame(p, framer.KindRequest) {
			<-dialled.closing
		}
	}
	o := connectInOrder(t, dialled, newOrderedConn())
	o.to.Serve = answerWhole(is, 10, framer.ChunkBytes)
	o.closeAfterAnswer()
	x, started, body := countingCall()
	r := o.peer.Run(context.Background(), x, false)
	is.True(r.Outcome != exchanger.NotRun)
	is.Equal(r.Outcome, exchanger.Answered)
	is.True(*started)
	is.Equal(*body, 10)
	is.True(r.Whole)
}

// TestAnswerReadAfterTheLinkEndedIsWhole guards against an end of the link that overtakes
// what was written before it: the caller's side reads nothing until the other has closed.
func TestAnswerReadAfterTheLinkEndedIsWhole(t *testing.T) {
	is := is.New(t)
	dialled, accepts := newOrderedConn(), newOrderedConn()
	var hold atomic.Bool
	dialled.afterRead = func(p []byte) []byte {
		if hold.Load() {
			<-accepts.closing
		}
		return p
	}
	o := connectInOrder(t, dialled, accepts)
	o.to.Serve = admitThen(is, answerWhole(is, 10, framer.ChunkBytes))
	o.closeAfterAnswer()
	x, body := admittedCall(func() { hold.Store(true) })
	r := o.peer.Run(context.Background(), x, false)
	is.True(r.Whole)
	is.Equal(*body, 10)
}

// TestFailedWriteKeepsAnswerThatIsNotReadYet guards against a session that closes its
// connection because a write failed, with a whole answer still unread: the other side
// answered and closed, and the kernel refuses a control frame that is sent afterwards.
func TestFailedWriteKeepsAnswerThatIsNotReadYet(t *testing.T) {
	is := is.New(t)
	dialled, accepts := newOrderedConn(), newOrderedConn()
	var hold atomic.Bool
	failed := make(chan struct{})
	dialled.afterRead = func(p []byte) []byte {
		if !hold.Load() {
			return p
		}
		select {
		case <-failed:
			return p
		case <-dialled.closing:
			return nil
		}
	}
	o := connectInOrder(t, dialled, accepts)
	o.to.Serve = admitThen(is, answerWhole(is, 10, framer.ChunkBytes))
	o.closeAfterAnswer()
	go func() {
		<-accepts.closing
		// The first writes succeed and make the other kernel reset the connection.
		for o.peer.Send(framer.KindFree, &framer.Free{}) {
		}
		close(failed)
	}()
	x, body := admittedCall(func() { hold.Store(true) })
	r := o.peer.Run(context.Background(), x, false)
	is.Equal(r.Outcome, exchanger.Answered)
	is.True(r.Whole)
	is.Equal(*body, 10)
}

// answerThenClose closes the link when a whole short answer was written and the other side
// has not read it yet. With unread, a control frame waits unread on the closing side. A
// receiveBytes below the answer keeps most of it in the kernel of the closing side.
func answerThenClose(t *testing.T, unread bool, receiveBytes int) {
	is := is.New(t)
	const bodyBytes = 30000
	dialled, accepts := newOrderedConn(), newOrderedConn()
	dialled.receiveBytes = receiveBytes
	var hold atomic.Bool
	var requestEnd atomic.Int64
	dialled.beforeWrite = func(p []byte) error {
		if isFrame(p, framer.KindEnd) {
			requestEnd.Store(dialled.sent.Load() + int64(len(p)))
		}
		return nil
	}
	dialled.beforeRead = func() {
		if hold.Load() {
			<-accepts.closing
		}
	}
	accepts.beforeRead = func() {
		if n := requestEnd.Load(); unread && n > 0 && accepts.received.Load() >= n {
			<-accepts.closing
		}
	}
	o := connectInOrder(t, dialled, accepts)
	is.NoErr(accepts.Conn.(*net.TCPConn).SetWriteBuffer(1 << 20))
	serving, sent := make(chan struct{}), make(chan struct{})
	answer := answerWhole(is, bodyBytes, framer.ChunkBytes)
	o.to.Serve = admitThen(is, func(ctx context.Context, x *exchanger.Call, relay bool) exchanger.Result {
		close(serving)
		<-sent
		return answer(ctx, x, relay)
	})
	o.closeAfterAnswer()
	go func() {
		<-serving
		if unread {
			is.True(o.peer.Send(framer.KindFree, &framer.Free{}))
		}
		close(sent)
	}()
	x, body := admittedCall(func() { hold.Store(true) })
	r := o.peer.Run(context.Background(), x, false)
	is.Equal(r.Outcome, exchanger.Answered)
	is.True(r.Whole)
	is.Equal(*body, bodyBytes)
}

// TestClosingWithNothingUnreadSendsTheAnswer checks that an answer that still waits in the
// kernel when the link is closed is sent.
func TestClosingWithNothingUnreadSendsTheAnswer(t *testing.T) {
	answerThenClose(t, false, smallBuffer)
}

// TestClosingWithUnreadBytesSendsTheAnswer guards against a link that is closed while
// bytes wait unread, which makes the kernel reset it and drop what is not sent yet.
func TestClosingWithUnreadBytesSendsTheAnswer(t *testing.T) {
	answerThenClose(t, true, smallBuffer)
}

// TestResetKeepsAnswerThatArrived checks that an answer which arrived before the link was
// reset is still read.
func TestResetKeepsAnswerThatArrived(t *testing.T) {
	answerThenClose(t, true, 0)
}

// readSlowly returns a call whose caller takes the first chunk only after reached.
func readSlowly(reached <-chan struct{}) (x *exchanger.Call, body *int) {
	x, _, body = countingCall()
	x.Write = func(p []byte) error {
		<-reached
		*body += len(p)
		return nil
	}
	return x, body
}

// TestFailedWindowUpdateKeepsBufferedAnswer guards against the loss of an answer that is
// wholly in the buffer of its stream: the read that passes half the window returns bytes
// and the error of the window update.
func TestFailedWindowUpdateKeepsBufferedAnswer(t *testing.T) {
	is := is.New(t)
	// Chunks below the reader's buffer go through it, and it keeps the error for later.
	const bodyBytes, chunkBytes = halfWindowBytes + 64<<10, 4000
	dialled, accepts := newOrderedConn(), newOrderedConn()
	var total atomic.Int64
	var once sync.Once
	arrived := make(chan struct{})
	dialled.beforeRead = func() {
		if n := total.Load(); n > 0 && dialled.received.Load() >= n {
			once.Do(func() { close(arrived) })
		}
	}
	dialled.beforeWrite = func([]byte) error {
		select {
		case <-arrived:
			return syscall.EPIPE
		default:
			return nil
		}
	}
	o := connectInOrder(t, dialled, accepts)
	o.to.Serve = answerWhole(is, bodyBytes, chunkBytes)
	// The count is known before the last bytes leave.
	accepts.beforeWrite = func(p []byte) error {
		if isWindowUpdate(p, yamuxFin) {
			total.Store(accepts.sent.Load() + yamuxHeaderBytes)
		}
		return nil
	}
	x, body := readSlowly(arrived)
	r := o.peer.Run(context.Background(), x, false)
	is.Equal(*body, bodyBytes)
	is.True(r.Whole)
}

// serveBody returns a Serve that reads the request's body once ready is closed, and the
// channel for what it read.
func serveBody(ready <-chan struct{}) (serve func(context.Context, *exchanger.Call, bool) exchanger.Result, read chan error, body *[]byte) {
	read, body = make(chan error, 1), new([]byte)
	return func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
		x.Admitted()
		<-ready
		b, err := io.ReadAll(x.Body)
		*body = b
		read <- err
		return exchanger.Result{Outcome: exchanger.Answered, Whole: true}
	}, read, body
}

func callWithBody(n int) *exchanger.Call {
	x := call()
	x.Method = "POST"
	x.Body = bytes.NewReader(make([]byte, n))
	x.Length = -1
	return x
}

// TestRequestBodyWithoutItsEndIsNotWhole guards against a request body that is taken for
// whole although the link ended before its End frame.
func TestRequestBodyWithoutItsEndIsNotWhole(t *testing.T) {
	is := is.New(t)
	dialled, accepts := newOrderedConn(), newOrderedConn()
	dialled.beforeWrite = func(p []byte) error {
		if isFrame(p, framer.KindEnd) {
			dialled.Conn.Close()
			return syscall.EPIPE
		}
		return nil
	}
	o := connectInOrder(t, dialled, accepts)
	ready := make(chan struct{})
	close(ready)
	serve, read, _ := serveBody(ready)
	o.to.Serve = serve
	r := o.peer.Run(context.Background(), callWithBody(1000), false)
	is.Equal(r.Outcome, exchanger.Unknown)
	is.True(errors.Is(<-read, io.ErrUnexpectedEOF))
}

// TestRequestBodyReadAfterTheLinkEndedIsWhole guards against the loss of a request body
// that was written with its End frame before the entry's side closed.
func TestRequestBodyReadAfterTheLinkEndedIsWhole(t *testing.T) {
	is := is.New(t)
	dialled, accepts := newOrderedConn(), newOrderedConn()
	dialled.afterWrite = func(p []byte) {
		if isFrame(p, framer.KindEnd) {
			dialled.Conn.Close()
		}
	}
	o := connectInOrder(t, dialled, accepts)
	serve, read, body := serveBody(accepts.closing)
	o.to.Serve = serve
	r := o.peer.Run(context.Background(), callWithBody(1000), false)
	is.Equal(r.Outcome, exchanger.Unknown)
	is.NoErr(<-read)
	is.Equal(len(*body), 1000)
}

// TestStreamThatOpensAsTheLinkEndsRunsNothing guards against a request that is reported as
// not run although it was written: the link ends before the opening of its stream returns.
func TestStreamThatOpensAsTheLinkEndsRunsNothing(t *testing.T) {
	is := is.New(t)
	dialled, accepts := newOrderedConn(), newOrderedConn()
	o := connectInOrder(t, dialled, accepts)
	var served atomic.Int64
	o.to.Serve = func(context.Context, *exchanger.Call, bool) exchanger.Result {
		served.Add(1)
		return exchanger.Result{}
	}
	var requested atomic.Bool
	dialled.beforeWrite = func(p []byte) error {
		requested.Store(requested.Load() || isFrame(p, framer.KindRequest))
		return nil
	}
	dialled.afterWrite = func(p []byte) {
		if isWindowUpdate(p, yamuxSyn) {
			go o.closeAccepted()
			<-dialled.closing
		}
	}
	r := o.peer.Run(context.Background(), call(), false)
	is.Equal(r.Outcome, exchanger.NotRun)
	is.True(!requested.Load())
	is.Equal(served.Load(), int64(0))
}

// TestRequestIsServedUntilItsResultIsSent guards against a planned stop that takes a request for
// done, and closes its link, before its End frame is written.
func TestRequestIsServedUntilItsResultIsSent(t *testing.T) {
	is := is.New(t)
	accepts := newOrderedConn()
	o := connectInOrder(t, newOrderedConn(), accepts)
	o.to.Serve = answerWhole(is, 10, framer.ChunkBytes)
	var serving atomic.Int64
	accepts.beforeWrite = func(p []byte) error {
		if isFrame(p, framer.KindEnd) {
			serving.Store(o.to.Serving())
		}
		return nil
	}
	r := o.peer.Run(context.Background(), call(), false)
	is.True(r.Whole)
	is.Equal(serving.Load(), int64(1))
	for o.to.Serving() > 0 {
		runtime.Gosched()
	}
}

// TestStreamResetKeepsBufferedAnswer guards against the loss of an answer that is wholly in
// the buffer of its stream when the owner's yamux resets the stream, which it does when
// the stream stays half closed for too long.
func TestStreamResetKeepsBufferedAnswer(t *testing.T) {
	is := is.New(t)
	const bodyBytes = 3 * framer.ChunkBytes
	dialled, accepts := newOrderedConn(), newOrderedConn()
	var total atomic.Int64
	var once sync.Once
	var injected bool
	reached := make(chan struct{})
	dialled.afterRead = func(p []byte) []byte {
		if n := total.Load(); n == 0 || dialled.received.Load() < n || injected {
			return p
		}
		injected = true
		reset := make([]byte, yamuxHeaderBytes)
		reset[1] = yamuxWindowUpdate
		binary.BigEndian.PutUint16(reset[2:], yamuxReset)
		binary.BigEndian.PutUint32(reset[4:], firstCallStream)
		return append(bytes.Clone(p), reset...)
	}
	dialled.beforeRead = func() {
		if injected {
			once.Do(func() { close(reached) })
		}
	}
	accepts.beforeWrite = func(p []byte) error {
		if isWindowUpdate(p, yamuxFin) {
			total.Store(accepts.sent.Load() + yamuxHeaderBytes)
		}
		return nil
	}
	o := connectInOrder(t, dialled, accepts)
	o.to.Serve = answerWhole(is, bodyBytes, framer.ChunkBytes)
	x, body := readSlowly(reached)
	r := o.peer.Run(context.Background(), x, false)
	is.Equal(*body, bodyBytes)
	is.True(r.Whole)
}

// TestResponseToCallerThatLeftEnds guards against an owner that keeps a slot since it writes a long
// response that nobody reads.
func TestResponseToCallerThatLeftEnds(t *testing.T) {
	var s manualClock
	_, to, p := connectManagers(t, s.newClock())
	failed := make(chan error, 1)
	to.Serve = func(_ context.Context, x *exchanger.Call, _ bool) exchanger.Result {
		err := x.Start(exchanger.Response{Status: 200, Length: -1})
		for err == nil {
			err = x.Write(make([]byte, framer.ChunkBytes))
		}
		failed <- err
		return exchanger.Result{}
	}
	x := call()
	x.Write = func([]byte) error { return context.Canceled }
	p.Run(context.Background(), x, false)
	select {
	case <-failed:
	case <-time.After(10 * time.Second):
		t.Error("the owner still writes a response that nobody reads")
	}
}
