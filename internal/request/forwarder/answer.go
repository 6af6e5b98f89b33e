package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gullvale/gullvale/internal/process/measurer"
	"github.com/gullvale/gullvale/internal/request/exchanger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Refusal is the body of a response that the entry itself gives.
type Refusal struct {
	Outcome          string
	Reason           string
	Detail           string `json:",omitempty"`
	RetryAfterMillis timekeeper.Millis
}

// writeHead forwards the status and header of an upstream's response.
func (x *exchange) writeHead(resp exchanger.Response) error {
	h := x.writer.Header()
	RemoveHop(resp.Header)
	for n, v := range resp.Header {
		h[n] = v
	}
	h.Set(HeaderOutcome, exchanger.Answered.String())
	h.Set(HeaderUpstream, resp.Upstream)
	h.Set(HeaderEntry, x.forwarder.Self().Name)
	if resp.Length >= 0 && h.Get("Content-Length") == "" && resp.Status != http.StatusNoContent {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	if x.forwarder.Leaving() {
		h.Set("Connection", "close")
	}
	x.flushEachWrite = resp.Length < 0
	x.started = true
	x.writer.WriteHeader(resp.Status)
	return nil
}

func (x *exchange) writeBody(p []byte) error {
	n, err := x.writer.Write(p)
	x.written += int64(n)
	if err != nil {
		return err
	}
	if x.flushEachWrite {
		return http.NewResponseController(x.writer).Flush()
	}
	return nil
}

func (x *exchange) writeTrailer(t http.Header) {
	for n, v := range t {
		x.writer.Header()[http.TrailerPrefix+n] = v
	}
}

// finish completes the exchange according to the result.
func (x *exchange) finish(r exchanger.Result) {
	x.observe(r)
	if x.started {
		if !r.Whole {
			// HTTP/1.1 signals an incomplete response by closing the connection. Flush first:
			// without the head the caller could not tell an incomplete response from none.
			_ = http.NewResponseController(x.writer).Flush()
			panic(http.ErrAbortHandler)
		}
		return
	}
	x.writeRefusal(statusOf(r), r, "")
}

func statusOf(r exchanger.Result) int {
	switch r.Reason {
	case exchanger.ReasonDeadline:
		return http.StatusGatewayTimeout
	case exchanger.ReasonBadRequest:
		return http.StatusBadRequest
	case exchanger.ReasonUnknownService:
		return http.StatusNotFound
	case exchanger.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case exchanger.ReasonResponseNotKept:
		return http.StatusGone
	}
	if r.Outcome == exchanger.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func (x *exchange) reject(status int, reason exchanger.Reason, detail string) (*exchanger.Call, bool) {
	x.refuse(status, exchanger.Refused(reason, 0), detail)
	return nil, false
}

func (x *exchange) refuse(status int, r exchanger.Result, detail string) {
	x.observe(r)
	x.writeRefusal(status, r, detail)
}

func (x *exchange) writeRefusal(status int, r exchanger.Result, detail string) {
	h := x.writer.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, r.Outcome.String())
	h.Set(HeaderReason, string(r.Reason))
	h.Set(HeaderEntry, x.forwarder.Self().Name)
	if r.Upstream != "" {
		h.Set(HeaderUpstream, r.Upstream)
	}
	if r.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.FormatInt(int64(r.RetryAfter), 10))
		seconds := (r.RetryAfter + timekeeper.Second - 1) / timekeeper.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	x.writer.WriteHeader(status)
	_ = json.NewEncoder(x.writer).Encode(Refusal{
		Outcome:          r.Outcome.String(),
		Reason:           string(r.Reason),
		Detail:           detail,
		RetryAfterMillis: r.RetryAfter,
	})
}

func (x *exchange) observe(r exchanger.Result) {
	l := measurer.Labels{Kind: r.Outcome.String()}
	if x.service != nil {
		l.Service = string(x.service.Name)
		l.Class = string(x.service.Class)
	}
	m := x.forwarder.Meter
	m.Observe("request_seconds", l, time.Since(x.arrivedAt))
	if r.Reason != exchanger.ReasonNone {
		l.Kind = string(r.Reason)
		m.Count("request_reasons", l)
	}
}
