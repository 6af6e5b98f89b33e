package resolver_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/registrar"
)

func TestNumbering(t *testing.T) {
	is := is.New(t)
	r := &resolver.Resolved{
		Services: []resolver.ServiceName{"keg-ledger", "manifest-depot"},
		Sites:    []registrar.Site{"erie/a", "erie/b", "michigan/a"},
	}
	n := r.Numbering()
	for _, s := range r.Services {
		is.Equal(n.Service(n.ServiceNumber(s)), s)
	}
	for _, s := range r.Sites {
		is.Equal(n.Site(n.SiteNumber(s)), s)
	}
	is.Equal(n.SiteNumber("superior/a"), uint32(0))
	for _, i := range []uint32{0, 4, math.MaxUint32} {
		is.Equal(n.Site(i), registrar.Site(""))
	}
	var none resolver.Numbering
	is.Equal(none.Service(1), resolver.ServiceName(""))
}
