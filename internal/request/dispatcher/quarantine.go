package dispatcher

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/connection/sender"
	"github.com/gullvale/gullvale/internal/request/quarantiner"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// requestFingerprint returns the fingerprint of the request. It takes time proportional to the
// body, so it is computed only when needed.
func (x *exchange) requestFingerprint() quarantiner.Fingerprint {
	if x.fingerprint != nil {
		return *x.fingerprint
	}
	c := quarantiner.Content{
		Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI,
		Caller: append(x.callerIdentity(), quarantiner.CallerCredentials(x.r.Header)...), Body: x.bufferedBody, Length: x.bodyLength,
	}
	if x.streamedBody != nil {
		c.Body = x.bodyPrefix
	}
	f := c.Fingerprint()
	x.fingerprint = &f
	return f
}

// currentSuspect returns what was known of the request before its last attempt.
func (x *exchange) currentSuspect() quarantiner.Suspect {
	x.observation.Fingerprint = x.requestFingerprint()
	return x.observation.Suspect
}

// anySuspects reports whether any request is currently a suspect. Usually none is.
func (x *exchange) anySuspects() bool {
	return x.d.Quarantine != nil && x.d.Quarantine.HasSuspects()
}

// refuseQuarantined refuses a request that is in quarantine and reports whether it did: the
// request would crash any upstream that runs it, and with it the other requests there.
func (x *exchange) refuseQuarantined() bool {
	if !x.anySuspects() {
		return false
	}
	x.observation = x.d.Quarantine.Check(x.requestFingerprint(), x.observation)
	if x.observation.Crashes > 0 {
		x.decision.Suspect = x.observation.Suspect
	}
	if !x.observation.Refused {
		return false
	}
	x.refuseNotRun(http.StatusServiceUnavailable, x.withPriorReason("quarantined"), x.observation.After)
	return true
}

// quarantinedNow reports whether the request is in quarantine now. It may have been
// quarantined since it was checked.
func (x *exchange) quarantinedNow() bool {
	if !x.anySuspects() {
		return false
	}
	_, held := x.d.Quarantine.Remaining(x.requestFingerprint())
	return held
}

// isolated reports whether the request has crashed more than one upstream.
func (x *exchange) isolated() bool {
	return x.decision.Suspect.Isolated()
}

// placementKey returns the hash by which the request's upstreams are chosen. A request that
// crashed more than one upstream is placed by its fingerprint, apart from the other requests
// of its key: those that run beside it would become suspects as well.
func (x *exchange) placementKey() hasher.Hash {
	if !x.isolated() {
		return x.key
	}
	f := x.requestFingerprint()
	return hasher.OfString(string(f[:]))
}

// clearSuspect clears the request of suspicion after a complete response other than a server
// error.
func (x *exchange) clearSuspect(resp *sender.Response) {
	if resp.Status >= http.StatusInternalServerError || !x.anySuspects() {
		return
	}
	if proof := x.d.Fields.Proof; proof == "" || resp.Header.Get(proof) != "" {
		x.d.Quarantine.RecordAnswer(x.requestFingerprint())
	}
}

// withPriorReason returns reason, preceded by the reason of the last attempt if there is one.
func (x *exchange) withPriorReason(reason string) string {
	if x.decision.Reason != "" {
		return x.decision.Reason + ", " + reason
	}
	return reason
}

// retryable reports whether the request could be sent again after it may have run.
func (x *exchange) retryable() bool {
	return x.route.Kind.Retryable() && x.streamedBody == nil && len(x.attempted)-x.misdirected < x.route.Attempts
}
