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
	// Table is what one file says.
	Table struct {
		Config *matcher.Config
		// Upstreams are those of all services. ColdUntil is how long from now an
		// upstream is cold.
		Upstreams []cataloger.Upstream
		// Evacuated are the failure domains that get no new work.
		Evacuated []string
	}

	// builder collects a table while its file is read.
	builder struct {
		file      string
		version   matcher.Version
		limits    matcher.Limits
		routes    map[string]*matcher.Route
		services  map[string]*matcher.Service
		upstreams map[string]*upstream
		evacuated []string
		// organisations are those that may send requests; none means that anybody may.
		organisations map[string]*authenticator.Organisation
		problems      parser.Problems
	}

	// upstream is an upstream and where the file begins to tell of it.
	upstream struct {
		cataloger.Upstream
		position parser.Position
	}
)

// ReadFile reads a file.
func ReadFile(name string) (*Table, parser.Problems) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, parser.Problems{{Position: parser.Position{File: name}, Text: err.Error()}}
	}
	return Read(name, data)
}

// Read reads data, which came from file. It reports all that is wrong at once.
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

// addEntry takes one setting over.
func (b *builder) addEntry(e parser.Entry) {
	if problem := b.setField(e); problem != "" {
		b.problems = append(b.problems, parser.Problem{Position: e.Position, Path: e.Name(), Text: problem})
	}
}

// buildTable joins what was read and checks it as a whole.
func (b *builder) buildTable() *Table {
	if b.version == 0 {
		b.report(parser.Position{File: b.file}, "Version", "missing: a table needs a number that grows with each change")
	}
	var routes []matcher.Route
	for _, n := range slices.Sorted(maps.Keys(b.routes)) {
		routes = append(routes, *b.routes[n])
	}
	for _, u := range b.upstreams {
		// A service that has upstreams needs no settings of its own.
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

// setOrganisations has the configuration ask whose a request is if there are organisations.
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
	c.Admit(d)
}

// routedServices returns the services to which routes go.
func (b *builder) routedServices() map[resolver.ServiceName]bool {
	out := map[resolver.ServiceName]bool{}
	for _, r := range b.routes {
		for _, p := range r.Parts {
			out[p.Service] = true
		}
	}
	return out
}

// checkedUpstreams returns the upstreams, by id, and complains about those that are not whole
// or get no requests.
func (b *builder) checkedUpstreams() []cataloger.Upstream {
	var out []cataloger.Upstream
	routedServices := b.routedServices()
	for _, n := range slices.Sorted(maps.Keys(b.upstreams)) {
		u := b.upstreams[n]
		switch {
		case !routedServices[u.Service]:
			b.report(u.position, "Upstream."+n, "no route goes to its service "+cmp.Or(string(u.Service), `""`))
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

// splitJoined returns the errors that were joined into one.
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

// Fill puts the upstreams and evacuations of the table into a catalog, in place of
// what is there, at a time of the monotonic clock. A domain that was evacuated until
// now is cold for as long as its services take to warm up.
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

// upstreamsAt returns the upstreams with times by the clock. One that is known already stays
// cold as long as it was to be.
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
