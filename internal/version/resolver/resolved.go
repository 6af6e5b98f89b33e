package resolver

import (
	"maps"
	"slices"

	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Service holds the effective settings of one service at one site. Sites without
	// upstreams have settings too, because callers contact entries there.
	Service struct {
		Name      ServiceName
		Site      registrar.Site
		Upstreams []string
		Slots     int
		Class     Class
		Limit     float64
		Deadline  timekeeper.Millis
		MaxBody   int64
		// ExportRate is the number of bytes per second that exports of the region may
		// send to another region; 0 means no limit.
		ExportRate        int64
		QueueLength       int
		LookupLifetime    timekeeper.Millis
		Entries           int
		IdempotentMethods []string
		RefusalHeader     string
		DrainHeader       string
		ProbePath         string
		ProbeInterval     timekeeper.Millis
		RetryBudget       float64
		// MoveCap is the largest fraction of the traffic that may move per minute.
		MoveCap float64
		// Drained reports whether this level or a higher one is drained. The drain
		// expires at the wall-clock time DrainedUntil, or never if that is 0.
		Drained      bool
		DrainedUntil timekeeper.Millis
	}

	// Shift moves a fraction of the traffic of one region to another.
	Shift struct {
		Service ServiceName
		From    string
		To      string
		Share   float64
		// Cap is the largest fraction of the traffic that may move per minute.
		Cap float64
	}

	// Resolved holds the effective settings of a whole tree. It is immutable.
	Resolved struct {
		Services   []ServiceName
		Sites      []registrar.Site
		Shifts     []Shift
		BlockTable string
		// KeyRetention is how long idempotency keys are remembered.
		KeyRetention timekeeper.Millis

		bySite map[registrar.Site]map[ServiceName]*Service
		hosts  map[string]ServiceName
	}
)

// Resolve computes the effective settings of every service at every site in the tree.
func (t Tree) Resolve() *Resolved {
	r := &Resolved{
		bySite: map[registrar.Site]map[ServiceName]*Service{},
		hosts:  map[string]ServiceName{},
	}
	r.Services, r.Sites = t.names()
	for _, s := range r.Sites {
		r.bySite[s] = map[ServiceName]*Service{}
		for _, n := range r.Services {
			r.bySite[s][n] = t.resolveService(s, n)
		}
	}
	for _, p := range t.Paths() {
		for _, h := range t.nodes[p][KeyHosts].list() {
			r.hosts[h] = p.Service
		}
		if to, ok := t.nodes[p][KeyShiftTo]; ok {
			r.Shifts = append(r.Shifts, t.resolveShift(p, string(to)))
		}
	}
	v, _ := t.lookup(Path{}, KeyBlockTable)
	r.BlockTable = string(v)
	v, _ = t.lookup(Path{}, KeyKeyRetention)
	r.KeyRetention = timekeeper.Millis(v.int())
	return r
}

func (t Tree) names() ([]ServiceName, []registrar.Site) {
	services := map[ServiceName]bool{}
	sites := map[registrar.Site]bool{}
	for p := range t.nodes {
		if p.Service != "" {
			services[p.Service] = true
		}
		if p.Domain != "" {
			sites[SiteOf(p)] = true
		}
	}
	return slices.Sorted(maps.Keys(services)), slices.Sorted(maps.Keys(sites))
}

// SiteOf returns the site of a path that names a failure domain.
func SiteOf(p Path) registrar.Site {
	return registrar.Site(p.Region + "/" + p.Domain)
}

// PathOf returns the path of a site, or of a service at that site if n is not empty.
func PathOf(s registrar.Site, n ServiceName) Path {
	return Path{Region: s.Region(), Domain: s.Domain(), Service: n}
}

func (t Tree) resolveShift(p Path, to string) Shift {
	n := t.nodes[p]
	return Shift{
		Service: p.Service,
		From:    p.Region,
		To:      to,
		Share:   n[KeyShiftShare].fraction(),
		Cap:     n[KeyShiftCap].fraction(),
	}
}

func (t Tree) resolveService(site registrar.Site, name ServiceName) *Service {
	p := PathOf(site, name)
	get := func(k Key) Value {
		v, _ := t.lookup(p, k)
		return v
	}
	s := &Service{
		Name:              name,
		Site:              site,
		Upstreams:         t.nodes[p][KeyUpstreams].list(),
		Slots:             int(get(KeySlots).int()),
		Class:             Class(get(KeyClass)),
		Limit:             get(KeyLimit).fraction(),
		Deadline:          timekeeper.Millis(get(KeyDeadline).int()),
		MaxBody:           get(KeyMaxBody).int(),
		ExportRate:        get(KeyExportRate).int(),
		QueueLength:       int(get(KeyQueueLength).int()),
		LookupLifetime:    timekeeper.Millis(get(KeyLookupLifetime).int()),
		Entries:           int(get(KeyEntries).int()),
		IdempotentMethods: get(KeyIdempotentMethods).list(),
		RefusalHeader:     string(get(KeyRefusalHeader)),
		DrainHeader:       string(get(KeyDrainHeader)),
		ProbePath:         string(get(KeyProbePath)),
		ProbeInterval:     timekeeper.Millis(get(KeyProbeInterval).int()),
		RetryBudget:       get(KeyRetryBudget).fraction(),
		MoveCap:           get(KeyMoveCap).fraction(),
	}
	s.Drained, s.DrainedUntil = t.drained(p)
	return s
}

// drained reports whether p or any level above it is drained, and until when; 0 means
// without end. "Drain = false" at a lower level does not override a drain above it:
// draining a region means all of the region.
func (t Tree) drained(p Path) (bool, timekeeper.Millis) {
	var drained bool
	var until timekeeper.Millis
	for _, q := range p.lookupOrder() {
		n := t.nodes[q]
		if n[KeyDrain] != "true" {
			continue
		}
		end := n[KeyDrainUntil].millis()
		if end == 0 {
			return true, 0
		}
		drained = true
		until = max(until, end)
	}
	return drained, until
}

// DrainedAt reports whether the service is drained at wall-clock time now.
func (s *Service) DrainedAt(now timekeeper.Millis) bool {
	return s.Drained && (s.DrainedUntil == 0 || now < s.DrainedUntil)
}

// Idempotent reports whether a request with the given method may run more than once.
func (s *Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// Capacity returns the number of requests that the upstreams of s serve concurrently.
func (s *Service) Capacity() int {
	return len(s.Upstreams) * s.Slots
}

// At returns the settings of a service at a site, or nil if the tree does not contain
// the service or the site.
func (r *Resolved) At(site registrar.Site, name ServiceName) *Service {
	return r.bySite[site][name]
}

// HasService reports whether the tree contains the service.
func (r *Resolved) HasService(name ServiceName) bool {
	_, ok := slices.BinarySearch(r.Services, name)
	return ok
}

// ServiceByHost returns the service that a Host header value selects, and whether there is
// one.
func (r *Resolved) ServiceByHost(host string) (ServiceName, bool) {
	n, ok := r.hosts[host]
	return n, ok
}
