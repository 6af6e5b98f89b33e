package sharer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gullvale/gullvale/pkg/hasher"
	"github.com/gullvale/gullvale/pkg/sharer"
)

func drawSplit(t *rapid.T, label string) sharer.Split {
	n := rapid.IntRange(1, 8).Draw(t, label+" sites")
	w := map[string]float64{}
	for i := range n {
		w[fmt.Sprintf("s%d", i)] = float64(rapid.IntRange(1, 100).Draw(t, label+" weight"))
	}
	return sharer.Proportional(w)
}

func TestTowardKeepsTotalAndLimitsStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawSplit(t, "a"), drawSplit(t, "b")
		step := sharer.Share(rapid.IntRange(1, int(sharer.Whole)).Draw(t, "step"))
		c := a.Toward(b, step)
		if c.Total() != sharer.Whole || a.Total() != sharer.Whole {
			t.Fatalf("total %d", c.Total())
		}
		// Rounding may move a few more units of fixed point.
		const rounding = 16
		if d := a.Distance(c); d > step+rounding {
			t.Fatalf("moved %d, allowed %d", d, step)
		}
		if a.Distance(b) <= step && c.Distance(b) != 0 {
			t.Fatal("target not reached although it was within one step")
		}
		if c.Distance(b) > a.Distance(b) {
			t.Fatal("moved away from the target")
		}
	})
}

// TestKeysMoveOnlyBetweenChangedSites moves a share from one site to another. Keys of the
// third site must stay, except for the few affected by the changed weights, and the site of
// a key must depend only on the split.
func TestKeysMoveOnlyBetweenChangedSites(t *testing.T) {
	is := is.New(t)
	const keys = 100000
	before := sharer.Split{{Site: "a", Share: sharer.Whole / 2}, {Site: "b", Share: sharer.Whole / 4}, {Site: "c", Share: sharer.Whole / 4}}
	after := sharer.Split{{Site: "a", Share: sharer.Whole / 4}, {Site: "b", Share: sharer.Whole / 2}, {Site: "c", Share: sharer.Whole / 4}}
	x, y := sharer.NewChooser(before), sharer.NewChooser(after)
	moved, third := 0, 0
	counts := map[string]int{}
	for i := range keys {
		k := hasher.Mix(hasher.Hash(i), 1)
		p, q := x.Choose(k), y.Choose(k)
		counts[q]++
		if p != q {
			moved++
			if p == "c" || q == "c" {
				third++
			}
		}
		is.Equal(x.Choose(k), p)
	}
	is.True(moved > keys/5 && moved < keys*2/5)
	is.True(third < keys/8)
	is.True(counts["b"] > keys*48/100 && counts["b"] < keys*52/100)
}

// TestHashesArePinned guards against changed hashes, on which daemons of all versions
// must agree.
func TestHashesArePinned(t *testing.T) {
	is := is.New(t)
	is.Equal(hasher.Mix(1, 2), hasher.Hash(5964141978005197109))
	is.Equal(hasher.OfString("erie/a"), hasher.Hash(7019910870299086971))
	nodes := []hasher.Hash{hasher.OfString("x"), hasher.OfString("y"), hasher.OfString("z")}
	is.Equal(hasher.Best(hasher.OfString("10.0.0.1:80"), nodes), 1)
	is.Equal(hasher.Best(1, nil), -1)
}

// BenchmarkMoved reports the number of keys that change their site, relative to the
// necessary minimum, when an eighth of all keys moves from the first of six sites to
// the last. It compares weighted rendezvous hashing with cumulative shares.
func BenchmarkMoved(b *testing.B) {
	before := sharer.Split{}
	for i := range 6 {
		before = append(before, sharer.Part{Site: fmt.Sprint("s", i), Share: sharer.Whole / 6})
	}
	before[0].Share += sharer.Whole - before.Total()
	after := append(sharer.Split{}, before...)
	eighth := sharer.Whole / 8
	after[0].Share -= eighth
	after[5].Share += eighth
	x, y := sharer.NewChooser(before), sharer.NewChooser(after)
	for name, choose := range map[string]func(d sharer.Split, c *sharer.Chooser, k hasher.Hash) string{
		"rendezvous": func(_ sharer.Split, c *sharer.Chooser, k hasher.Hash) string { return c.Choose(k) },
		"cumulative": func(d sharer.Split, _ *sharer.Chooser, k hasher.Hash) string {
			at := sharer.Share(k >> 44)
			for _, p := range d {
				if at < p.Share {
					return p.Site
				}
				at -= p.Share
			}
			return ""
		},
	} {
		b.Run(name, func(b *testing.B) {
			n, moved := 0, 0
			for b.Loop() {
				n++
				k := hasher.Mix(hasher.Hash(n), 3)
				if choose(before, &x, k) != choose(after, &y, k) {
					moved++
				}
			}
			b.ReportMetric(float64(moved)/float64(n)/eighth.Fraction(), "moved/needed")
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{2, 4, 10, 75} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := map[string]float64{}
			for i := range n {
				w[fmt.Sprint("site", i)] = 1
			}
			c := sharer.NewChooser(sharer.Proportional(w))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				c.Index(hasher.Hash(i))
			}
		})
	}
}
