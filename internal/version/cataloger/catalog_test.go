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

// anyOf returns a usable upstream of the service.
func anyOf(c *cataloger.Catalog) *cataloger.Upstream {
	return c.Current().ByService("s").Groups()[0].At(0)
}

func TestLeavingAndEvacuatedAreNotUsable(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	for i := range 3 {
		c.Put(upstream(i))
	}
	is.Equal(c.Current().ByService("s").Len(), 3)
	u := upstream(1)
	u.Leaving = true
	c.Put(u)
	is.True(c.Current().Usable(cataloger.Incarnation{ID: "u1"}) == nil)
	is.True(c.Current().Usable(cataloger.Incarnation{ID: "u0"}) != nil)
	before := c.Current()
	c.Evacuate("a")
	is.Equal(c.Current().ByService("s").Len(), 0)
	is.Equal(before.ByService("s").Len(), 2) // snapshots are immutable
	c.Readmit("a", func(resolver.ServiceName) timekeeper.Millis { return 500 })
	is.Equal(c.Current().ByService("s").Len(), 2)
	is.True(anyOf(&c).Cold(499))
	is.True(!anyOf(&c).Cold(500))
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
		is.Equal(c.Current().ByService("s").Len(), 1)
	})
	is.Equal(c.Current().Change, first+1)
	is.Equal(c.Current().ByService("s").Len(), 99)
	c.Batch(func() {})
	is.Equal(c.Current().Change, first+1)
	c.Remove("u8")
	is.Equal(c.Current().ByService("s").Len(), 98)
}

// incarnation returns an upstream with the given start time; the address distinguishes
// incarnations.
func incarnation(born timekeeper.Millis, address string) cataloger.Upstream {
	u := upstream(1)
	u.Born, u.Address = born, address
	return u
}

// TestFormerIncarnationNeverReplacesLater reports incarnations of one upstream out of
// order, in single reports and in lists.
func TestFormerIncarnationNeverReplacesLater(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	first, second := incarnation(100, "a:1"), incarnation(200, "a:2")
	is.True(c.Put(first))
	old := anyOf(&c)
	is.True(c.Put(second))
	is.True(anyOf(&c).Hash() != old.Hash()) // a new incarnation remembers none of the old one's keys
	is.True(c.Current().Usable(old.Incarnation()) == nil)
	is.True(!c.Put(first)) // delayed report
	is.Equal(anyOf(&c).Address, "a:2")
	c.Replace([]cataloger.Upstream{first, upstream(2)})
	is.Equal(c.Current().ByService("s").Len(), 2)
	is.True(c.Current().Usable(second.Incarnation()) != nil)
	is.True(!c.Put(incarnation(0, "a:0"))) // no start time, although one was reported before
	c.Remove("u1")
	is.True(!c.Put(first))
	is.Equal(c.Current().ByService("s").Len(), 1)
	is.True(c.Put(second)) // its entry expired and was renewed
	is.Equal(c.Current().ByService("s").Len(), 2)
}

func TestRemovedStartTimesAreBounded(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	c.Put(incarnation(500, "a:1"))
	for i := range 3000 {
		u := upstream(i + 10)
		u.Born = 100
		c.Put(u)
		c.Remove(u.ID)
	}
	u := upstream(10)
	u.Born = 1
	is.True(c.Put(u))                        // its start time was dropped
	is.True(!c.Put(incarnation(100, "a:1"))) // its upstream is still present
}

// TestDepartureOutlastsTheEntry guards against an upstream that gets requests again since the
// store reports it as ready, or lists it again, after a response announced that it leaves.
func TestDepartureOutlastsTheEntry(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	first, second := incarnation(100, "a:1"), incarnation(200, "a:1")
	c.Put(first)
	is.Equal(c.MarkLeaving(first.Departure()), []cataloger.Departure{first.Departure()})
	is.Equal(len(c.MarkLeaving(first.Departure())), 0) // known
	usable := func(u cataloger.Upstream) bool { return c.Current().Usable(u.Incarnation()) != nil }
	is.True(!usable(first))
	known, _ := c.Known("u1")
	is.True(known.Leaving)
	c.Put(first)
	is.True(!usable(first))
	c.Replace([]cataloger.Upstream{first})
	is.True(!usable(first))
	c.Remove("u1")
	c.Put(first)
	is.True(!usable(first))
	c.Put(second)
	is.True(usable(second)) // another incarnation

	unreported := incarnation(0, "b:1")
	unreported.ID = "u2"
	c.MarkLeaving(unreported.Departure()) // before it is listed
	c.Put(unreported)
	is.True(!usable(unreported))
	unreported.Address = "b:2"
	c.Put(unreported)
	is.True(usable(unreported)) // another incarnation that reports no start time either
}

func TestRemovedDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	kept := incarnation(1, "a:1")
	c.Put(kept)
	c.MarkLeaving(kept.Departure())
	gone := upstream(10)
	c.MarkLeaving(gone.Departure())
	for i := range 3000 {
		u := upstream(i + 11)
		c.MarkLeaving(u.Departure())
	}
	c.Put(kept)
	is.True(c.Current().Usable(kept.Incarnation()) == nil) // still listed
	c.Put(gone)
	is.True(c.Current().Usable(gone.Incarnation()) != nil) // dropped
}

// TestReportedDepartureIsNotTakenBack guards against an upstream that gets requests again since an
// older report, such as that of a store that returned from a copy, says that it is ready.
func TestReportedDepartureIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	ready, leaving := incarnation(0, "a:1"), incarnation(0, "a:1")
	leaving.Leaving = true
	c.Put(ready)
	c.Put(leaving)
	c.Put(ready)
	is.Equal(c.Current().ByService("s").Len(), 0)
	c.Remove("u1")
	c.Replace([]cataloger.Upstream{ready})
	is.Equal(c.Current().ByService("s").Len(), 0)
	c.Put(incarnation(0, "a:2")) // another incarnation
	is.Equal(c.Current().ByService("s").Len(), 1)
}

// TestAnnouncedDeparturesAreThoseThatNoReportTells guards against members that exchange departures
// which the store reports anyway, and against one that an older report hides from them.
func TestAnnouncedDeparturesAreThoseThatNoReportTells(t *testing.T) {
	is := is.New(t)
	var c cataloger.Catalog
	_, known := c.Current().AnnouncedDigest()
	is.True(!known)
	first, reported := incarnation(100, "a:1"), incarnation(100, "a:1")
	reported.Leaving = true
	announced := func() bool {
		digest, known := c.Current().AnnouncedDigest()
		is.True(known)
		list := c.Current().AnnouncedDepartures()
		is.Equal(digest != 0, len(list) == 1)
		return len(list) == 1 && list[0] == first.Departure()
	}
	c.Put(first)
	is.True(!announced())
	c.MarkLeaving(first.Departure())
	is.True(announced())
	c.Evacuate(first.Site.Domain())
	is.True(announced())
	c.Put(reported)
	is.True(!announced())
	c.Put(first) // an older report
	is.True(announced())
	c.Put(incarnation(200, "a:1"))
	is.True(!announced())
}
