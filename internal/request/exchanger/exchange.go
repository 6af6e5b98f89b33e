package exchanger

import (
	"io"
	"net/http"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The outcomes of a request. The zero value, Unknown, makes the weakest claim.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Answered means that the upstream responded.
	Answered
)

// The reasons for outcomes other than Answered.
const (
	ReasonNone                Reason = ""
	ReasonQueueFull           Reason = "queue full"
	ReasonDeadline            Reason = "deadline"
	ReasonEntryFull           Reason = "too many requests at the entry"
	ReasonAtLimit             Reason = "site at its limit"
	ReasonNoSlotInTime        Reason = "no slot in time"
	ReasonCancelled           Reason = "cancelled"
	ReasonNoUpstream          Reason = "no upstream"
	ReasonNotOwner            Reason = "not the owner"
	ReasonNoEntry             Reason = "no entry for the site"
	ReasonUpstreamUnreachable Reason = "upstream not reached"
	ReasonUpstreamLost        Reason = "upstream connection lost"
	ReasonUpstreamTerminated  Reason = "upstream ended"
	ReasonUpstreamRefused     Reason = "upstream refused"
	ReasonQuarantined         Reason = "quarantined"
	ReasonLinkUnreachable     Reason = "link not reached"
	ReasonLinkLost            Reason = "link lost"
	ReasonBodyIncomplete      Reason = "body not received whole"
	ReasonBodyTooLarge        Reason = "body too large"
	ReasonStopping            Reason = "stopping"
	ReasonMembershipExpired   Reason = "membership lapsed"
	ReasonUnknownService      Reason = "unknown service"
	ReasonBadRequest          Reason = "bad request"
	ReasonKeyHomeLost         Reason = "home of the key lost"
	ReasonKeyReused           Reason = "key used for another request"
	ReasonKeysFull            Reason = "too many keys"
	ReasonKeyUnknown          Reason = "key not known"
	ReasonResponseNotKept     Reason = "answer not kept"
)

type (
	// Outcome is the outcome of a request.
	Outcome uint8

	// Reason is the reason for an outcome.
	Reason string

	// RequestID identifies a request within the fleet.
	RequestID string

	// Head is a request without its body.
	Head struct {
		ID      RequestID
		Service resolver.ServiceName
		// Site is the site at which the request is to run.
		Site registrar.Site
		// Origin is the failure domain of the caller's block.
		Origin registrar.Site
		Method string
		// Target is the path and query.
		Target string
		Host   string
		Header http.Header
		// Length is the length of the body in bytes, -1 if unknown.
		Length int64
		// Deadline is a reading of this process's monotonic clock, 0 for none.
		Deadline timekeeper.Millis
	}

	// Response is the head of an upstream's response.
	Response struct {
		Status   int
		Header   http.Header
		Length   int64
		Upstream string
	}

	// Call is a request with the callbacks that receive its response. The callbacks are called
	// by one goroutine at a time, in the order given here.
	Call struct {
		Head
		// Relayed reports that another daemon handed the call over. It may then cross at most
		// one more link, to an owner.
		Relayed bool
		// Key is the Idempotency-Key that the call was handed over for, "" for none. KeyHeld
		// reports that the receiver is known to hold the key. LookupOnly means that the receiver
		// is only asked whether it does.
		Key        string
		KeyHeld    bool
		LookupOnly bool
		// FirstAttempt reports that the caller sends the key for the first time, so that a call
		// which was handed to no daemon did not run.
		FirstAttempt bool
		// Detour reports that the call's own site does not serve it. The site that it is sent
		// to may refuse it to stay below its own limit.
		Detour bool
		// Body is nil if there is none. It is read only after Admitted was called, unless
		// BodyReady reports that it comes directly from the caller.
		Body      io.Reader
		BodyReady bool
		// ShortBody holds the whole body if it is short, so that a refused attempt costs no extra
		// round trip. Body is nil then.
		ShortBody []byte
		// Admitted is called once a slot is acquired, before anything is sent.
		Admitted func()
		// Start receives the head of the response.
		Start func(Response) error
		// Write receives a part of the response body.
		Write func([]byte) error
		// Trailer receives the trailers, if there are any.
		Trailer func(http.Header)
	}

	// Result is the result of a call.
	Result struct {
		Outcome Outcome
		// Whole reports that the response was passed on completely. An incomplete response
		// must reach the caller as a broken one.
		Whole      bool
		Reason     Reason
		RetryAfter timekeeper.Millis
		Upstream   string
	}
)

// String returns the outcome as it is written in the response header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	}
	return "unknown"
}

// Refused returns the result of a call that did not run.
func Refused(r Reason, after timekeeper.Millis) Result {
	return Result{Outcome: NotRun, Reason: r, RetryAfter: after}
}

// Lost returns the result of a call that may have run.
func Lost(r Reason, upstream string) Result {
	return Result{Outcome: Unknown, Reason: r, Upstream: upstream}
}
