package exchanger

import (
	"io"
	"net/http"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The outcomes. The zero value claims least.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run and never will.
	NotRun
	// Answered means that the upstream answered it.
	Answered
)

// The reasons for any outcome but an answer.
const (
	ReasonNone           Reason = ""
	ReasonQueueFull      Reason = "queue full"
	ReasonDeadline       Reason = "deadline"
	ReasonEntryFull      Reason = "too many requests at the entry"
	ReasonAtLimit        Reason = "site at its limit"
	ReasonNoTime         Reason = "no slot in time"
	ReasonCancelled      Reason = "cancelled"
	ReasonNoUpstream     Reason = "no upstream"
	ReasonNotOwner       Reason = "not the owner"
	ReasonNoEntry        Reason = "no entry for the site"
	ReasonUpstreamDial   Reason = "upstream not reached"
	ReasonUpstreamLost   Reason = "upstream connection lost"
	ReasonUpstreamEnded  Reason = "upstream ended"
	ReasonUpstreamBusy   Reason = "upstream refused"
	ReasonQuarantined    Reason = "quarantined"
	ReasonLinkDial       Reason = "link not reached"
	ReasonLinkLost       Reason = "link lost"
	ReasonBody           Reason = "body not received whole"
	ReasonBodyTooLarge   Reason = "body too large"
	ReasonStopping       Reason = "stopping"
	ReasonPaused         Reason = "membership lapsed"
	ReasonUnknownService Reason = "unknown service"
	ReasonBadRequest     Reason = "bad request"
	ReasonHomeLost       Reason = "home of the key lost"
	ReasonKeyReused      Reason = "key used for another request"
	ReasonKeysFull       Reason = "too many keys"
	ReasonKeyAbsent      Reason = "key not known"
	ReasonNotKept        Reason = "answer not kept"
)

type (
	// Outcome says what became of a request.
	Outcome uint8

	// Reason says why a request has the outcome that it has.
	Reason string

	// RequestID names one request within the fleet.
	RequestID string

	// Head is everything about a request but its body.
	Head struct {
		ID      RequestID
		Service resolver.ServiceName
		// Site is where the request is to run.
		Site registrar.Site
		// Origin is the failure domain of the caller's block.
		Origin registrar.Site
		Method string
		// Target is the path and query.
		Target string
		Host   string
		Header http.Header
		// Length is the length of the body, -1 when it is not known.
		Length int64
		// Deadline is a reading of this process's monotonic clock, 0 for none.
		Deadline timekeeper.Millis
	}

	// Answer is the head of an upstream's answer.
	Answer struct {
		Status   int
		Header   http.Header
		Length   int64
		Upstream string
	}

	// Call is one request and where its answer goes. The functions are called
	// by one goroutine at a time, in their order here.
	Call struct {
		Head
		// Relayed tells that another daemon handed the call over and that it
		// may go one link further at most, to an owner.
		Relayed bool
		// Key is the Idempotency-Key that the call was handed over for, "" for
		// none. Held tells that the receiver is known to hold the key, Look that
		// it is only asked whether it does.
		Key  string
		Held bool
		Look bool
		// FirstTry tells that the caller sends the key for the first time, so
		// that a call which was handed to nobody did not run.
		FirstTry bool
		// Detour tells that the call's own site does not serve it; the one
		// that it is sent to may refuse it to stay below its limit.
		Detour bool
		// Body is nil when there is none. It is read only after Admitted, unless BodyReady
		// tells that it comes from the caller itself.
		Body      io.Reader
		BodyReady bool
		// Short holds the whole body when it is short, so that a refused try
		// costs no extra round trip; Body is nil then.
		Short []byte
		// Admitted is called once a slot is held, before anything is sent.
		Admitted func()
		// Start receives the head of the answer.
		Start func(Answer) error
		// Write receives a piece of the body of the answer.
		Write func([]byte) error
		// Trailer receives the trailers, if there are any.
		Trailer func(http.Header)
	}

	// Result is how a call ended.
	Result struct {
		Outcome Outcome
		// Whole tells that the answer was handed on to its end. An answer that
		// is not whole must reach the caller as a broken one.
		Whole      bool
		Reason     Reason
		RetryAfter timekeeper.Millis
		Upstream   string
	}
)

// String names the outcome as it stands in the answer's header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	}
	return "unknown"
}

// Refused is the result of a call that did not run.
func Refused(r Reason, after timekeeper.Millis) Result {
	return Result{Outcome: NotRun, Reason: r, RetryAfter: after}
}

// Lost is the result of a call that may have run.
func Lost(r Reason, upstream string) Result {
	return Result{Outcome: Unknown, Reason: r, Upstream: upstream}
}
