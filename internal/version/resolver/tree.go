package resolver

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gullvale/gullvale/internal/version/parser"
)

type (
	// Edit sets or unsets one value.
	Edit struct {
		Path  string
		Key   Key
		Value Value `json:",omitempty"`
		Unset bool  `json:",omitempty"`
		// position is the place the edit was read from, for error messages.
		position parser.Position
	}

	// Tree holds the values set by operators. The zero value is an empty tree. A tree
	// is immutable: Apply returns a new one.
	Tree struct {
		nodes map[Path]map[Key]Value
	}

	// Source is one value in force and the level at which it is set.
	Source struct {
		Key   Key
		Value Value
		// From is the path at which it is set, or "default".
		From string
		// Own reports whether the value is set at the requested path itself.
		Own bool
	}
)

// FromDefault is the Source.From of a value that is not set anywhere.
const FromDefault = "default"

// Apply returns the tree that results from edits. It reports the problems of every edit
// and of the resulting tree.
func (t Tree) Apply(edits []Edit) (Tree, parser.Problems) {
	out := Tree{nodes: map[Path]map[Key]Value{}}
	for p, n := range t.nodes {
		out.nodes[p] = maps.Clone(n)
	}
	var problems parser.Problems
	for _, e := range edits {
		if err := out.applyEdit(e); err != nil {
			problems = append(problems, parser.Problem{Position: e.position, Path: e.name(), Text: err.Error()})
		}
	}
	problems = append(problems, out.check(positionsOf(edits))...)
	return out, problems
}

func (e Edit) name() string {
	return strings.TrimSpace(e.Path + " " + string(e.Key))
}

// positionsOf indexes the positions of edits by path and key, so that a problem of the
// whole tree can be reported at the line that caused it.
func positionsOf(edits []Edit) map[string]parser.Position {
	m := map[string]parser.Position{}
	for _, e := range edits {
		if p, err := ParsePath(e.Path); err == nil {
			m[p.String()+" "+string(e.Key)] = e.position
		}
	}
	return m
}

func (t Tree) applyEdit(e Edit) error {
	p, err := ParsePath(e.Path)
	if err != nil {
		return err
	}
	d, ok := definitionsByKey[e.Key]
	if !ok {
		return fmt.Errorf("unknown setting%s", suggestion(e.Key))
	}
	if d.levels&p.level() == 0 {
		return fmt.Errorf("cannot stand here; it belongs to %s", d.levels)
	}
	if e.Unset {
		t.unset(p, e.Key)
		return nil
	}
	v, err := d.normalize(string(e.Value))
	if err != nil {
		return err
	}
	if t.nodes[p] == nil {
		t.nodes[p] = map[Key]Value{}
	}
	t.nodes[p][e.Key] = v
	return nil
}

func (t Tree) unset(p Path, k Key) {
	delete(t.nodes[p], k)
	if len(t.nodes[p]) == 0 {
		delete(t.nodes, p)
	}
}

func (l level) String() string {
	var names []string
	for _, n := range levelNames {
		if l&n.level != 0 {
			names = append(names, n.name)
		}
	}
	return strings.Join(names, ", ")
}

// suggestion returns a hint that names the setting that differs from k only in case, or
// else the first one with the same three-letter prefix.
func suggestion(k Key) string {
	for _, d := range definitions {
		if strings.EqualFold(string(d.Key), string(k)) {
			return fmt.Sprintf("; did you mean %s?", d.Key)
		}
	}
	for _, d := range definitions {
		if len(k) >= 3 && strings.HasPrefix(strings.ToLower(string(d.Key)), strings.ToLower(string(k[:3]))) {
			return fmt.Sprintf("; did you mean %s?", d.Key)
		}
	}
	return ""
}

// Paths returns every node that has a value, sorted.
func (t Tree) Paths() []Path {
	return slices.SortedFunc(maps.Keys(t.nodes), comparePaths)
}

func comparePaths(a, b Path) int {
	return strings.Compare(
		a.Region+"/"+a.Domain+":"+string(a.Service),
		b.Region+"/"+b.Domain+":"+string(b.Service),
	)
}

// Get returns the value set at p itself, and whether there is one.
func (t Tree) Get(p Path, k Key) (Value, bool) {
	v, ok := t.nodes[p][k]
	return v, ok
}

// lookup returns the value of k in force at p and the path at which it is set, or
// FromDefault.
func (t Tree) lookup(p Path, k Key) (Value, string) {
	for _, q := range p.lookupOrder() {
		if v, ok := t.nodes[q][k]; ok {
			return v, q.String()
		}
	}
	return definitionsByKey[k].Default, FromDefault
}

// Explain returns the values in force at p with the level at which each is set.
// Settings without a value are omitted.
func (t Tree) Explain(p Path) []Source {
	var out []Source
	for _, d := range definitions {
		v, from := t.lookup(p, d.Key)
		if v == "" {
			continue
		}
		out = append(out, Source{Key: d.Key, Value: v, From: from, Own: from == p.String()})
	}
	return out
}

// EditsBelow returns the edits that recreate every value set at p or below it.
func (t Tree) EditsBelow(p Path) []Edit {
	var out []Edit
	for _, q := range t.Paths() {
		if !p.Covers(q) {
			continue
		}
		for _, d := range definitions {
			if v, ok := t.nodes[q][d.Key]; ok {
				out = append(out, Edit{Path: q.String(), Key: d.Key, Value: v})
			}
		}
	}
	return out
}

// Inverse returns the edits that undo the effect of edits on t.
func (t Tree) Inverse(edits []Edit) []Edit {
	var out []Edit
	for i := len(edits) - 1; i >= 0; i-- {
		e := edits[i]
		p, err := ParsePath(e.Path)
		if err != nil {
			continue
		}
		v, ok := t.nodes[p][e.Key]
		out = append(out, Edit{Path: p.String(), Key: e.Key, Value: v, Unset: !ok})
	}
	return out
}

// Difference returns the edits that turn t into u.
func (t Tree) Difference(u Tree) []Edit {
	var out []Edit
	for _, e := range t.EditsBelow(Path{}) {
		p, _ := ParsePath(e.Path)
		if _, ok := u.nodes[p][e.Key]; !ok {
			out = append(out, Edit{Path: e.Path, Key: e.Key, Unset: true})
		}
	}
	for _, e := range u.EditsBelow(Path{}) {
		p, _ := ParsePath(e.Path)
		if v, ok := t.nodes[p][e.Key]; !ok || v != e.Value {
			out = append(out, e)
		}
	}
	return out
}

// Conflict reports whether two changes conflict: whether they edit settings of the same
// group at paths of which one covers the other.
func Conflict(a, b []Edit) bool {
	for _, x := range a {
		for _, y := range b {
			if conflictGroup(x.Key) == conflictGroup(y.Key) && pathsOverlap(x.Path, y.Path) {
				return true
			}
		}
	}
	return false
}

func pathsOverlap(a, b string) bool {
	p, err := ParsePath(a)
	if err != nil {
		return true
	}
	q, err := ParsePath(b)
	if err != nil {
		return true
	}
	return p.Covers(q) || q.Covers(p)
}
