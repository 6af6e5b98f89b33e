package resolver

import (
	"fmt"
	"strings"

	"github.com/gullvale/gullvale/internal/version/parser"
)

// Names of the TOML tables that make up a path of the tree, such as
// [Region.erie.Domain.a.Service.keg-ledger].
const (
	tableRegion  = "Region"
	tableDomain  = "Domain"
	tableService = "Service"
)

// ReadTOML parses a tree and returns the edits that build it.
func ReadTOML(file string, data []byte) ([]Edit, parser.Problems) {
	entries, problems := parser.Parse(file, data)
	var edits []Edit
	for _, n := range entries {
		p, k, err := parseTablePath(n.Path)
		if err != nil {
			problems = append(problems, parser.Problem{Position: n.Position, Path: n.Name(), Text: err.Error()})
			continue
		}
		if text := kindProblem(k, n.Kind); text != "" {
			problems = append(problems, parser.Problem{Position: n.Position, Path: n.Name(), Text: text})
			continue
		}
		v := n.Text
		if n.Kind == parser.KindList {
			v = strings.Join(n.List, ",")
		}
		edits = append(edits, Edit{Path: p.String(), Key: k, Value: Value(v), position: n.Position})
	}
	return edits, problems
}

func parseTablePath(path []string) (Path, Key, error) {
	var p Path
	for len(path) > 1 {
		if len(path) < 3 {
			return p, "", fmt.Errorf("has no setting after %s", path[0])
		}
		switch {
		case path[0] == tableRegion && p == Path{}:
			p.Region = path[1]
		case path[0] == tableDomain && p.Region != "" && p.Domain == "" && p.Service == "":
			p.Domain = path[1]
		case path[0] == tableService && p.Service == "":
			p.Service = ServiceName(path[1])
		default:
			return p, "", fmt.Errorf("%q cannot stand here; the order is Region, Domain, Service", path[0])
		}
		path = path[2:]
	}
	return p, Key(path[0]), p.check(p.String())
}

func kindProblem(k Key, have parser.Kind) string {
	d, ok := definitionsByKey[k]
	if !ok || d.tomlKind() == have {
		return ""
	}
	return fmt.Sprintf("must be %s", kindNames[d.tomlKind()])
}

var kindNames = map[parser.Kind]string{
	parser.KindText:   "a string",
	parser.KindNumber: "a number",
	parser.KindBool:   "true or false",
	parser.KindList:   "a list of strings",
}

// TOML returns the tree as TOML that ReadTOML accepts.
func (t Tree) TOML() string {
	var b strings.Builder
	var last Path
	for i, e := range t.EditsBelow(Path{}) {
		p, _ := ParsePath(e.Path)
		if p != last {
			if i > 0 {
				b.WriteByte('\n')
			}
			fmt.Fprintf(&b, "[%s]\n", tableName(p))
			last = p
		}
		fmt.Fprintf(&b, "%s = %s\n", e.Key, tomlLiteral(definitionsByKey[e.Key], e.Value))
	}
	return b.String()
}

func tableName(p Path) string {
	var parts []string
	if p.Region != "" {
		parts = append(parts, tableRegion, p.Region)
	}
	if p.Domain != "" {
		parts = append(parts, tableDomain, p.Domain)
	}
	if p.Service != "" {
		parts = append(parts, tableService, string(p.Service))
	}
	return strings.Join(parts, ".")
}

func tomlLiteral(d Definition, v Value) string {
	switch d.tomlKind() {
	case parser.KindNumber, parser.KindBool:
		return string(v)
	case parser.KindList:
		var quoted []string
		for _, w := range v.list() {
			quoted = append(quoted, fmt.Sprintf("%q", w))
		}
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	return fmt.Sprintf("%q", string(v))
}
