package linker

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// keepAlive finds half-open links. A ping that is not answered within
	// writeTimeout ends the session.
	keepAlive    = 2 * time.Second
	writeTimeout = 4 * time.Second

	acceptBacklog = 4096
	helloTimeout  = 5 * time.Second
)

type (
	// Counters counts the control traffic of a daemon, in bytes on its control
	// streams, and the requests on its links.
	Counters struct {
		ControlIn  atomic.Uint64
		ControlOut atomic.Uint64
		Frames     atomic.Uint64
		Handed     atomic.Uint64
		Received   atomic.Uint64
		Lost       atomic.Uint64
		Dials      atomic.Uint64
	}

	// Session is one live link.
	Session struct {
		remote  registrar.Member
		mux     *yamux.Session
		control net.Conn
		writer  *framer.Writer
		reader  *framer.Reader
		// direct is when this session last carried a request for an upstream
		// owned here.
		direct atomic.Int64
	}

	// counted counts the bytes of a control stream.
	counted struct {
		net.Conn
		counters *Counters
	}
)

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.ControlIn.Add(uint64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.ControlOut.Add(uint64(n))
	c.counters.Frames.Add(1)
	return n, err
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// open starts a session on a connection that this side dialled.
func open(conn net.Conn, self registrar.Member, counters *Counters) (*Session, error) {
	mux, err := yamux.Client(conn, config())
	if err != nil {
		return nil, eris.Wrap(err, "start link")
	}
	stream, err := mux.Open()
	if err != nil {
		mux.Close()
		return nil, eris.Wrap(err, "open control stream")
	}
	return greet(newSession(mux, stream, counters), self)
}

// accept starts a session on a connection that the other side dialled.
func accept(conn net.Conn, self registrar.Member, counters *Counters) (*Session, error) {
	mux, err := yamux.Server(conn, config())
	if err != nil {
		return nil, eris.Wrap(err, "start link")
	}
	timer := time.AfterFunc(helloTimeout, func() { mux.Close() })
	defer timer.Stop()
	stream, err := mux.Accept()
	if err != nil {
		mux.Close()
		return nil, eris.Wrap(err, "accept control stream")
	}
	return greet(newSession(mux, stream, counters), self)
}

func newSession(mux *yamux.Session, stream net.Conn, counters *Counters) *Session {
	c := counted{stream, counters}
	return &Session{mux: mux, control: c, writer: framer.NewWriter(c), reader: framer.NewReader(c)}
}

// greet exchanges Hello frames: each side says who it is.
func greet(s *Session, self registrar.Member) (*Session, error) {
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
		return nil, eris.Errorf("peer speaks another protocol (frame %d, version %d)", f.Kind, h.GetVersion())
	}
	s.remote = fromMessage(h.From)
	return s, s.control.SetReadDeadline(time.Time{})
}

// Remote is the member at the other end.
func (s *Session) Remote() registrar.Member {
	return s.remote
}

// Send writes a frame on the control stream.
func (s *Session) Send(k framer.Kind, m proto.Message) error {
	return s.writer.Message(k, m)
}

// Close ends the session and all requests on it.
func (s *Session) Close() {
	s.mux.Close()
}

func (s *Session) usedSince(t timekeeper.Millis) bool {
	d := s.direct.Load()
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
