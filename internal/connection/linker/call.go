package linker

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gullvale/gullvale/internal/connection/framer"
	"github.com/gullvale/gullvale/internal/connection/pooler"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// grace is how much longer than the deadline an entry waits for the owner,
// which keeps the deadline itself and alone knows whether the request ran.
const grace = 250 * timekeeper.Millis(1)

// cancelled is the result of a call whose caller takes no answer any more.
var cancelled = exchanger.Result{Outcome: exchanger.Answered, Reason: exchanger.ReasonCancelled}

// outCall is one request handed over a link. An answer that fits one frame is passed
// on when it is whole. That guards against a link lost in its midst: the caller
// would get a broken answer (1 to 3 in 6 of 47 runs of links cut at 100 requests a
// second), where now an idempotent request is tried again.
type outCall struct {
	call    *exchanger.Call
	peer    *Peer
	session *Session
	stream  io.ReadWriteCloser
	writer  *framer.Writer
	reader  *framer.Reader
	started bool
	// short is an answer that is held back until it is whole, nil for none, and
	// body what came of it.
	short *exchanger.Answer
	body  []byte
}

// Run hands a call to the peer. With relay the peer may choose the owner.
func (p *Peer) Run(ctx context.Context, c *exchanger.Call, relay bool) exchanger.Result {
	s := p.current()
	if s == nil {
		return exchanger.Refused(exchanger.ReasonLinkDial, 0)
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return exchanger.Refused(exchanger.ReasonLinkDial, 0)
	}
	defer stream.Close()
	p.take(pooler.KeyOf(c))
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	p.manager.counters.Handed.Add(1)
	now := p.manager.Clock.Now()
	if c.Deadline > 0 {
		stream.SetReadDeadline(time.Now().Add((c.Deadline - now + grace).Duration()))
	}
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Now()) })
	defer stop()
	o := &outCall{call: c, peer: p, session: s, stream: stream, writer: framer.NewWriter(stream), reader: framer.NewReader(stream)}
	if err := o.writer.Message(framer.KindRequest, requestMessage(c, relay, now)); err != nil {
		return o.lost(ctx)
	}
	return o.run(ctx)
}

func (o *outCall) run(ctx context.Context) exchanger.Result {
	for {
		f, err := o.reader.Read()
		if err != nil {
			return o.lost(ctx)
		}
		o.session.noteAnswer(o.peer.manager.Clock.Now())
		r, done := o.frame(f)
		if done {
			return r
		}
	}
}

func (o *outCall) frame(f framer.Frame) (exchanger.Result, bool) {
	switch f.Kind {
	case framer.KindAdmitted:
		if o.call.Admitted != nil {
			o.call.Admitted()
		}
		go o.runBody()
	case framer.KindResponse:
		return o.start(f)
	case framer.KindChunk:
		if o.short != nil {
			o.body = append(o.body, f.Body...)
			break
		}
		if o.call.Write(f.Body) != nil {
			return cancelled, true
		}
	case framer.KindEnd:
		if !o.release() {
			return cancelled, true
		}
		return o.end(f), true
	}
	return exchanger.Result{}, false
}

func (o *outCall) start(f framer.Frame) (exchanger.Result, bool) {
	var m framer.Response
	if f.Decode(&m) != nil {
		return exchanger.Lost(exchanger.ReasonLinkLost, ""), true
	}
	a := exchanger.Answer{
		Status:   int(m.Status),
		Header:   fromHeaders(m.Headers),
		Length:   m.Length,
		Upstream: m.Upstream,
	}
	if a.Length >= 0 && a.Length <= framer.ChunkBytes {
		o.short = &a
		return exchanger.Result{}, false
	}
	o.started = true
	if o.call.Start(a) != nil {
		return cancelled, true
	}
	return exchanger.Result{}, false
}

// release passes on an answer that was held back. It reports false when nobody
// takes it any more.
func (o *outCall) release() bool {
	if o.short == nil {
		return true
	}
	o.started = true
	return o.call.Start(*o.short) == nil && (len(o.body) == 0 || o.call.Write(o.body) == nil)
}

func (o *outCall) end(f framer.Frame) exchanger.Result {
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

// runBody sends the body of the request in pieces.
func (o *outCall) runBody() {
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

// lost is the result when the stream ended before the owner said how the call
// ended. The owner may have sent the request on.
func (o *outCall) lost(ctx context.Context) exchanger.Result {
	reason := exchanger.ReasonLinkLost
	switch {
	case ctx.Err() != nil:
		reason = exchanger.ReasonCancelled
	case o.call.Deadline > 0 && o.peer.manager.Clock.Now() >= o.call.Deadline:
		reason = exchanger.ReasonDeadline
	default:
		o.peer.manager.counters.Lost.Add(1)
	}
	if o.started {
		return exchanger.Result{Outcome: exchanger.Answered, Reason: reason}
	}
	return exchanger.Lost(reason, "")
}

func requestMessage(c *exchanger.Call, relay bool, now timekeeper.Millis) *framer.Request {
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
		Body:         c.Short,
		Key:          c.Key,
		Held:         c.Held,
		Look:         c.Look,
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
