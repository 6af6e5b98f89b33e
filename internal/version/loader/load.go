package loader

import (
	"cmp"
	"errors"
	"maps"
	"os"
	"slices"

	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/matcher"
	"github.com/gullvale/gullvale/internal/version/parser"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

type (
	// Table is the content of one file.
	Table struct {
		Config *matcher.Config
		// Upstreams are the upstreams of all services. Their ColdUntil is relative to
		// the time at which the table is loaded into a catalog.
		Upstreams []cataloger.Upstream
		// Evacuated are the failure domains that receive no new requests.
		Evacuated []string
	}

	// builder collects the settings of a file and builds a table of them.
	builder struct {
		file      string
		version   matcher.Version
		limits    matcher.Limits
		routes    map[string]*matcher.Route
		services  map[string]*matcher.Service
		upstreams map[string]*upstream
		evacuated []string
		// organisations are those that may send requests; none means that requests need
		// no credential.
		organisations map[string]*authenticator.Organisation
		problems      parser.Problems
	}

	// upstream is an upstream and the position of its first setting.
	upstream struct {
		cataloger.Upstream
		position parser.Position
	}
)

// ReadFile reads and parses a file.
func ReadFile(name string) (*Table, parser.Problems) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, parser.Problems{{Position: parser.Position{File: name}, Text: err.Error()}}
	}
	return Read(name, data)
}

// Read parses data, which was read from file. It returns either a table or all problems
// found.
func Read(file string, data []byte) (*Table, parser.Problems) {
	entries, problems := parser.Parse(file, data)
	b := builder{
		file:      file,
		routes:    map[string]*matcher.Route{},
		services:  map[string]*matcher.Service{},
		upstreams: map[string]*upstream{},
		problems:  problems,

		organisations: map[string]*authenticator.Organisation{},
	}
	for _, e := range entries {
		b.addEntry(e)
	}
	t := b.buildTable()
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return t, nil
}

// addEntry stores one setting or reports its problem.
func (b *builder) addEntry(e parser.Entry) {
	if problem := b.setField(e); problem != "" {
		b.problems = append(b.problems, parser.Problem{Position: e.Position, Path: e.Name(), Text: problem})
	}
}

// buildTable combines the settings into a table and validates it as a whole.
func (b *builder) buildTable() *Table {
	if b.version == 0 {
		b.report(parser.Position{File: b.file}, "Version", "missing: a file needs a version number that increases with each change")
	}
	var routes []matcher.Route
	for _, n := range slices.Sorted(maps.Keys(b.routes)) {
		routes = append(routes, *b.routes[n])
	}
	for _, u := range b.upstreams {
		// A service with upstreams needs no settings of its own.
		b.service(string(u.Service))
	}
	var services []matcher.Service
	for _, n := range slices.Sorted(maps.Keys(b.services)) {
		services = append(services, *b.services[n])
	}
	c, err := matcher.New(b.version, b.limits, routes, services)
	for _, p := range splitJoined(err) {
		b.report(parser.Position{File: b.file}, "", p.Error())
	}
	b.setOrganisations(c)
	return &Table{Config: c, Upstreams: b.checkedUpstreams(), Evacuated: b.evacuated}
}

// setOrganisations makes the configuration require credentials if there are any
// organisations.
func (b *builder) setOrganisations(c *matcher.Config) {
	if len(b.organisations) == 0 {
		return
	}
	var list []authenticator.Organisation
	for _, n := range slices.Sorted(maps.Keys(b.organisations)) {
		list = append(list, *b.organisations[n])
	}
	d, err := authenticator.New(list)
	for _, p := range splitJoined(err) {
		b.report(parser.Position{File: b.file}, "", p.Error())
	}
	c.SetOrganisations(d)
}

// routedServices returns the services to which routes refer.
func (b *builder) routedServices() map[resolver.ServiceName]bool {
	out := map[resolver.ServiceName]bool{}
	for _, r := range b.routes {
		for _, p := range r.Parts {
			out[p.Service] = true
		}
	}
	return out
}

// checkedUpstreams returns the upstreams sorted by id. It reports those that are
// incomplete or whose service has no route.
func (b *builder) checkedUpstreams() []cataloger.Upstream {
	var out []cataloger.Upstream
	routedServices := b.routedServices()
	for _, n := range slices.Sorted(maps.Keys(b.upstreams)) {
		u := b.upstreams[n]
		switch {
		case !routedServices[u.Service]:
			b.report(u.position, "Upstream."+n, "no route refers to its service "+cmp.Or(string(u.Service), `""`))
		case u.Address == "" || u.Site == "" || u.Slots == 0:
			b.report(u.position, "Upstream."+n, "needs Address, Site and Slots")
		}
		out = append(out, u.Upstream)
	}
	return out
}

func (b *builder) report(at parser.Position, path, text string) {
	b.problems = append(b.problems, parser.Problem{Position: at, Path: path, Text: text})
}

// splitJoined returns the errors that errors.Join combined into err.
func splitJoined(err error) []error {
	if err == nil {
		return nil
	}
	var many interface{ Unwrap() []error }
	if errors.As(err, &many) {
		return many.Unwrap()
	}
	return []error{err}
}

// Fill replaces the upstreams and evacuations of a catalog with those of the table, at
// time now on the monotonic clock. A domain whose evacuation ends is cold for the
// warm-up time of its services.
func (t *Table) Fill(c *cataloger.Catalog, now timekeeper.Millis) {
	c.Batch(func() {
		c.Replace(t.upstreamsAt(c, now))
		for _, d := range c.Evacuated() {
			if !slices.Contains(t.Evacuated, d) {
				c.Readmit(d, func(s resolver.ServiceName) timekeeper.Millis { return now + t.Config.Services[s].Warmup })
			}
		}
		for _, d := range t.Evacuated {
			c.Evacuate(d)
		}
	})
}

// upstreamsAt returns the upstreams with ColdUntil as a time on the monotonic clock. An
// upstream that the catalog knows keeps its ColdUntil.
func (t *Table) upstreamsAt(c *cataloger.Catalog, now timekeeper.Millis) []cataloger.Upstream {
	var out []cataloger.Upstream
	for _, u := range t.Upstreams {
		if known, ok := c.Known(u.ID); ok {
			u.ColdUntil = known.ColdUntil
		} else if u.ColdUntil > 0 {
			u.ColdUntil += now
		}
		out = append(out, u)
	}
	return out
}

// Regions returns the regions of the upstreams, sorted.
func (t *Table) Regions() []string {
	seen := map[string]bool{}
	for _, u := range t.Upstreams {
		seen[u.Site.Region()] = true
	}
	return slices.Sorted(maps.Keys(seen))
}
