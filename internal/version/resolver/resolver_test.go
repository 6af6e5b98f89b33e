package resolver_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"github.com/gullvale/gullvale/internal/version/resolver"
)

// TestFiles runs the cases under testdata. Each holds a tree and the problems or
// explanations expected for it.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no cases", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			a, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			runCase(t, a)
		})
	}
}

func runCase(t *testing.T, a *txtar.Archive) {
	is := is.New(t)
	text := map[string]string{}
	for _, f := range a.Files {
		text[f.Name] = string(f.Data)
	}
	edits, problems := resolver.ReadTOML("tree.toml", []byte(text["tree.toml"]))
	tree, more := resolver.Tree{}.Apply(edits)
	problems = append(problems, more...)
	is.Equal(strings.TrimSpace(problems.Error()), strings.TrimSpace(text["problems"]))
	for name, want := range text {
		path, ok := strings.CutPrefix(name, "explain ")
		if !ok {
			continue
		}
		p, err := resolver.ParsePath(path)
		is.NoErr(err)
		var lines []string
		for _, s := range tree.Explain(p) {
			if s.From != resolver.FromDefault {
				lines = append(lines, string(s.Key)+" = "+string(s.Value)+" from "+s.From)
			}
		}
		is.Equal(strings.Join(lines, "\n"), strings.TrimSpace(want))
	}
}

func TestPathRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, s := range []string{"/", "michigan", "michigan/a", ":keg-ledger", "michigan:keg-ledger", "michigan/a:keg-ledger"} {
		p, err := resolver.ParsePath(s)
		is.NoErr(err)
		is.Equal(p.String(), s)
	}
	for _, s := range []string{"Michigan", "a:", "a/b/c", "a/b c", ":x/y"} {
		_, err := resolver.ParsePath(s)
		is.True(err != nil)
	}
}

// drawEdit generates an edit that may be valid or invalid.
func drawEdit(t *rapid.T) resolver.Edit {
	e := resolver.Edit{
		Path: rapid.SampledFrom([]string{"/", "r", "r/a", "r/b", "q", ":s", "r:s", "r/a:s", "q/a:s"}).Draw(t, "path"),
		Key: rapid.SampledFrom([]resolver.Key{
			resolver.KeySlots, resolver.KeyLimit, resolver.KeyDrain, resolver.KeyUpstreams, resolver.KeyShiftTo, resolver.KeyHosts,
		}).Draw(t, "key"),
		Value: rapid.SampledFrom([]resolver.Value{"3", "true", "50%", "127.0.0.1:1", "q", "h,i"}).Draw(t, "value"),
	}
	if rapid.Bool().Draw(t, "unset") {
		e.Value = ""
		e.Unset = true
	}
	return e
}

// TestInverseAndTOMLRoundTrip applies random edits. An accepted tree survives a round
// trip through TOML, and the inverse of an edit restores the tree before the edit.
func TestInverseAndTOMLRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := resolver.Tree{}
		for range rapid.IntRange(1, 12).Draw(t, "edits") {
			edits := []resolver.Edit{drawEdit(t)}
			next, problems := tree.Apply(edits)
			if len(problems) > 0 {
				continue
			}
			back, _ := next.Apply(tree.Inverse(edits))
			if len(back.Difference(tree)) > 0 {
				t.Fatalf("inverse of %v does not restore the tree", edits)
			}
			tree = next
		}
		again, problems := resolver.ReadTOML("t", []byte(tree.TOML()))
		if len(problems) > 0 {
			t.Fatalf("%v in\n%s", problems, tree.TOML())
		}
		read, problems := resolver.Tree{}.Apply(again)
		if len(problems) > 0 || len(read.Difference(tree)) > 0 || len(tree.Difference(read)) > 0 {
			t.Fatalf("tree differs after a round trip through TOML: %v", problems)
		}
	})
}

func TestHigherLevelDrainTakesPrecedence(t *testing.T) {
	is := is.New(t)
	tree, problems := resolver.Tree{}.Apply([]resolver.Edit{
		{Path: "r", Key: resolver.KeyDrain, Value: "true"},
		{Path: "r", Key: resolver.KeyDrainUntil, Value: "2026-12-02T18:00:00Z"},
		{Path: "r/a:s", Key: resolver.KeyDrain, Value: "false"},
		{Path: "q/a:s", Key: resolver.KeySlots, Value: "1"},
	})
	is.Equal(len(problems), 0)
	r := tree.Resolve()
	until := r.At("r/a", "s").DrainedUntil
	is.True(r.At("r/a", "s").DrainedAt(until - 1))
	is.True(!r.At("r/a", "s").DrainedAt(until))
	is.True(!r.At("q/a", "s").DrainedAt(0))
}

func FuzzReadTOML(f *testing.F) {
	f.Add([]byte("[Region.erie.Domain.a.Service.keg-ledger]\nUpstreams = [\"127.0.0.1:1\"]\n"))
	f.Add([]byte("Slots = 3\n[Service.x]\nHosts = [\"a\", 3]\n"))
	f.Add([]byte("a = {b = {c = 1}}\n[[x]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		edits, problems := resolver.ReadTOML("fuzz", data)
		tree, more := resolver.Tree{}.Apply(edits)
		if len(problems)+len(more) > 0 {
			return
		}
		again, problems := resolver.ReadTOML("again", []byte(tree.TOML()))
		read, _ := resolver.Tree{}.Apply(again)
		if len(problems) > 0 || len(tree.Difference(read)) > 0 {
			t.Fatalf("%v in\n%s", problems, tree.TOML())
		}
	})
}

// BenchmarkChange applies one edit and resolves all effective settings, as every daemon
// does for every change.
func BenchmarkChange(b *testing.B) {
	const services = 5
	for _, sites := range []int{6, 25, 75} {
		b.Run(fmt.Sprint(sites), func(b *testing.B) {
			var edits []resolver.Edit
			for i := range sites {
				for s := range services {
					var list []string
					for n := range 10 {
						list = append(list, fmt.Sprintf("10.%d.%d.%d:80", i, s, n))
					}
					edits = append(edits, resolver.Edit{
						Path: fmt.Sprintf("r%d/d%d:s%d", i%7, i, s), Key: resolver.KeyUpstreams,
						Value: resolver.Value(strings.Join(list, ",")),
					})
				}
			}
			tree, problems := resolver.Tree{}.Apply(edits)
			if len(problems) > 0 {
				b.Fatal(problems)
			}
			for b.Loop() {
				next, _ := tree.Apply([]resolver.Edit{{Path: "/", Key: resolver.KeySlots, Value: "5"}})
				next.Resolve()
			}
		})
	}
}
