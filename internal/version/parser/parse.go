package parser

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Kinds of setting values.
const (
	KindText Kind = iota
	KindNumber
	KindBool
	KindList
)

type (
	// Kind is the TOML kind of a value.
	Kind uint8

	// Position is a position in a file. Line counts from 1; 0 means that the value
	// comes from elsewhere, such as the command line.
	Position struct {
		File string
		Line int
	}

	// Entry is one setting.
	Entry struct {
		// Path is the dotted key, including tables.
		Path []string
		Kind Kind
		// Text is the value, unless it is a list.
		Text string
		// List holds the elements of a list.
		List []string
		Position
	}

	// Problem is one error found in settings.
	Problem struct {
		Position
		// Path names the setting that is wrong.
		Path string
		Text string
	}

	// Problems is a list of problems. As an error it prints one per line.
	Problems []Problem
)

// String returns the position as "file:line".
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Error returns the problem with its position and path.
func (p Problem) Error() string {
	var parts []string
	if at := p.Position.String(); at != "" {
		parts = append(parts, at)
	}
	if p.Path != "" {
		parts = append(parts, p.Path)
	}
	return strings.Join(append(parts, p.Text), ": ")
}

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.Error()
	}
	return strings.Join(lines, "\n")
}

// OrNil returns p as an error, or nil if it is empty.
func (p Problems) OrNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Name returns the path joined by dots.
func (e Entry) Name() string {
	return strings.Join(e.Path, ".")
}

// Parse parses data, which was read from file, into settings.
func Parse(file string, data []byte) ([]Entry, Problems) {
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	w := walker{file: file}
	w.parser.Reset(data)
	for w.parser.NextExpression() {
		w.addExpression(w.parser.Expression())
	}
	return w.entries, w.problems
}

func syntaxProblem(file string, err error) Problem {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return Problem{Position: Position{File: file}, Text: err.Error()}
	}
	line, _ := d.Position()
	return Problem{
		Position: Position{File: file, Line: line},
		Path:     strings.Join(d.Key(), "."),
		Text:     d.Error(),
	}
}

// walker converts TOML expressions to entries. The syntax has already been validated.
type walker struct {
	file     string
	parser   unstable.Parser
	table    []string
	entries  []Entry
	problems Problems
}

func (w *walker) addExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table:
		w.table, _ = w.key(n)
	case unstable.ArrayTable:
		path, at := w.key(n)
		w.table = path
		w.report(at, path, "arrays of tables are not supported")
	case unstable.KeyValue:
		w.addKeyValue(w.table, n)
	}
}

func (w *walker) key(n *unstable.Node) ([]string, Position) {
	var path []string
	at := Position{File: w.file}
	it := n.Key()
	for it.Next() {
		k := it.Node()
		if at.Line == 0 {
			at.Line = w.parser.Shape(k.Raw).Start.Line
		}
		path = append(path, string(k.Data))
	}
	return path, at
}

func (w *walker) addKeyValue(prefix []string, n *unstable.Node) {
	key, at := w.key(n)
	path := append(append([]string{}, prefix...), key...)
	v := n.Value()
	switch v.Kind {
	case unstable.InlineTable:
		it := v.Children()
		for it.Next() {
			w.addKeyValue(path, it.Node())
		}
	case unstable.Array:
		w.addList(path, at, v)
	default:
		w.entries = append(w.entries, Entry{Path: path, Kind: kindOf(v.Kind), Text: string(v.Data), Position: at})
	}
}

func (w *walker) addList(path []string, at Position, v *unstable.Node) {
	e := Entry{Path: path, Kind: KindList, Position: at}
	it := v.Children()
	for it.Next() {
		c := it.Node()
		if c.Kind == unstable.Comment {
			continue
		}
		if c.Kind != unstable.String {
			w.report(at, path, "list elements must be strings")
			return
		}
		e.List = append(e.List, string(c.Data))
	}
	w.entries = append(w.entries, e)
}

func (w *walker) report(at Position, path []string, text string) {
	w.problems = append(w.problems, Problem{Position: at, Path: strings.Join(path, "."), Text: text})
}

func kindOf(k unstable.Kind) Kind {
	switch k {
	case unstable.Integer, unstable.Float:
		return KindNumber
	case unstable.Bool:
		return KindBool
	}
	return KindText
}
