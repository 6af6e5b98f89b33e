package linker

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// writeTimeout is how long a ping may wait for its reply before the session is
	// closed. It also bounds writes.
	writeTimeout = 4 * time.Second

	// yamuxHeaderBytes is the size of the header that yamux adds to a frame.
	yamuxHeaderBytes = 12

	acceptBacklog = 4096
	helloTimeout  = 5 * time.Second
)

type (
	// Counters counts the traffic on the links of a daemon. ControlIn and ControlOut
	// are the bytes on control streams; ControlOut includes the yamux headers. WireIn
	// and WireOut are all bytes, including requests and pings. Frames counts the control
	// frames sent, Handed and Received the requests sent and received. Lost counts the
	// requests sent whose link was lost before their result arrived.
	Counters struct {
		WireIn     atomic.Uint64
		WireOut    atomic.Uint64
		Pings      atomic.Uint64
		ControlIn  atomic.Uint64
		ControlOut atomic.Uint64
		Frames     atomic.Uint64
		Handed     atomic.Uint64
		Received   atomic.Uint64
		Lost       atomic.Uint64
		Dials      atomic.Uint64
	}

	// Session is one live connection to another daemon.
	Session struct {
		remote  registrar.Member
		conn    *muxConn
		mux     *yamux.Session
		control net.Conn
		writer  *framer.Writer
		reader  *framer.Reader
		// lastDirectRequest is when the last request for an upstream owned here
		// arrived, 0 for none.
		lastDirectRequest atomic.Int64
		// pingSent is when the pending ping was sent, 0 for none.
		pingSent atomic.Int64
		// lastReply is when the remote end last replied to a ping, a request or a
		// heartbeat.
		lastReply atomic.Int64
		// pendingCalls is the number of requests sent whose result is still outstanding.
		pendingCalls atomic.Int64

		lock sync.Mutex
		// announcedFree is the free slots last sent to the remote end.
		announcedFree map[pooler.Key]int
	}

	// countingConn counts the bytes of a control stream.
	countingConn struct {
		net.Conn
		counters *Counters
	}
)

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.ControlIn.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.ControlOut.Add(uint64(n) + yamuxHeaderBytes)
	c.counters.Frames.Add(1)
	return n, err
}

// muxConfig returns the configuration of yamux.
func (m *Manager) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// Peer.runPings replaces the keep-alive of yamux: it skips links with recent
	// replies and limits the bytes of its pings.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	if m.ConfigureMux != nil {
		m.ConfigureMux(c)
	}
	return c
}

// openSession starts a session on a connection dialled here.
func (m *Manager) openSession(conn net.Conn) (*Session, error) {
	c := m.muxConn(conn, 0)
	mux, err := yamux.Client(c, m.muxConfig())
	if err != nil {
		return nil, eris.Wrap(err, "start yamux session")
	}
	stream, err := mux.Open()
	if err != nil {
		mux.Close()
		return nil, eris.Wrap(err, "open control stream")
	}
	return exchangeHello(newSession(c, mux, stream), m.Self())
}

// acceptSession starts a session on a connection dialled by the remote end.
func (m *Manager) acceptSession(conn net.Conn) (*Session, error) {
	c := m.muxConn(conn, acceptedReadTimeout)
	mux, err := yamux.Server(c, m.muxConfig())
	if err != nil {
		return nil, eris.Wrap(err, "start yamux session")
	}
	timer := time.AfterFunc(helloTimeout, func() { mux.Close() })
	defer timer.Stop()
	stream, err := mux.Accept()
	if err != nil {
		mux.Close()
		return nil, eris.Wrap(err, "accept control stream")
	}
	return exchangeHello(newSession(c, mux, stream), m.Self())
}

func newSession(m *muxConn, mux *yamux.Session, stream net.Conn) *Session {
	c := countingConn{stream, m.counters}
	s := &Session{conn: m, mux: mux, control: c, writer: framer.NewWriter(c), reader: framer.NewReader(streamReader{c})}
	s.recordReply(m.lastReadTime())
	return s
}

// exchangeHello exchanges Hello frames, which identify the two members.
func exchangeHello(s *Session, self registrar.Member) (*Session, error) {
	err := s.Send(framer.KindHello, &framer.Hello{Version: framer.ProtocolVersion, From: toMessage(self)})
	if err != nil {
		s.Close()
		return nil, eris.Wrap(err, "send hello")
	}
	if err := s.control.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		s.Close()
		return nil, eris.Wrap(err, "read hello")
	}
	f, err := s.reader.Read()
	if err != nil {
		s.Close()
		return nil, eris.Wrap(err, "read hello")
	}
	var h framer.Hello
	if f.Kind != framer.KindHello || f.Decode(&h) != nil || h.Version != framer.ProtocolVersion {
		s.Close()
		return nil, eris.Errorf("invalid hello: frame kind %d, protocol version %d", f.Kind, h.GetVersion())
	}
	s.remote = fromMessage(h.From)
	return s, s.control.SetReadDeadline(time.Time{})
}

// Remote returns the member at the remote end.
func (s *Session) Remote() registrar.Member {
	return s.remote
}

// Send writes a frame on the control stream.
func (s *Session) Send(k framer.Kind, m proto.Message) error {
	return s.writer.Message(k, m)
}

// Close closes the session and aborts all requests on it. It does not wait. What either end sent
// before still arrives, unless the remote end takes longer than closeTimeout.
func (s *Session) Close() {
	go s.runClose()
}

func (s *Session) runClose() {
	s.conn.finish(s.mux.CloseChan())
	s.abort()
}

// abort closes the session without waiting for the remote end.
func (s *Session) abort() {
	s.mux.Close()
}

func (s *Session) receivedDirectSince(t timekeeper.Millis) bool {
	d := s.lastDirectRequest.Load()
	return d != 0 && timekeeper.Millis(d) >= t
}

func toMessage(m registrar.Member) *framer.Member {
	return &framer.Member{
		Incarnation: string(m.Incarnation),
		Name:        m.Name,
		Site:        string(m.Site),
		Callers:     m.Callers,
		Links:       m.Links,
		Operators:   m.Operators,
		Leaving:     m.Leaving,
	}
}

func fromMessage(m *framer.Member) registrar.Member {
	return registrar.Member{
		Incarnation: registrar.Incarnation(m.GetIncarnation()),
		Name:        m.GetName(),
		Site:        registrar.Site(m.GetSite()),
		Callers:     m.GetCallers(),
		Links:       m.GetLinks(),
		Operators:   m.GetOperators(),
		Leaving:     m.GetLeaving(),
	}
}
