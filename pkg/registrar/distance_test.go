package registrar_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/pkg/registrar"
)

func TestDistance(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		from, to registrar.Site
		want     registrar.Distance
	}{
		{"east/a", "east/a", registrar.SameDomain},
		{"east/a", "east/b", registrar.SameRegion},
		{"east/a", "west/a", registrar.OtherRegion},
		{"east/a", "", registrar.UnknownDistance},
		{"", "", registrar.UnknownDistance},
	} {
		is.Equal(c.from.Distance(c.to), c.want)
		is.Equal(c.to.Distance(c.from), c.want)
	}
}
