package switcher_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/switcher"
)

func TestZeroSetIsEmpty(t *testing.T) {
	is := is.New(t)
	var s switcher.Set
	for _, m := range switcher.All() {
		is.True(!s.Has(m))
	}
	is.Equal(s.String(), "")
	is.Equal(len(s.List()), 0)
}

// TestParseSingleName parses the name of each mechanism: the result must hold this mechanism
// only and have its name.
func TestParseSingleName(t *testing.T) {
	for _, m := range switcher.All() {
		t.Run(m.String(), func(t *testing.T) {
			is := is.New(t)
			is.True(m.String() != "")
			s, err := switcher.Parse(m.String())
			is.NoErr(err)
			is.Equal(s, switcher.Of(m))
			is.Equal(s.List(), []switcher.Mechanism{m})
			is.Equal(s.String(), m.String())
		})
	}
}

func TestParseList(t *testing.T) {
	is := is.New(t)
	s, err := switcher.Parse(" rank,homes,,rank ")
	is.NoErr(err)
	is.Equal(s, switcher.Of(switcher.Homes, switcher.Rank))
	is.NoErr(s.Set("moves"))
	is.Equal(s.String(), "homes,moves,rank")
	s, err = switcher.Parse("")
	is.NoErr(err)
	is.Equal(s, switcher.Set(0))
}

// TestParseReportsAllUnknownNames requires one error that lists all unknown and all known
// names.
func TestParseReportsAllUnknownNames(t *testing.T) {
	is := is.New(t)
	s, err := switcher.Parse("homes,wings,Rank,retry-budget")
	is.True(err != nil)
	is.Equal(s, switcher.Set(0))
	for _, part := range []string{`"wings"`, `"Rank"`, `"retry-budget"`} {
		is.True(strings.Contains(err.Error(), part))
	}
	for _, m := range switcher.All() {
		is.True(strings.Contains(err.Error(), m.String()))
	}
	var flag switcher.Set
	is.True(flag.Set("wings") != nil)
	is.Equal(flag, switcher.Set(0))
}

// BenchmarkHas measures the cost of a check whether a mechanism is off.
func BenchmarkHas(b *testing.B) {
	s := switcher.Of(switcher.Rank)
	n := 0
	for b.Loop() {
		if s.Has(switcher.QueueLimits) {
			n++
		}
	}
	_ = n
}
