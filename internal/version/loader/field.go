package loader

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Lengths of setting paths, such as Version, Limits.BodyBytes, Route.returns.Host and
// Route.returns.Weights.keg-ledger.
const (
	depthFile   = 1
	depthLimits = 2
	depthTable  = 3
	depthWeight = 4
)

const (
	unknownSetting = "unknown setting"

	// maxDuration is the longest time that a file may set.
	maxDuration = timekeeper.Hour
)

var kinds = map[string]matcher.Kind{"once": matcher.Once, "idempotent": matcher.Idempotent, "download": matcher.Download}

// setField stores one setting. It returns the problem with it, or "".
func (b *builder) setField(e parser.Entry) string {
	n := len(e.Path)
	last := e.Path[n-1]
	switch {
	case n == depthFile:
		return b.fileField(last, e)
	case n == depthLimits && e.Path[0] == "Limits":
		return limitField(&b.limits, last, e)
	case n == depthTable && e.Path[0] == "Service":
		return serviceField(b.service(e.Path[1]), last, e)
	case n == depthTable && e.Path[0] == "Upstream":
		return upstreamField(b.upstream(e.Path[1], e.Position), last, e)
	case n == depthTable && e.Path[0] == "Organisation":
		return organisationField(b.organisation(e.Path[1]), last, e)
	case n == depthTable && e.Path[0] == "Route":
		return routeField(b.route(e.Path[1]), last, e)
	case n == depthWeight && e.Path[0] == "Route" && e.Path[2] == "Weights":
		return weightField(b.route(e.Path[1]), last, e)
	}
	return unknownSetting
}

func (b *builder) route(name string) *matcher.Route {
	if b.routes[name] == nil {
		b.routes[name] = &matcher.Route{Name: name, Prefix: "/"}
	}
	return b.routes[name]
}

func (b *builder) service(name string) *matcher.Service {
	if b.services[name] == nil {
		b.services[name] = &matcher.Service{Name: resolver.ServiceName(name)}
	}
	return b.services[name]
}

func (b *builder) upstream(id string, position parser.Position) *upstream {
	if b.upstreams[id] == nil {
		b.upstreams[id] = &upstream{Upstream: cataloger.Upstream{ID: cataloger.UpstreamID(id)}, position: position}
	}
	return b.upstreams[id]
}

func (b *builder) organisation(name string) *authenticator.Organisation {
	if b.organisations[name] == nil {
		b.organisations[name] = &authenticator.Organisation{Name: authenticator.Name(name)}
	}
	return b.organisations[name]
}

func (b *builder) fileField(name string, e parser.Entry) string {
	switch name {
	case "Version":
		return readCount(&b.version, e)
	case "Evacuated":
		return readList(&b.evacuated, e)
	}
	return unknownSetting
}

func limitField(l *matcher.Limits, name string, e parser.Entry) string {
	switch name {
	case "HeaderBytes":
		return readCount(&l.HeaderBytes, e)
	case "BodyBytes":
		return readCount(&l.BodyBytes, e)
	case "HeaderTimeoutMillis":
		return readMillis(&l.HeaderTimeout, e)
	case "IdleTimeoutMillis":
		return readMillis(&l.IdleTimeout, e)
	}
	return unknownSetting
}

func serviceField(s *matcher.Service, name string, e parser.Entry) string {
	switch name {
	case "HealthPath":
		return readText(&s.HealthPath, e)
	case "MaxConnections":
		return readCount(&s.MaxConnections, e)
	case "WarmupMillis":
		return readMillis(&s.Warmup, e)
	case "WarmupPerSecond":
		return readNumber(&s.WarmupPerSecond, e)
	}
	return unknownSetting
}

func upstreamField(u *upstream, name string, e parser.Entry) string {
	switch name {
	case "Service":
		return readText(&u.Service, e)
	case "Address":
		if _, err := netip.ParseAddrPort(e.Text); err != nil {
			return "is not an IP number with a port"
		}
		return readText(&u.Address, e)
	case "Site":
		return readSite(&u.Site, e)
	case "Release":
		return readText(&u.Release, e)
	case "Slots":
		return readCount(&u.Slots, e)
	case "Leaving":
		return readBool(&u.Leaving, e)
	case "ColdMillis":
		return readMillis(&u.ColdUntil, e)
	}
	return unknownSetting
}

