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
	// writeTimeout ends a session whose ping is not answered for so long.
	writeTimeout = 4 * time.Second

	// envelopeBytes is what yamux adds to a frame.
	envelopeBytes = 12

	acceptBacklog = 4096
	helloTimeout  = 5 * time.Second
)

type (
	// Counters counts the traffic on the links of a daemon. Control is bytes on
	// control streams with their envelopes; Wire is all bytes, requests and
	// pings included.
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

	// Session is one live link.
	Session struct {
		remote  registrar.Member
		wire    *wire
		mux     *yamux.Session
		control net.Conn
		writer  *framer.Writer
		reader  *framer.Reader
		// direct is when this session last carried a request for an upstream
		// owned here.
		direct atomic.Int64
		// asked is when the ping was sent that is not answered yet, 0 for none.
		asked atomic.Int64
		// answered is when the other end last answered a ping, a request or a
		// heartbeat.
		answered atomic.Int64
		// waiting counts the requests handed over that are not answered yet.
		waiting atomic.Int64

		lock sync.Mutex
		// told is the free slots that the other end was told last.
		told map[pooler.Key]int
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
	c.counters.ControlOut.Add(uint64(n) + envelopeBytes)
	c.counters.Frames.Add(1)
	return n, err
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	// Links are watched by what comes over them and by pings of our own, which
	// have a budget.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// open starts a session on a connection that this side dialled.
func open(conn *wire, self registrar.Member) (*Session, error) {
	mux, err := yamux.Client(conn, config())
	if err != nil {
		return nil, eris.Wrap(err, "start link")
	}
	stream, err := mux.Open()
	if err != nil {
		mux.Close()
		return nil, eris.Wrap(err, "open control stream")
	}
	return greet(newSession(conn, mux, stream), self)
}

// accept starts a session on a connection that the other side dialled.
func accept(conn *wire, self registrar.Member) (*Session, error) {
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
	return greet(newSession(conn, mux, stream), self)
}

func newSession(w *wire, mux *yamux.Session, stream net.Conn) *Session {
	c := counted{stream, w.counters}
	s := &Session{wire: w, mux: mux, control: c, writer: framer.NewWriter(c), reader: framer.NewReader(c)}
	s.noteAnswer(w.lastHeard())
	return s
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
