package planner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/planner"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
)

// fourSiteSettings returns settings with one service and 10 slots at each of four sites in
// two regions.
func fourSiteSettings(t testing.TB) *resolver.Resolved {
	t.Helper()
	var edits []resolver.Edit
	for i, site := range []string{"erie/a", "erie/b", "michigan/a", "michigan/b"} {
		edits = append(edits, resolver.Edit{Path: site + ":s", Key: resolver.KeyUpstreams, Value: resolver.Value(fmt.Sprintf("10.1.%d.1:80", i))},
			resolver.Edit{Path: site + ":s", Key: resolver.KeySlots, Value: "10"})
	}
	edits = append(edits, resolver.Edit{Path: "/", Key: resolver.KeyLimit, Value: "80%"})
	tree, problems := resolver.Tree{}.Apply(edits)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return tree.Resolve()
}

func TestLosses(t *testing.T) {
	for _, c := range []struct {
		name string
		// erie and michigan are the slots in use by the callers of each failure domain.
		erie, michigan float64
		covered        map[string]bool
		now, after     float64
		without        string
	}{
		{"every loss is covered", 2, 2, map[string]bool{"erie": true, "erie/a": true, "michigan": true, "michigan/b": true}, 0.75, 0.5, "erie/a"},
		{"only domain losses are covered", 4.5, 4.5, map[string]bool{"erie": false, "erie/a": true, "michigan": false}, 0.4375, 0, "erie/a"},
		{"no loss is covered", 7.5, 7.5, map[string]bool{"erie": false, "erie/a": false, "michigan/b": false}, 0.0625, 0, "erie/a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l planner.Load
			for _, d := range []registrar.Site{"erie/a", "erie/b"} {
				l.Add("s", d, c.erie)
			}
			for _, d := range []registrar.Site{"michigan/a", "michigan/b"} {
				l.Add("s", d, c.michigan)
			}
			losses, headroom := planner.Losses(fourSiteSettings(t), l, 0)
			is.Equal(len(losses), 6)
			for _, x := range losses {
				if want, ok := c.covered[x.Lost]; ok && x.Covered() != want {
					t.Errorf("%s: covered %v %+v", x.Lost, x.Covered(), x)
				}
			}
			is.Equal(len(headroom), 2)
			is.Equal(headroom[0].Region, "erie")
			t.Logf("%+v", headroom)
			is.True(approxEqual(headroom[0].Now, c.now))
			is.True(headroom[0].After < headroom[0].Now)
		})
	}
}

func approxEqual(a, b float64) bool { return a-b < 0.02 && b-a < 0.02 }

// TestUnservedLoss predicts the loss of the only site of a service.
func TestUnservedLoss(t *testing.T) {
	is := is.New(t)
	tree, problems := resolver.Tree{}.Apply([]resolver.Edit{{Path: "erie/a:s", Key: resolver.KeyUpstreams, Value: "10.1.0.1:80"}})
	is.Equal(len(problems), 0)
	var l planner.Load
	l.Add("s", "erie/a", 1)
	losses, _ := planner.Losses(tree.Resolve(), l, 0)
	is.Equal(len(losses), 1)
	is.Equal(losses[0].Lost, "erie")
	is.Equal(losses[0].Unserved, []resolver.ServiceName{"s"})
	is.True(!losses[0].Covered())
}

// BenchmarkLosses measures the cost of one headroom query by an operator.
func BenchmarkLosses(b *testing.B) {
	for _, sites := range []int{6, 25, 75} {
		b.Run(fmt.Sprint(sites), func(b *testing.B) {
			var edits []resolver.Edit
			var l planner.Load
			for i := range sites {
				site := fmt.Sprintf("r%d/d%d", i%7, i)
				edits = append(edits, resolver.Edit{Path: site + ":s", Key: resolver.KeyUpstreams, Value: resolver.Value(fmt.Sprintf("10.1.%d.1:80", i))})
				l.Add("s", registrar.Site(site), 1)
			}
			tree, problems := resolver.Tree{}.Apply(edits)
			if len(problems) > 0 {
				b.Fatal(problems)
			}
			r := tree.Resolve()
			for b.Loop() {
				planner.Losses(r, l, 0)
			}
		})
	}
}
