package matcher

import (
	"cmp"
	"errors"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// Kinds of requests. The zero value is the most restrictive.
const (
	// Once is a request that must not run more than once.
	Once Kind = iota
	// Idempotent is a request that may be retried.
	Idempotent
	// Download is an idempotent request with a large response.
	Download
)

type (
	// Kind determines whether a request may be retried.
	Kind uint8

	// Version is the sequence number of a configuration. It only increases.
	Version uint64

	// Rank is the priority of a route; 0 is the most urgent.
	Rank int

	// Part is one service of a route and its relative share of the requests.
	Part struct {
		Service resolver.ServiceName
		Weight  int
	}

	// Route defines how requests to one host under one path prefix are handled.
	Route struct {
		Name string
		Host string
		// Prefix is the path prefix. It begins and ends with a slash.
		Prefix string
		Kind   Kind
		Rank   Rank
		// Objective is the target response time; a later response is of less use to the
		// caller.
		Objective timekeeper.Millis
		// Timeout is the longest time that a request waits; 0 means that only the
		// caller limits it.
		Timeout timekeeper.Millis
		// Attempts is the maximum number of upstreams to which one request is sent.
		Attempts int
		Parts    []Part
		// Regions are the regions in which the requests may run; none means all.
		Regions []string
		// Sticky reports that an upstream handles a key faster if it has handled it
		// recently.
		Sticky bool
		// LargeBodies reports that requests or responses have large bodies, which should not
		// cross between failure domains.
		LargeBodies bool
		// Public reports that requests need no credential.
		Public bool

		totalWeight int
		hash        hasher.Hash
	}

	// Service holds the settings of the upstreams of one service.
	Service struct {
		Name       resolver.ServiceName
		HealthPath string
		// MaxConnections is the number of connections that one upstream accepts from
		// all daemons together.
		MaxConnections int
		// Warmup is how long an upstream stays cold after its start, and
		// WarmupPerSecond the number of requests per second that it can handle during
		// that time.
		Warmup          timekeeper.Millis
		WarmupPerSecond float64
	}

	// Limits bound the sizes and times of requests from callers.
	Limits struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout timekeeper.Millis
		IdleTimeout   timekeeper.Millis
	}

	// Config is one version of routes, services, limits and organisations.
	Config struct {
		Version  Version
		Limits   Limits
		Services map[resolver.ServiceName]Service
		// Organisations are those that may send requests; nil means that requests need
		// no credential.
		Organisations *authenticator.Directory

		hosts map[string][]*Route
		// mostUrgent is the most urgent rank of the routes to each service.
		mostUrgent map[resolver.ServiceName]Rank
		// mostUrgentOrganisation is the most urgent rank of any organisation.
		mostUrgentOrganisation authenticator.Rank
	}
)

// New validates routes and services and returns them as a configuration. The error
// joins all problems found.
func New(v Version, l Limits, routes []Route, services []Service) (*Config, error) {
	c := &Config{
		Version:    v,
		Limits:     l,
		Services:   make(map[resolver.ServiceName]Service, len(services)),
		hosts:      map[string][]*Route{},
		mostUrgent: map[resolver.ServiceName]Rank{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	var problems []error
	for _, r := range routes {
		problems = append(problems, c.checkRoute(&r)...)
		r.precompute()
		c.hosts[r.Host] = append(c.hosts[r.Host], &r)
		c.updateMostUrgent(&r)
	}
	for _, h := range c.hosts {
		slices.SortFunc(h, longestFirst)
	}
	return c, errors.Join(problems...)
}

// Match returns the route of a request, or nil if there is none. The path is that of
// the request line, not decoded.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MostUrgentRank returns the most urgent rank of the routes to a service.
func (c *Config) MostUrgentRank(s resolver.ServiceName) Rank {
	return c.mostUrgent[s]
}

// MostUrgentOrganisationRank returns the most urgent rank of any organisation.
func (c *Config) MostUrgentOrganisationRank() authenticator.Rank {
	return c.mostUrgentOrganisation
}

// SetOrganisations sets the organisations of the configuration. If d is not nil, requests must
// carry the credential of one of them.
func (c *Config) SetOrganisations(d *authenticator.Directory) {
	c.Organisations = d
	for i, o := range d.All() {
		if i == 0 || o.Rank < c.mostUrgentOrganisation {
			c.mostUrgentOrganisation = o.Rank
		}
	}
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, h := range c.hosts {
		n += len(h)
	}
	return n
}

// Retryable reports whether a request may be retried.
func (k Kind) Retryable() bool {
	return k == Idempotent || k == Download
}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	}
	return "once"
}

// Service selects the service of a request by the weights of the parts. The same key
// always selects the same service, so that only one service has to remember the key.
func (r *Route) Service(key hasher.Hash) resolver.ServiceName {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	n := int(uint64(hasher.Mix(key, r.hash)) % uint64(max(r.totalWeight, 1)))
	for _, p := range r.Parts {
		n -= p.Weight
		if n < 0 {
			return p.Service
		}
	}
	return r.Parts[0].Service
}

// Hash returns a hash of the route's name.
func (r *Route) Hash() hasher.Hash {
	return r.hash
}

// Uses reports whether the route sends requests to a service.
func (r *Route) Uses(s resolver.ServiceName) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool {
		return p.Service == s && (p.Weight > 0 || len(r.Parts) == 1)
	})
}

// Allows reports whether requests of the route may run in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

func (c *Config) updateMostUrgent(r *Route) {
	for _, p := range r.Parts {
		rank, ok := c.mostUrgent[p.Service]
		if !ok || r.Rank < rank {
			c.mostUrgent[p.Service] = r.Rank
		}
	}
}

func (r *Route) precompute() {
	r.hash = hasher.OfString(r.Name)
	for _, p := range r.Parts {
		r.totalWeight += p.Weight
	}
	r.Attempts = max(r.Attempts, 1)
}

func (c *Config) checkRoute(r *Route) (problems []error) {
	report := func(format string, args ...any) {
		problems = append(problems, eris.Errorf("route "+r.Name+": "+format, args...))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		report("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Parts) == 0 {
		report("no service")
	}
	for _, p := range r.Parts {
		if _, ok := c.Services[p.Service]; !ok {
			report("unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			report("service %q has weight %d", p.Service, p.Weight)
		}
	}
	return problems
}

func longestFirst(a, b *Route) int {
	return cmp.Compare(len(b.Prefix), len(a.Prefix))
}

// hostName returns a Host header value in lower case and without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
