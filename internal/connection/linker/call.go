package linker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
	"github.com/gullvale/gullvale/pkg/verifier"
)

// deadlineGrace is how long an entry waits for the owner beyond the deadline. The owner
// enforces the deadline, and only the owner knows whether the request ran.
const deadlineGrace = 250 * timekeeper.Millis(1)

// cancelledResult is the result of a call whose caller no longer accepts the response.
var cancelledResult = exchanger.Result{Outcome: exchanger.Answered, Reason: exchanger.ReasonCancelled}

// outboundCall is a request sent over a link. A response that fits into one chunk is
// buffered until it is complete. If the link is lost in the middle of it, an idempotent
// request can then be retried, where the caller would otherwise get a truncated response.
type outboundCall struct {
	call            *exchanger.Call
	peer            *Peer
	session         *Session
	stream          *callStream
	writer          *framer.Writer
	reader          *framer.Reader
	responseStarted bool
	// buffered is the head of a response that is held back until it is complete, nil
	// for none. bufferedBody is the part of its body received so far.
	buffered     *exchanger.Response
	bufferedBody []byte
}

// Run sends a call to the peer and returns its result. With relay the peer may choose
// the owner; otherwise it must be the owner.
func (p *Peer) Run(ctx context.Context, c *exchanger.Call, relay bool) exchanger.Result {
	s := p.current()
	if s == nil {
		return exchanger.Refused(exchanger.ReasonLinkUnreachable, 0)
	}
	opened, err := s.mux.OpenStream()
	if err != nil {
		return exchanger.Refused(exchanger.ReasonLinkUnreachable, 0)
	}
	stream := &callStream{Stream: opened}
	s.conn.addCall(stream)
	defer s.conn.removeCall(stream)
	defer stream.Close()
	p.recordUse(pooler.KeyOf(c))
	s.pendingCalls.Add(1)
	defer s.pendingCalls.Add(-1)
	p.manager.counters.Handed.Add(1)
	now := p.manager.Clock.Now()
	if c.Deadline > 0 {
		stream.SetReadDeadline(time.Now().Add((c.Deadline - now + deadlineGrace).Duration()))
	}
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	o := &outboundCall{call: c, peer: p, session: s, stream: stream, writer: framer.NewWriter(stream), reader: framer.NewReader(streamReader{stream})}
	err = o.writer.Message(framer.KindRequest, newRequestMessage(c, relay, now))
	if err != nil && !endsReads(err) && !stream.reset.Load() {
		return o.linkLost(ctx)
	}
	// The request may have been written, and its response received, before the link ended.
	return o.run(ctx)
}

// endsReads reports whether reads of a stream end after what was received, since a write failed
// with err.
func endsReads(err error) bool {
	var failed *net.OpError
	return errors.Is(err, yamux.ErrSessionShutdown) || errors.Is(err, yamux.ErrConnectionReset) || errors.As(err, &failed)
}

func (o *outboundCall) run(ctx context.Context) exchanger.Result {
	for !o.stream.reset.Load() {
		f, err := o.reader.Read()
		if err != nil {
			return o.linkLost(ctx)
		}
		o.session.recordReply(o.peer.manager.Clock.Now())
		if r, done := o.handleFrame(f); done {
			return r
		}
	}
	return o.runAfterReset(ctx)
}

// runAfterReset handles the rest of a response whose stream was reset. It passes the rest on only if
// the response is whole: a caller that reads slowly would otherwise learn late that its end is
// missing.
func (o *outboundCall) runAfterReset(ctx context.Context) exchanger.Result {
	var rest []framer.Frame
	for len(rest) == 0 || rest[len(rest)-1].Kind != framer.KindEnd {
		f, err := o.reader.Read()
		if err != nil {
			return o.linkLost(ctx)
		}
		rest = append(rest, framer.Frame{Kind: f.Kind, Body: bytes.Clone(f.Body)})
	}
	o.stream.Shrink()
	for _, f := range rest {
		if r, done := o.handleFrame(f); done {
			return r
		}
	}
	return o.linkLost(ctx)
}

func (o *outboundCall) handleFrame(f framer.Frame) (exchanger.Result, bool) {
	switch f.Kind {
	case framer.KindAdmitted:
		if o.call.Admitted != nil {
			o.call.Admitted()
		}
		go o.runSendBody()
	case framer.KindResponse:
		return o.handleResponse(f)
	case framer.KindChunk:
		if o.buffered != nil {
			o.bufferedBody = append(o.bufferedBody, f.Body...)
			break
		}
		if o.call.Write(f.Body) != nil {
			return cancelledResult, true
		}
	case framer.KindEnd:
		if !o.flushBuffered() {
			return cancelledResult, true
		}
		return o.handleEnd(f), true
	}
	return exchanger.Result{}, false
}

