package cataloger_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/internal/version/resolver"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

func upstream(i int) cataloger.Upstream {
	return cataloger.Upstream{ID: cataloger.UpstreamID(fmt.Sprint("u", i)), Service: "s", Site: "east/a", Slots: 6}
}

func TestLeavingAndEvacuatedTakeNothing(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	for i := range 3 {
		c.Put(upstream(i))
	}
	is.Equal(len(c.Current().Of("s")), 3)
	u := upstream(1)
	u.Leaving = true
	c.Put(u)
	is.True(c.Current().Usable("u1") == nil)
	is.True(c.Current().Usable("u0") != nil)
	before := c.Current()
	c.Evacuate("a")
	is.Equal(len(c.Current().Of("s")), 0)
	is.Equal(len(before.Of("s")), 2) // a snapshot never changes
	c.Readmit("a", func(resolver.ServiceName) timekeeper.Millis { return 500 })
	is.Equal(len(c.Current().Of("s")), 2)
	is.True(c.Current().Of("s")[0].Cold(499))
	is.True(!c.Current().Of("s")[0].Cold(500))
}

func TestBatchIsOneSnapshot(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	c.Put(upstream(0))
	first := c.Current().Change
	c.Batch(func() {
		for i := range 100 {
			c.Put(upstream(i))
		}
		c.Remove("u7")
		is.Equal(len(c.Current().Of("s")), 1)
	})
	is.Equal(c.Current().Change, first+1)
	is.Equal(len(c.Current().Of("s")), 99)
	c.Batch(func() {})
	is.Equal(c.Current().Change, first+1)
	c.Remove("u8")
	is.Equal(len(c.Current().Of("s")), 98)
}
