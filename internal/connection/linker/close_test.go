package linker_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/encrypter"
	"github.com/gullvale/gullvale/internal/connection/linker"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/standin/signer"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// closeBound is more than a planned stop may wait for a remote end that does not respond.
const closeBound = 2 * time.Second

type (
	// stallableConn is one end of a connection without buffers: a write lasts until the
	// other end reads.
	stallableConn struct {
		net.Conn
		// stalled is closed once this end stops reading. resumed lets it read again.
		stalled, resumed <-chan struct{}
		// blocked receives a value before each write.
		blocked chan struct{}
	}

	// halfClosableConn is a stallableConn that can be closed for writing like one over TCP.
	halfClosableConn struct{ stallableConn }

	// stallableLink is a link whose accepting end may stop reading.
	stallableLink struct {
		from, to *linker.Manager
		peer     *linker.Peer
		// writes receives a value before each write of the dialling end.
		writes chan struct{}
		stall  func()
	}

	// chanListener is a listener that accepts the connections sent to it.
	chanListener chan net.Conn
)

func (c stallableConn) Read(p []byte) (int, error) {
	c.awaitResumed()
	n, err := c.Conn.Read(p)
	c.awaitResumed()
	return n, err
}

func (c stallableConn) awaitResumed() {
	select {
	case <-c.stalled:
		<-c.resumed
	default:
	}
}

func (c stallableConn) Write(p []byte) (int, error) {
	select {
	case c.blocked <- struct{}{}:
	default:
	}
	return c.Conn.Write(p)
}

func (c halfClosableConn) Write(p []byte) (int, error) {
	n, err := c.stallableConn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = syscall.EPIPE
	}
	return n, err
}

func (c halfClosableConn) CloseWrite() error {
	return c.SetWriteDeadline(time.Unix(1, 0))
}

func (l chanListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l chanListener) Close() error   { return nil }
func (l chanListener) Addr() net.Addr { return &net.TCPAddr{} }

// connectStallable starts two managers with one link. Both ends are wrapped before use.
func connectStallable(t *testing.T, dial func(stallableConn) net.Conn, accept func(net.Conn) net.Conn) *stallableLink {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stalled, resumed := make(chan struct{}), make(chan struct{})
	l := make(chanListener)
	t.Cleanup(func() {
		cancel()
		close(resumed)
		close(l)
	})
	o := &stallableLink{writes: make(chan struct{}, 1)}
	var s manualClock
	clock := s.newClock()
	member := registrar.Member{Incarnation: "b", Site: "erie/a"}
	var once sync.Once
	o.from = &linker.Manager{
		Clock: clock,
		Self:  func() registrar.Member { return registrar.Member{Incarnation: "a", Site: "erie/a"} },
		Dial: func(context.Context, string) (net.Conn, error) {
			c, err := net.Conn(nil), net.ErrClosed
			once.Do(func() {
				a, b := net.Pipe()
				o.stall = func() {
					close(stalled)
					_ = b.SetReadDeadline(time.Unix(1, 0))
				}
				c, err = dial(stallableConn{Conn: a, blocked: o.writes}), nil
				l <- accept(stallableConn{Conn: b, stalled: stalled, resumed: resumed})
			})
			return c, err
		},
	}
	o.to = &linker.Manager{
		Clock: clock,
		Self:  func() registrar.Member { return member },
		Serve: func(ctx context.Context, _ *exchanger.Call, _ bool) exchanger.Result {
			<-ctx.Done()
			return exchanger.Result{}
		},
	}
	go o.to.Accept(ctx, l)
	o.peer = o.from.Peer(ctx, member)
	if !o.peer.Await(ctx) {
		t.Fatal("link not established")
	}
	return o
}

// connectEncrypted is connectStallable over TLS.
func connectEncrypted(t *testing.T) *stallableLink {
	t.Helper()
	authority := signer.New()
	e := &encrypter.Encrypter{Files: authority.Files(t.TempDir(), time.Now().Add(time.Hour), authority)}
	if err := e.Load(); err != nil {
		t.Fatal(err)
	}
	accepts := make(chanListener, 1)
	l := e.Listener(accepts)
	return connectStallable(t,
		func(c stallableConn) net.Conn {
			return tls.Client(c, &tls.Config{InsecureSkipVerify: true, GetClientCertificate: certificate(t, e.Files)})
		},
		func(c net.Conn) net.Conn {
			accepts <- c
			w, err := l.Accept()
			if err != nil {
				panic(err)
			}
			return w
		})
}

func certificate(t *testing.T, f encrypter.Files) func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	t.Helper()
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		t.Fatal(err)
	}
	return func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c, nil }
}

// blockWrite stalls the accepting end and starts a call whose write blocks.
func (o *stallableLink) blockWrite() {
	o.stall()
	for len(o.writes) > 0 {
		<-o.writes
	}
	go o.peer.Run(context.Background(), call(), false)
	<-o.writes
}

// closes reports whether CloseSessions returns within closeBound.
func (o *stallableLink) closes() bool {
	closed := make(chan struct{})
	go func() {
		o.from.CloseSessions()
		close(closed)
	}()
	select {
	case <-closed:
		return true
	case <-time.After(closeBound):
		return false
	}
}

// TestClosingEncryptedLinkInterruptsBlockedWrite guards against a planned stop that waits without
// a bound for a stalled remote end, since TLS sends its close only after a pending write.
func TestClosingEncryptedLinkInterruptsBlockedWrite(t *testing.T) {
	o := connectEncrypted(t)
	o.blockWrite()
	is.New(t).True(o.closes())
}

// TestClosingEncryptedLinkIsBounded guards against a planned stop that waits for a stalled remote
// end to take the close of TLS.
func TestClosingEncryptedLinkIsBounded(t *testing.T) {
	o := connectEncrypted(t)
	o.stall()
	is.New(t).True(o.closes())
}

// TestClosingStalledLinkUsesNoProcessor guards against pending calls that poll while the link waits
// for a stalled remote end.
func TestClosingStalledLinkUsesNoProcessor(t *testing.T) {
	is := is.New(t)
	const pending = 2
	o := connectStallable(t, func(c stallableConn) net.Conn { return halfClosableConn{c} }, func(c net.Conn) net.Conn { return c })
	for range pending {
		go o.peer.Run(context.Background(), call(), false)
	}
	for o.to.Counters().Received.Load() < pending {
		time.Sleep(time.Millisecond)
	}
	o.blockWrite()
	before := processorTime(t)
	is.True(o.closes())
	used := processorTime(t) - before
	t.Logf("used %v", used)
	is.True(used < 250*time.Millisecond)
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
