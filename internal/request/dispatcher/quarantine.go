package dispatcher

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// print returns what stands for the request. It takes time in proportion to the body, so it
// is asked for only once there is reason to.
func (x *exchange) print() quarantiner.Fingerprint {
	if x.fingerprint != nil {
		return *x.fingerprint
	}
	c := quarantiner.Content{
		Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI,
		Caller: append(x.caller(), quarantiner.Caller(x.r.Header)...), Body: x.short, Length: x.length,
	}
	if x.stream != nil {
		c.Body = x.beginning
	}
	f := c.Fingerprint()
	x.fingerprint = &f
	return f
}

// suspect returns what was known of the request before its latest sending.
func (x *exchange) suspect() quarantiner.Suspect {
	x.sighting.Fingerprint = x.print()
	return x.sighting.Suspect
}

// suspected tells whether any request is a suspect now: nearly always none is.
func (x *exchange) suspected() bool {
	return x.d.Quarantine != nil && x.d.Quarantine.Any()
}

// barred refuses a request that is in quarantine: at whatever upstream it runs, it is lost,
// and so are the others there.
func (x *exchange) barred() bool {
	if !x.suspected() {
		return false
	}
	x.sighting = x.d.Quarantine.Look(x.print(), x.sighting)
	if x.sighting.Crashes > 0 {
		x.decision.Suspect = x.sighting.Suspect
	}
	if !x.sighting.Barred {
		return false
	}
	x.refuse(http.StatusServiceUnavailable, x.because("quarantined"), x.sighting.After)
	return true
}

// barredNow tells whether the request came into quarantine since it was looked at.
func (x *exchange) barredNow() bool {
	if !x.suspected() {
		return false
	}
	_, held := x.d.Quarantine.Holds(x.print())
	return held
}

// careful tells whether the request has crashed upstreams more than once.
func (x *exchange) careful() bool {
	return x.decision.Suspect.Careful()
}

// placeKey is what the request's upstreams are chosen by. A suspect goes by what it is, away
// from the other requests of its key: those that ran beside it would become suspects with it.
func (x *exchange) placeKey() hasher.Hash {
	if !x.careful() {
		return x.key
	}
	f := x.print()
	return hasher.OfString(string(f[:]))
}

// innocent notes that an upstream gave a whole answer, other than that it failed.
func (x *exchange) innocent(a *sender.Answer) {
	if a.Status >= http.StatusInternalServerError || !x.suspected() {
		return
	}
	if proof := x.d.Fields.Proof; proof == "" || a.Header.Get(proof) != "" {
		x.d.Quarantine.Answered(x.print())
	}
}

// because is a reason for the request's end, behind what happened to it before.
func (x *exchange) because(reason string) string {
	if x.decision.Reason != "" {
		return x.decision.Reason + ", " + reason
	}
	return reason
}

// repeatable tells whether the request could be sent again after it may have run.
func (x *exchange) repeatable() bool {
	return x.route.Kind.Repeatable() && x.stream == nil && len(x.tried)-x.misdirected < x.route.Attempts
}
