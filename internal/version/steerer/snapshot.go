package steerer

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/gullvale/gullvale/internal/version/locator"
	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/recorder"
	"github.com/gullvale/gullvale/pkg/registrar"
	"github.com/gullvale/gullvale/pkg/sharer"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// unknownOrigin is the origin of callers in regions without upstreams.
const unknownOrigin registrar.Site = ""

type (
	// Inputs holds what a snapshot is built from.
	Inputs struct {
		Settings *resolver.Resolved
		Number   recorder.Number
		Plan     planner.Plan
		View     *registrar.View
		Table    *locator.Table
		// Home is the site of this daemon. It is also the origin of callers outside all
		// blocks.
		Home registrar.Site
		// Self is this daemon. Responses that name a site in another region list it as
		// the last entry: the entries of that region may all be lost, while the daemon
		// that serves the lookup is alive.
		Self registrar.Member
		// Wall is the wall-clock time at which the snapshot is built. Without a plan it
		// determines which drains have expired.
		Wall timekeeper.Millis
	}

	// Snapshot is one immutable version of all routing state.
	Snapshot struct {
		Inputs
		routes    map[routeKey]*route
		responses map[responseKey][][]byte
	}

	// Response is the response to a lookup.
	Response struct {
		Service resolver.ServiceName
		Site    registrar.Site
		// Entries are the daemons to contact, in order of preference.
		Entries        []Entry
		LifetimeMillis timekeeper.Millis
		Settings       recorder.Number
		Plan           planner.Number
	}

	// Entry is one daemon in a response.
	Entry struct {
		Address     string
		Incarnation registrar.Incarnation
	}

	routeKey struct {
		service resolver.ServiceName
		origin  registrar.Site
	}

	responseKey struct {
		service resolver.ServiceName
		site    registrar.Site
	}

	// route maps the hashes of blocks to sites. The index that chooser returns is that
	// of the site in sites, and of the responses for the site in responses.
	route struct {
		hash      hasher.Hash
		chooser   sharer.Chooser
		sites     []registrar.Site
		responses [][][]byte
	}
)