func (o *outboundCall) handleResponse(f framer.Frame) (exchanger.Result, bool) {
	var m framer.Response
	if f.Decode(&m) != nil {
		return exchanger.Lost(exchanger.ReasonLinkLost, ""), true
	}
	r := exchanger.Response{
		Status:   int(m.Status),
		Header:   fromHeaders(m.Headers),
		Length:   m.Length,
		Upstream: m.Upstream,
	}
	if verifier.CheckFinal(r.Status, r.Header) != nil {
		return exchanger.Lost(exchanger.ReasonUpstreamLost, r.Upstream), true
	}
	if r.Length >= 0 && r.Length <= framer.ChunkBytes {
		o.buffered = &r
		return exchanger.Result{}, false
	}
	o.responseStarted = true
	if o.call.Start(r) != nil {
		return cancelledResult, true
	}
	return exchanger.Result{}, false
}

// flushBuffered passes on a response that was held back. It reports false if the caller
// no longer accepts it.
func (o *outboundCall) flushBuffered() bool {
	if o.buffered == nil {
		return true
	}
	o.responseStarted = true
	return o.call.Start(*o.buffered) == nil && (len(o.bufferedBody) == 0 || o.call.Write(o.bufferedBody) == nil)
}

func (o *outboundCall) handleEnd(f framer.Frame) exchanger.Result {
	var m framer.End
	if f.Decode(&m) != nil {
		return exchanger.Lost(exchanger.ReasonLinkLost, "")
	}
	if len(m.Trailers) > 0 && o.call.Trailer != nil {
		o.call.Trailer(fromHeaders(m.Trailers))
	}
	switch {
	case m.Slots > 0:
		o.peer.setFree(pooler.KeyOf(o.call), int(m.Free), int(m.Slots))
	case exchanger.Reason(m.Reason) == exchanger.ReasonNotOwner:
		o.peer.setFree(pooler.KeyOf(o.call), 0, 0)
	}
	return exchanger.Result{
		Outcome:    exchanger.Outcome(m.Outcome),
		Whole:      m.Whole,
		Reason:     exchanger.Reason(m.Reason),
		RetryAfter: timekeeper.Millis(m.RetryAfterMillis),
		Upstream:   m.Upstream,
	}
}

// runSendBody sends the request body in chunks.
func (o *outboundCall) runSendBody() {
	if o.call.Body == nil {
		return
	}
	b := make([]byte, framer.ChunkBytes)
	for {
		n, err := o.call.Body.Read(b)
		if n > 0 && o.writer.Bytes(framer.KindChunk, b[:n]) != nil {
			return
		}
		if err != nil {
			end := &framer.End{Whole: err == io.EOF}
			_ = o.writer.Message(framer.KindEnd, end)
			return
		}
	}
}

// linkLost returns the result of a call whose stream ended before the End frame arrived.
// The owner may have sent the request to an upstream.
func (o *outboundCall) linkLost(ctx context.Context) exchanger.Result {
	reason := exchanger.ReasonLinkLost
	switch {
	case ctx.Err() != nil:
		reason = exchanger.ReasonCancelled
	case o.call.Deadline > 0 && o.peer.manager.Clock.Now() >= o.call.Deadline:
		reason = exchanger.ReasonDeadline
	default:
		o.peer.manager.counters.Lost.Add(1)
	}
	if o.responseStarted {
		return exchanger.Result{Outcome: exchanger.Answered, Reason: reason}
	}
	return exchanger.Lost(reason, "")
}

func newRequestMessage(c *exchanger.Call, relay bool, now timekeeper.Millis) *framer.Request {
	m := &framer.Request{
		Id:           string(c.ID),
		Service:      string(c.Service),
		Site:         string(c.Site),
		Origin:       string(c.Origin),
		Method:       c.Method,
		Target:       c.Target,
		Host:         c.Host,
		Headers:      toHeaders(c.Header),
		Length:       c.Length,
		Relay:        relay,
		BodyIncluded: c.Body == nil,
		Body:         c.ShortBody,
		Key:          c.Key,
		Held:         c.KeyHeld,
		Look:         c.LookupOnly,
		Detour:       c.Detour,
	}
	if c.Deadline > 0 {
		m.RemainingMillis = int64(max(c.Deadline-now, 1))
	}
	return m
}

func toHeaders(h http.Header) []*framer.Header {
	out := make([]*framer.Header, 0, len(h))
	for n, v := range h {
		out = append(out, &framer.Header{Name: n, Values: v})
	}
	return out
}

func fromHeaders(list []*framer.Header) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		h[f.Name] = f.Values
	}
	return h
}
