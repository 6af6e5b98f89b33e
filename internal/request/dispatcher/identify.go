package dispatcher

import (
	"net/http"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/hasher"
)

// Reasons for refusing a request because of its organisation or API key.
const (
	reasonUnknownKey      = "unknown key"
	reasonNoRegion        = "no region allowed"
	reasonKeysUnconfirmed = "keys unconfirmed"
)

// identify determines the organisation that sent the request from the configuration found by
// resolve. It refuses the request if the route requires an API key and the request has no
// valid one.
func (x *exchange) identify() bool {
	x.organisation, x.fingerprint = nil, nil
	d := x.config.Organisations
	if x.route.Public || !d.Required() {
		return true
	}
	key, status := authenticator.Credential(x.r.Header[http.CanonicalHeaderKey(x.d.Fields.Credential)])
	if status != authenticator.Valid {
		// A newer configuration may have made the route public.
		x.deny(http.StatusUnauthorized, string(status))
		return false
	}
	if x.d.KeysUnconfirmed != nil && x.d.KeysUnconfirmed() {
		x.refuseNotRun(http.StatusServiceUnavailable, reasonKeysUnconfirmed, unknownRetryAfter)
		return false
	}
	o := d.Holder(key)
	if o == nil {
		x.deny(http.StatusUnauthorized, reasonUnknownKey)
		return false
	}
	x.organisation, x.decision.Organisation = o, o.Name
	if !x.hasCommonRegion() {
		x.deny(http.StatusForbidden, reasonNoRegion)
		return false
	}
	return true
}

// hasCommonRegion reports whether route and organisation allow any region in common.
func (x *exchange) hasCommonRegion() bool {
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

// allowsRegion reports whether both route and organisation allow the request to run in region.
func (x *exchange) allowsRegion(region string) bool {
	return x.route.Allows(region) && x.organisation.Allows(region)
}

// hasTopRank reports whether no request of the configuration takes precedence over this one.
// The organisation's rank is compared before the route's.
func (x *exchange) hasTopRank() bool {
	if o := x.organisation; o != nil && o.Rank != x.config.MostUrgentOrganisationRank() {
		return false
	}
	return x.route.Rank <= x.config.MostUrgentRank(x.service)
}

// selectHomeKey sets the key by which the request is placed. It is the key that all
// organisations share, unless the organisation is restricted to some regions and the home of
// that key is in a region where the request may not run: then it is one that only
// organisations with the same regions share. A common home would move back and forth between
// their requests.
//
// A key of a route with large bodies may have a home in each failure domain.
func (x *exchange) selectHomeKey(all *cataloger.Pool) {
	x.key, x.homeDomain = x.sharedKey, ""
	if b := x.organisation.RegionsHash(); b != 0 && x.d.Homes.HomeNotAllowed(x.key, all, x.allowsRegion) {
		x.key = hasher.Mix(x.key, b)
	}
	if x.route.LargeBodies {
		x.key, x.homeDomain = x.d.Homes.Localize(x.key, x.homeRequest(), all)
	}
}

// setOrganisation sets the header field that names the organisation to the upstream, and drops
// any value that the caller sent.
func (x *exchange) setOrganisation(h http.Header) {
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

// callerIdentity returns what identifies the caller in the request's fingerprint: the
// organisation rather than its API key, so that the fingerprint is the same for all keys of an
// organisation.
func (x *exchange) callerIdentity() []string {
	if x.organisation == nil {
		return nil
	}
	return []string{"organisation", string(x.organisation.Name)}
}