// Build returns a snapshot of the given inputs.
func Build(inputs Inputs) (*Snapshot, error) {
	s := &Snapshot{Inputs: inputs, routes: map[routeKey]*route{}, responses: map[responseKey][][]byte{}}
	for _, service := range inputs.Settings.Services {
		if err := s.addService(service); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addService adds the routes of a service. Most origins of a region have the same
// traffic split, and consecutive origins with the same split share one route.
func (s *Snapshot) addService(service resolver.ServiceName) error {
	var targets planner.Targets
	var last *route
	var lastSplit sharer.Split
	for _, origin := range origins(s.Settings.Sites) {
		d, ok := s.Plan.Nearest(service, origin)
		if !ok {
			d = targets.Split(s.Settings, service, origin, s.Wall)
		}
		if last == nil || !slices.Equal(d, lastSplit) {
			r, err := s.buildRoute(service, d)
			if err != nil {
				return err
			}
			last, lastSplit = r, d
		}
		s.routes[routeKey{service, origin}] = last
	}
	return nil
}

// origins returns the sites, each region, and unknownOrigin: callers may be in failure
// domains without upstreams, and in regions without any.
func origins(sites []registrar.Site) []registrar.Site {
	out := slices.Clone(sites)
	var last string
	for _, site := range sites {
		if r := site.Region(); r != last {
			out = append(out, registrar.Site(r))
			last = r
		}
	}
	return append(out, unknownOrigin)
}

// route returns the route of the nearest known origin: the site, its region, or
// unknownOrigin. It returns nil if the service has no route.
func (s *Snapshot) route(service resolver.ServiceName, origin registrar.Site) *route {
	for _, o := range []registrar.Site{origin, registrar.Site(origin.Region()), unknownOrigin} {
		if r := s.routes[routeKey{service, o}]; r != nil {
			return r
		}
	}
	return nil
}

func (s *Snapshot) buildRoute(service resolver.ServiceName, d sharer.Split) (*route, error) {
	r := &route{hash: hasher.OfString(string(service)), chooser: sharer.NewChooser(d)}
	for _, name := range r.chooser.Sites() {
		site := registrar.Site(name)
		encoded, err := s.responsesFor(service, site)
		if err != nil {
			return nil, err
		}
		r.sites = append(r.sites, site)
		r.responses = append(r.responses, encoded)
	}
	return r, nil
}

// responsesFor returns the encoded responses for a site. There is one for each entry
// that may come first, so that blocks are spread over the entries. They are encoded
// once per snapshot.
func (s *Snapshot) responsesFor(service resolver.ServiceName, site registrar.Site) ([][]byte, error) {
	k := responseKey{service, site}
	if encoded, ok := s.responses[k]; ok {
		return encoded, nil
	}
	members := s.View.Serving(site)
	set := s.Settings.At(site, service)
	if set == nil {
		return nil, nil
	}
	var out [][]byte
	fallbackEntries := s.fallbackEntries(site, members, set.Entries)
	for first := range members {
		b, err := s.encodeResponse(set, members, first, fallbackEntries)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	s.responses[k] = out
	return out, nil
}

func (s *Snapshot) encodeResponse(set *resolver.Service, members []registrar.Member, first int, fallback []Entry) ([]byte, error) {
	resp := Response{
		Service:        set.Name,
		Site:           set.Site,
		LifetimeMillis: set.LookupLifetime,
		Settings:       s.Number,
		Plan:           s.Plan.Number,
	}
	for i := range min(len(members), set.Entries) {
		m := members[(first+i)%len(members)]
		resp.Entries = append(resp.Entries, Entry{Address: m.Callers, Incarnation: m.Incarnation})
	}
	resp.Entries = append(resp.Entries, fallback...)
	resp.Entries = resp.Entries[:min(len(resp.Entries), set.Entries)]
	if s.Self.Callers != "" && s.Self.Site.Region() != set.Site.Region() {
		resp.Entries = append(resp.Entries, Entry{Address: s.Self.Callers, Incarnation: s.Self.Incarnation})
	}
	b, err := json.Marshal(resp)
	return b, eris.Wrap(err, "encode lookup response")
}

// fallbackEntries returns further entries of the region, for use when all entries of
// the site are lost. It returns none if the site itself has enough members.
func (s *Snapshot) fallbackEntries(site registrar.Site, members []registrar.Member, limit int) []Entry {
	if len(members) >= limit {
		return nil
	}
	used := map[registrar.Incarnation]bool{}
	for _, m := range members {
		used[m.Incarnation] = true
	}
	var out []Entry
	for _, m := range s.View.Region(site.Region()) {
		if !m.Leaving && !used[m.Incarnation] {
			out = append(out, Entry{Address: m.Callers, Incarnation: m.Incarnation})
		}
	}
	return out
}

// BlockOf returns the block of an address. For an address outside all blocks, the origin
// is the site of this daemon.
func (s *Snapshot) BlockOf(a netip.Addr) locator.Block {
	b := s.Table.Find(a)
	if b.Origin == "" {
		b.Origin = s.Home
	}
	return b
}

// Site returns the site at which a request from a block is to run, or "" if no site
// accepts traffic for the service. It does not allocate.
func (s *Snapshot) Site(service resolver.ServiceName, b locator.Block) registrar.Site {
	r := s.route(service, b.Origin)
	if r == nil {
		return ""
	}
	i := r.chooser.Index(hasher.Mix(b.Hash, r.hash))
	if i < 0 {
		return ""
	}
	return r.sites[i]
}

// Response returns the encoded response to a lookup, or nil if there is no entry. It does
// not allocate; the caller must not modify the result.
func (s *Snapshot) Response(service resolver.ServiceName, b locator.Block) []byte {
	r := s.route(service, b.Origin)
	if r == nil {
		return nil
	}
	h := hasher.Mix(b.Hash, r.hash)
	i := r.chooser.Index(h)
	if i < 0 || len(r.responses[i]) == 0 {
		return nil
	}
	encoded := r.responses[i]
	return encoded[uint64(h)%uint64(len(encoded))]
}
