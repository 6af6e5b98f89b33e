package registrar_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/registrar"
)

func ExampleView_Owner() {
	v := registrar.NewView([]registrar.Roster{{Region: "erie", Members: []registrar.Member{
		{Incarnation: "i1", Site: "erie/a"},
		{Incarnation: "i2", Site: "erie/a", Leaving: true},
		{Incarnation: "i3", Site: "erie/b"},
	}}})
	m, _ := v.Owner("erie/a", "10.0.0.1:80")
	fmt.Println(m.Incarnation)
	// Output: i1
}

// TestOnlyUpstreamsOfRemovedMemberChangeOwner removes one of five members. Only the
// upstreams that it owned may change their owner.
func TestOnlyUpstreamsOfRemovedMemberChangeOwner(t *testing.T) {
	is := is.New(t)
	r := registrar.Roster{Region: "erie"}
	for i := range 5 {
		r.Members = append(r.Members, registrar.Member{Incarnation: registrar.Incarnation(fmt.Sprint("i", i)), Site: "erie/a"})
	}
	before := registrar.NewView([]registrar.Roster{r})
	after := before.Without(map[registrar.Incarnation]bool{"i2": true})
	counts := map[registrar.Incarnation]int{}
	for i := range 1000 {
		u := fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		a, _ := before.Owner("erie/a", u)
		b, _ := after.Owner("erie/a", u)
		counts[a.Incarnation]++
		is.True(a.Incarnation == b.Incarnation || a.Incarnation == "i2")
		is.True(b.Incarnation != "i2")
	}
	for _, n := range counts {
		is.True(n > 150 && n < 250)
	}
}

// TestServingFallsBack checks that Serving falls back from the site to its region,
// and to leaving members only if no others remain.
func TestServingFallsBack(t *testing.T) {
	is := is.New(t)
	m := []registrar.Member{
		{Incarnation: "a", Site: "r/a"}, {Incarnation: "b", Site: "r/b"}, {Incarnation: "q", Site: "q/a"},
	}
	names := func(leaving ...int) string {
		list := append([]registrar.Member(nil), m...)
		for _, i := range leaving {
			list[i].Leaving = true
		}
		out := ""
		for _, x := range registrar.NewView([]registrar.Roster{{Members: list}}).Serving("r/a") {
			out += string(x.Incarnation)
		}
		return out
	}
	is.Equal(names(), "a")
	is.Equal(names(0), "b")
	is.Equal(names(0, 1), "a")
}
