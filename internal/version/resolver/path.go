package resolver

import (
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,39}$`)

type (
	// ServiceName is the name of a service.
	ServiceName string

	// Path identifies a node of the tree. The zero value is the root. Service may be
	// set at any level; the path then refers to that service at and below the level.
	Path struct {
		Region  string
		Domain  string
		Service ServiceName
	}
)

// ParsePath parses "", "/", "region" and "region/domain", each optionally followed by
// ":service".
func ParsePath(s string) (Path, error) {
	place, service, named := strings.Cut(s, ":")
	place = strings.Trim(place, "/")
	var p Path
	if place != "" {
		p.Region, p.Domain, _ = strings.Cut(place, "/")
	}
	p.Service = ServiceName(service)
	if named && service == "" {
		return p, eris.Errorf("path %q: no service after the colon", s)
	}
	return p, p.check(s)
}

func (p Path) check(s string) error {
	for _, n := range []string{p.Region, p.Domain, string(p.Service)} {
		if n != "" && !namePattern.MatchString(n) {
			return eris.Errorf("path %q: %q is not a name (a-z, 0-9 and '-', at most 40)", s, n)
		}
	}
	return nil
}

// String returns p in the form that ParsePath accepts. The root is "/".
func (p Path) String() string {
	s := p.Region
	if p.Domain != "" {
		s += "/" + p.Domain
	}
	if s == "" {
		s = "/"
	}
	if p.Service != "" {
		return strings.TrimPrefix(s, "/") + ":" + string(p.Service)
	}
	return s
}

// withoutService returns p without its service.
func (p Path) withoutService() Path {
	p.Service = ""
	return p
}

// lookupOrder returns the nodes from which p inherits, in order of precedence. Nodes
// that name the service precede nodes that do not; within each group the deeper node
// comes first.
func (p Path) lookupOrder() []Path {
	var out []Path
	if p.Service != "" {
		out = append(out, p.ancestors()...)
	}
	return append(out, p.withoutService().ancestors()...)
}

func (p Path) ancestors() []Path {
	out := []Path{p}
	if p.Domain != "" {
		p.Domain = ""
		out = append(out, p)
	}
	if p.Region != "" {
		p.Region = ""
		out = append(out, p)
	}
	return out
}

// Covers reports whether a setting at p can affect q or a node below it.
func (p Path) Covers(q Path) bool {
	return (p.Region == "" || p.Region == q.Region) &&
		(p.Domain == "" || p.Domain == q.Domain) &&
		(p.Service == "" || p.Service == q.Service)
}