func routeField(r *matcher.Route, name string, e parser.Entry) string {
	switch name {
	case "Host":
		problem := readText(&r.Host, e)
		r.Host = strings.ToLower(r.Host)
		return problem
	case "Prefix":
		return readText(&r.Prefix, e)
	case "Kind":
		k, ok := kinds[e.Text]
		r.Kind = k
		return problemUnless(ok, "is not one of once, idempotent, download")
	case "Rank":
		return readCount(&r.Rank, e)
	case "ObjectiveMillis":
		return readMillis(&r.Objective, e)
	case "TimeoutMillis":
		return readMillis(&r.Timeout, e)
	case "Attempts":
		return readCount(&r.Attempts, e)
	case "Regions":
		return readList(&r.Regions, e)
	case "Sticky":
		return readBool(&r.Sticky, e)
	case "Public":
		return readBool(&r.Public, e)
	}
	return unknownSetting
}

func organisationField(o *authenticator.Organisation, name string, e parser.Entry) string {
	switch name {
	case "Keys":
		return readDigests(&o.Keys, e)
	case "Rank":
		return readCount(&o.Rank, e)
	case "PerSecond":
		return readNumber(&o.Limit.PerSecond, e)
	case "Burst":
		return readNumber(&o.Limit.Burst, e)
	case "Regions":
		return readList(&o.Regions, e)
	}
	return unknownSetting
}

// readDigests reads digests of API keys. Problems omit the text, because it may be a
// key.
func readDigests(x *[]authenticator.Digest, e parser.Entry) string {
	if e.Kind != parser.KindList {
		return "is not a list of key digests"
	}
	for i, t := range e.List {
		d, err := authenticator.ParseDigest(t)
		if err != nil {
			return fmt.Sprintf("entry %d is not a key digest as printed by \"gullvale key\"", i+1)
		}
		*x = append(*x, d)
	}
	return ""
}

func weightField(r *matcher.Route, service string, e parser.Entry) string {
	p := matcher.Part{Service: resolver.ServiceName(service)}
	problem := readCount(&p.Weight, e)
	r.Parts = append(r.Parts, p)
	return problem
}

func problemUnless(ok bool, problem string) string {
	if ok {
		return ""
	}
	return problem
}

func readText[T ~string](x *T, e parser.Entry) string {
	*x = T(e.Text)
	return problemUnless(e.Kind == parser.KindText && e.Text != "", "is no text")
}

func readList(x *[]string, e parser.Entry) string {
	*x = e.List
	return problemUnless(e.Kind == parser.KindList, "is not a list of strings")
}

func readBool(x *bool, e parser.Entry) string {
	*x = e.Text == "true"
	return problemUnless(e.Kind == parser.KindBool, "is neither true nor false")
}

func readCount[T ~int | ~int64 | ~uint64](x *T, e parser.Entry) string {
	n, err := strconv.ParseInt(e.Text, 10, 64)
	*x = T(n)
	return problemUnless(e.Kind == parser.KindNumber && err == nil && n >= 0, "is not a whole number of 0 or more")
}

func readNumber(x *float64, e parser.Entry) string {
	n, err := strconv.ParseFloat(e.Text, 64)
	*x = n
	return problemUnless(e.Kind == parser.KindNumber && err == nil && n >= 0 && !math.IsInf(n, 0), "is not a number of 0 or more")
}

func readMillis(x *timekeeper.Millis, e parser.Entry) string {
	problem := readCount(x, e)
	if problem == "" && *x > maxDuration {
		return "is longer than an hour; the unit is milliseconds"
	}
	return problem
}

// readSite reads a site of the form "region/domain".
func readSite(x *registrar.Site, e parser.Entry) string {
	region, domain, ok := strings.Cut(e.Text, "/")
	*x = registrar.Site(e.Text)
	return problemUnless(ok && region != "" && domain != "", "is not of the form region/domain")
}
