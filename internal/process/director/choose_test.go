package director_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/director"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/registrar"
)

func member(name, site string, strength uint32, ready bool) heartbeater.Member {
	return heartbeater.Member{Name: name, Front: name, Site: registrar.Site(site), Strength: strength, Ready: ready}
}

func TestChoosePrefersReadyEntriesInRegion(t *testing.T) {
	is := is.New(t)
	all := []heartbeater.Member{
		member("a", "east/a", 320, true), member("b", "east/b", 320, false), member("c", "east/b", 320, true),
		member("d", "west/a", 320, true),
	}
	is.Equal(director.Choose(all, "east", "x"), []string{"a", "c"})
	is.Equal(director.Choose(all, "west", "x"), []string{"d"})
	is.Equal(len(director.Choose(all, "north", "x")), 3)
	for i := range all {
		all[i].Ready = false
	}
	all[0].Leaving = true
	is.Equal(director.Choose(all, "east", "x"), []string{"b", "c", "d"})
	is.Equal(len(director.Choose(nil, "east", "x")), 0)
}

// With two strong VMs and nine of a twentieth of their strength, the strong ones must get
// most callers, and every caller at least three entries.
func TestStrongEntriesGetMoreCallers(t *testing.T) {
	is := is.New(t)
	var all []heartbeater.Member
	for i := range 11 {
		strength := uint32(40)
		if i < 2 {
			strength = 800
		}
		all = append(all, member(fmt.Sprint("m", i), "east/a", strength, true))
	}
	strong, weak := 0.0, 0.0
	for c := range 1000 {
		caller := fmt.Sprint("caller", c)
		list := director.Choose(all, "east", caller)
		is.Equal(list, director.Choose(all, "east", caller)) // the same each time
		is.True(len(list) >= 3)
		for _, a := range list {
			if a == "m0" || a == "m1" {
				strong += 1 / float64(len(list))
			} else {
				weak += 1 / float64(len(list))
			}
		}
	}
	is.True(strong > 550)
	is.True(weak > 100)
}

func TestChooseReturnsMaxEntriesOfEqualStrength(t *testing.T) {
	is := is.New(t)
	var all []heartbeater.Member
	for i := range 100 {
		all = append(all, member(fmt.Sprint("m", i), "east/a", 320, true))
	}
	is.Equal(len(director.Choose(all, "east", "x")), director.MaxEntries)
}

// TestAllEntriesOfLargeRegionAreUsed guards against a region with more entries than a response has,
// where all callers get the same ones.
func TestAllEntriesOfLargeRegionAreUsed(t *testing.T) {
	is := is.New(t)
	const members, callers = 300, 600
	var all []heartbeater.Member
	for i := range members {
		all = append(all, member(fmt.Sprint("m", i), "east/a", 320, true))
	}
	uses := map[string]int{}
	for c := range callers {
		caller := fmt.Sprint("caller", c)
		list := director.Choose(all, "east", caller)
		is.Equal(len(list), director.MaxEntries)
		is.Equal(list, director.Choose(all, "east", caller))
		for _, a := range list {
			uses[a]++
		}
	}
	const mean = callers * director.MaxEntries / members
	is.Equal(len(uses), members)
	for _, n := range uses {
		is.True(n > mean/2 && n < mean*3/2)
	}
}

// TestCutEntriesComeLast guards against callers that are sent to entries which reach no upstream
// while others do, and against too few entries if most are cut.
func TestCutEntriesComeLast(t *testing.T) {
	tests := []struct {
		name string
		cut  string
		want []string
	}{
		{"none", "", []string{"a", "b", "c", "d", "e"}},
		{"two", "ad", []string{"b", "c", "e"}},
		{"three", "abd", []string{"c", "e", "a"}},
		{"four", "abcd", []string{"e", "a", "b"}},
		{"all", "abcde", []string{"a", "b", "c", "d", "e"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			all := []heartbeater.Member{member("z", "west/a", 320, true)}
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				m := member(name, "east/a", 320, true)
				m.Cut = strings.Contains(tt.cut, name)
				all = append(all, m)
			}
			is.Equal(director.Choose(all, "east", "x"), tt.want)
		})
	}
}
