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

// The kinds of request. The zero value allows least.
const (
	// Once is a request that must not run twice.
	Once Kind = iota
	// Idempotent is a request that may run again.
	Idempotent
	// Download is an idempotent request with a large answer.
	Download
)

type (
	// Kind says what may be repeated.
	Kind uint8

	// Version numbers configurations. It only grows.
	Version uint64

	// Rank orders kinds of request: 0 is the most urgent.
	Rank int

	// Part is one service of a route and its share of the requests.
	Part struct {
		Service resolver.ServiceName
		Weight  int
	}

	// Route says how requests of one host under one prefix are handled.
	Route struct {
		Name string
		Host string
		// Prefix begins the path, and begins and ends with a slash.
		Prefix string
		Kind   Kind
		Rank   Rank
		// Objective is the time within which an answer is of full use.
		Objective timekeeper.Millis
		// Timeout is the longest time that a request is kept waiting; 0 means
		// no limit but the caller's.
		Timeout timekeeper.Millis
		// Attempts is the most upstreams that one request may be sent to.
		Attempts int
		Parts    []Part
		// Regions are where the requests may run; none means anywhere.
		Regions []string
		// Sticky tells that an upstream works faster on a key it ran lately.
		Sticky bool
		// Public tells that requests need not say whose they are.
		Public bool

		totalWeight int
		hash        hasher.Hash
	}

	// Service is what the configuration says of the upstreams of one service.
	Service struct {
		Name       resolver.ServiceName
		HealthPath string
		// MaxConnections is what one upstream takes from all daemons together.
		MaxConnections int
		// Warmup is how long an upstream stays cold after its start, and
		// WarmupPerSecond the rate of requests that it bears meanwhile.
		Warmup          timekeeper.Millis
		WarmupPerSecond float64
	}

	// Limits bound what a caller may send.
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
		// Organisations are those that may send requests; nil means that anybody may.
		Organisations *authenticator.Directory

		hosts map[string][]*Route
		// mostUrgent is the most urgent rank of each service.
		mostUrgent map[resolver.ServiceName]Rank
		// mostUrgentOrganisation is the most urgent rank of an organisation.
		mostUrgentOrganisation authenticator.Rank
	}
)

// New checks routes and services and returns them as one configuration. It
// reports all that is wrong at once.
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

// Match returns the route of a request, nil for none. The path is that of the
// request line, as it was sent.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Urgent returns the most urgent rank of the requests to a service.
func (c *Config) Urgent(s resolver.ServiceName) Rank {
	return c.mostUrgent[s]
}

// Leading returns the most urgent rank of an organisation.
func (c *Config) Leading() authenticator.Rank {
	return c.mostUrgentOrganisation
}

// Admit makes the configuration one in which requests must say whose they are.
func (c *Config) Admit(d *authenticator.Directory) {
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

// Repeatable tells whether a request may run again.
func (k Kind) Repeatable() bool {
	return k == Idempotent || k == Download
}

// String names the kind as in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Download:
		return "download"
	}
	return "once"
}

// Service picks the service of a request by the weights of the parts: the same
// key always goes to the same part, so that one service remembers it.
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

// Hash identifies the route by name.
func (r *Route) Hash() hasher.Hash {
	return r.hash
}

// Allows tells whether requests of the route may run in a region.
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
	bad := func(format string, args ...any) {
		problems = append(problems, eris.Errorf("route "+r.Name+": "+format, args...))
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		bad("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Parts) == 0 {
		bad("no service")
	}
	for _, p := range r.Parts {
		if _, ok := c.Services[p.Service]; !ok {
			bad("unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			bad("service %q has weight %d", p.Service, p.Weight)
		}
	}
	return problems
}

func longestFirst(a, b *Route) int {
	return cmp.Compare(len(b.Prefix), len(a.Prefix))
}

// hostName strips a port and folds the case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
