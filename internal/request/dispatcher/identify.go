package dispatcher

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// The reasons for which a request is refused by whose it is.
const (
	reasonUnknownKey = "unknown key"
	reasonNoRegion   = "no region allowed"
	reasonUncertain  = "keys unconfirmed"
)

// identify finds whose request it is by the configuration that resolve has found, and
// refuses it if the request must say and does not.
func (x *exchange) identify() bool {
	x.organisation, x.fingerprint = nil, nil
	d := x.config.Organisations
	if x.route.Public || !d.Required() {
		return true
	}
	key, flaw := authenticator.Credential(x.r.Header[http.CanonicalHeaderKey(x.d.Fields.Credential)])
	if flaw != authenticator.Sound {
		// A newer configuration may have made the route public.
		x.deny(http.StatusUnauthorized, string(flaw))
		return false
	}
	if x.d.Uncertain != nil && x.d.Uncertain() {
		x.refuse(http.StatusServiceUnavailable, reasonUncertain, unknownRetryAfter)
		return false
	}
	o := d.Holder(key)
	if o == nil {
		x.deny(http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	x.organisation, x.decision.Organisation = o, o.Name
	if !x.hasRegion() {
		x.deny(http.StatusForbidden, reasonNoRegion)
		return false
	}
	return true
}

// hasRegion tells whether route and organisation allow any region in common.
func (x *exchange) hasRegion() bool {
	regions := x.route.Regions
	if len(regions) == 0 {
		return true
	}
	for _, r := range regions {
		if x.organisation.Allows(r) {
			return true
		}
	}
	return false
}

// allowed tells whether the request may run in a region: route and organisation both bind.
func (x *exchange) allowed(region string) bool {
	return x.route.Allows(region) && x.organisation.Allows(region)
}

// urgent tells whether no request of the configuration goes before this one. The
// organisation's rank goes before the route's.
func (x *exchange) urgent() bool {
	if o := x.organisation; o != nil && o.Rank != x.config.Leading() {
		return false
	}
	return x.route.Rank <= x.config.Urgent(x.part)
}

// bindKey gives the request's key a home of its own for organisations of the same regions if
// the home that all share is where this one must not go: that home would move with each
// request of the one or the other.
func (x *exchange) bindKey(all []*cataloger.Upstream) {
	x.key = x.sharedKey
	if b := x.organisation.Bound(); b != 0 && x.d.Homes.Barred(x.key, all, x.allowed) {
		x.key = hasher.Mix(x.key, b)
	}
}

// nameOrganisation tells the upstream whose request it is, whatever the caller sent.
func (x *exchange) nameOrganisation(h http.Header) {
	f := x.d.Fields.Organisation
	if f == "" {
		return
	}
	if x.organisation == nil {
		h.Del(f)
		return
	}
	h[http.CanonicalHeaderKey(f)] = []string{string(x.organisation.Name)}
}

// caller says who asks, for the request's fingerprint: the organisation and not its key, so
// that another key of it does not make another request.
func (x *exchange) caller() []string {
	if x.organisation == nil {
		return nil
	}
	return []string{"organisation", string(x.organisation.Name)}
}
