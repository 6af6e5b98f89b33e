package linker

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// inboundCall is a request received over a link.
type inboundCall struct {
	writer *framer.Writer
	reader *framer.Reader
	cancel context.CancelFunc
	// body receives the request body; nil if the Request frame included the body.
	body    *io.PipeWriter
	trailer http.Header
}

// runStreams serves the requests of a session.
func (m *Manager) runStreams(ctx context.Context, s *Session) {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go m.runStream(ctx, s, stream)
	}
}

func (m *Manager) runStream(ctx context.Context, s *Session, stream net.Conn) {
	defer stream.Close()
	m.serving.Add(1)
	defer m.serving.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := &inboundCall{writer: framer.NewWriter(stream), reader: framer.NewReader(streamReader{stream})}
	in.cancel = func() {
		cancel()
		// A write waits for the other end to read, which it no longer does.
		_ = stream.SetWriteDeadline(time.Now())
	}
	f, err := in.reader.Read()
	var q framer.Request
	if err != nil || f.Kind != framer.KindRequest || f.Decode(&q) != nil {
		return
	}
	m.counters.Received.Add(1)
	if !q.Relay {
		s.lastDirectRequest.Store(int64(m.Clock.Now()))
	}
	c := in.newCall(&q, m.Clock.Now())
	if m.Pace != nil {
		write := c.Write
		c.Write = func(p []byte) error {
			if err := m.Pace(ctx, s.remote, c, len(p)); err != nil {
				return err
			}
			return write(p)
		}
	}
	go in.runReadBody()
	// runReadBody may wait for a reader of the body.
	defer in.closeBody(io.ErrUnexpectedEOF)
	r := m.Serve(ctx, c, q.Relay)
	end := &framer.End{
		Outcome:          uint32(r.Outcome),
		Whole:            r.Whole,
		Reason:           string(r.Reason),
		RetryAfterMillis: int64(r.RetryAfter),
		Upstream:         r.Upstream,
		Trailers:         toHeaders(in.trailer),
	}
	m.addFreeSlots(s, pooler.KeyOf(c), end)
	_ = in.writer.Message(framer.KindEnd, end)
}

// addFreeSlots adds the free slots of the pool to the End frame of a request.
func (m *Manager) addFreeSlots(s *Session, k pooler.Key, end *framer.End) {
	if m.FreeSlots == nil {
		return
	}
	free, slots := m.FreeSlots(k)
	end.Free = int32(free)
	end.Slots = uint32(slots)
	s.recordAnnounced(k, free)
}

// newCall returns the call whose response is sent back over the stream.
func (in *inboundCall) newCall(q *framer.Request, now timekeeper.Millis) *exchanger.Call {
	c := &exchanger.Call{
		Head: exchanger.Head{
			ID:      exchanger.RequestID(q.Id),
			Service: resolver.ServiceName(q.Service),
			Site:    registrar.Site(q.Site),
			Origin:  registrar.Site(q.Origin),
			Method:  q.Method,
			Target:  q.Target,
			Host:    q.Host,
			Header:  fromHeaders(q.Headers),
			Length:  q.Length,
		},
		Key:        q.Key,
		KeyHeld:    q.Held,
		LookupOnly: q.Look,
		Detour:     q.Detour,
		Start:      in.sendResponse,
		Write:      func(p []byte) error { return in.writer.Bytes(framer.KindChunk, p) },
		Trailer:    func(h http.Header) { in.trailer = h },
	}
	if q.RemainingMillis > 0 {
		c.Deadline = now + timekeeper.Millis(q.RemainingMillis)
	}
	if q.BodyIncluded {
		c.ShortBody = q.Body
		return c
	}
	r, w := io.Pipe()
	in.body = w
	c.Body = r
	c.Admitted = func() { _ = in.writer.Message(framer.KindAdmitted, &framer.Admitted{}) }
	return c
}

func (in *inboundCall) sendResponse(r exchanger.Response) error {
	return in.writer.Message(framer.KindResponse, &framer.Response{
		Status:   uint32(r.Status),
		Headers:  toHeaders(r.Header),
		Length:   r.Length,
		Upstream: r.Upstream,
	})
}

// runReadBody passes on the request body. It cancels the call when the entry closes the
// stream.
func (in *inboundCall) runReadBody() {
	defer in.cancel()
	for {
		f, err := in.reader.Read()
		if err != nil {
			in.closeBody(io.ErrUnexpectedEOF)
			return
		}
		switch f.Kind {
		case framer.KindChunk:
			in.writeBody(f.Body)
		case framer.KindEnd:
			in.handleBodyEnd(f)
		}
	}
}

func (in *inboundCall) writeBody(p []byte) {
	if in.body == nil {
		return
	}
	// An error means that nothing reads the body any more. The stream is still read, to
	// detect when it closes.
	_, _ = in.body.Write(p)
}

func (in *inboundCall) handleBodyEnd(f framer.Frame) {
	var m framer.End
	if f.Decode(&m) == nil && m.Whole {
		in.closeBody(nil)
		return
	}
	in.closeBody(io.ErrUnexpectedEOF)
}

func (in *inboundCall) closeBody(err error) {
	if in.body != nil {
		in.body.CloseWithError(err)
	}
}
