package relayer

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// The outcomes that a helper states.
const (
	// Answered means that the response is the upstream's.
	Answered Outcome = "answered"
	// Refused means that the helper did not try to send the request.
	Refused Outcome = "refused"
	// NotReached means that the helper could not connect to the upstream, so that the request
	// did not run.
	NotReached Outcome = "not-reached"
	// Lost means that the request was sent and may have run, and got no valid response.
	Lost Outcome = "lost"
	// Probed is the outcome of a probe. Its reason is the state of the upstream.
	Probed Outcome = "probed"
)

// ReasonNotReached is the reason of a request that could not be handed over.
const ReasonNotReached Reason = "helper not reached"

// The reasons of Refused.
const (
	ReasonBusy        Reason = "helper busy"
	ReasonCut         Reason = "helper reaches no upstream"
	ReasonLeaving     Reason = "helper stopping"
	ReasonNoMember    Reason = "not a member"
	ReasonMalformed   Reason = "malformed call"
	ReasonNotUsable   Reason = "upstream takes no requests"
	ReasonNotAllowed  Reason = "not allowed by the helper's configuration"
	ReasonNotInRegion Reason = "not allowed in the helper's region"
)

// Header fields between members. All begin with fieldPrefix.
const (
	fieldPrefix   = "Gullvale-Relay-"
	fromField     = fieldPrefix + "From"
	upstreamField = fieldPrefix + "Upstream"
	bornField     = fieldPrefix + "Born"
	serviceField  = fieldPrefix + "Service"
	timeField     = fieldPrefix + "Time-Ms"
	probeField    = fieldPrefix + "Probe"
	againField    = fieldPrefix + "Again"
	outcomeField  = fieldPrefix + "Outcome"
	reasonField   = fieldPrefix + "Reason"
)

type (
	// Outcome is what became of a request that was handed over.
	Outcome string

	// Reason explains an outcome.
	Reason string

	// Call is what a request that is handed over says of its attempt.
	Call struct {
		// From is the name of the member that hands the request over.
		From     string
		Upstream cataloger.Incarnation
		Service  resolver.ServiceName
		// Time is how long the attempt may take.
		Time timekeeper.Millis
		// Probe means that nothing is sent: the helper only connects to the upstream.
		Probe bool
		// Again means that the helper was handed the request before. It opens a connection for this
		// attempt: an upstream may send its response to the one before again.
		Again bool
	}

	// Result is what a helper states about a request.
	Result struct {
		Outcome Outcome
		Reason  Reason
	}
)

// IsCall reports whether a request between members is handed over.
func IsCall(h http.Header) bool {
	return h.Get(upstreamField) != ""
}

// WriteTo sets the header fields of a call.
func (c Call) WriteTo(h http.Header) {
	h.Set(fromField, c.From)
	h.Set(upstreamField, string(c.Upstream.ID))
	h.Set(bornField, strconv.FormatInt(int64(c.Upstream.Born), 10))
	h.Set(serviceField, string(c.Service))
	h.Set(timeField, strconv.FormatInt(int64(c.Time), 10))
	if c.Probe {
		h.Set(probeField, "1")
	}
	if c.Again {
		h.Set(againField, "1")
	}
}

// ReadCall reads the header fields of a call.
func ReadCall(h http.Header) (Call, error) {
	born, err := strconv.ParseInt(h.Get(bornField), 10, 64)
	if err != nil {
		return Call{}, eris.Wrap(err, bornField)
	}
	length, err := strconv.ParseInt(h.Get(timeField), 10, 64)
	if err != nil || length <= 0 {
		return Call{}, eris.Errorf("%s: %q is no duration in milliseconds", timeField, h.Get(timeField))
	}
	return Call{
		From:     h.Get(fromField),
		Upstream: cataloger.Incarnation{ID: cataloger.UpstreamID(h.Get(upstreamField)), Born: timekeeper.Millis(born)},
		Service:  resolver.ServiceName(h.Get(serviceField)),
		Time:     timekeeper.Millis(length),
		Probe:    h.Get(probeField) != "",
		Again:    h.Get(againField) != "",
	}, nil
}

// WriteTo sets the header fields of a result.
func (r Result) WriteTo(h http.Header) {
	h.Set(outcomeField, string(r.Outcome))
	if r.Reason != "" {
		h.Set(reasonField, string(r.Reason))
	}
}

// ReadResult reads the result of a helper's response. Its Outcome is "" if there is none.
func ReadResult(h http.Header) Result {
	return Result{Outcome: Outcome(h.Get(outcomeField)), Reason: Reason(h.Get(reasonField))}
}

// RemoveFields removes the header fields of this package.
func RemoveFields(h http.Header) {
	for n := range h {
		if strings.HasPrefix(n, fieldPrefix) {
			delete(h, n)
		}
	}
}
