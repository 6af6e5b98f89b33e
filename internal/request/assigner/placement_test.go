package assigner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// without returns all upstreams except one.
func without(all []*cataloger.Upstream, gone *cataloger.Upstream) (rest []*cataloger.Upstream) {
	for _, u := range all {
		if u != gone {
			rest = append(rest, u)
		}
	}
	return rest
}

func TestPlacementOfHomes(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	a := f.assigner("east")
	first := a.Home(key(1), anyRequest, cataloger.NewPool(f.all))
	is.Equal(first, assigner.Placement{Upstream: first.Upstream, Reason: assigner.NewKey})
	is.Equal(a.Home(key(1), anyRequest, cataloger.NewPool(f.all)), assigner.Placement{Upstream: first.Upstream, Reason: assigner.AtHome})

	rest := without(f.all, first.Upstream)
	second := a.Home(key(1), anyRequest, cataloger.NewPool(rest))
	is.Equal(second, assigner.Placement{Upstream: second.Upstream, Reason: assigner.HomeGone, Left: first.Upstream})

	back := a.Home(key(1), anyRequest, cataloger.NewPool(without(f.all, second.Upstream)))
	is.Equal(back, assigner.Placement{Upstream: first.Upstream, Reason: assigner.HomeGone, Former: true, Left: second.Upstream})
	is.Equal(back.Kind(), "home gone, former home")

	is.Equal(a.Home(key(1), anyRequest, nil), assigner.Placement{})
}

// TestPlacementOfHomeUsedOnlyByOtherDaemon checks that a home used only by another daemon is
// not reported as the previous home.
func TestPlacementOfHomeUsedOnlyByOtherDaemon(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	a := f.assigner("east")
	gone := f.all[0]
	a.Merge([]assigner.Assignment{{Key: key(1), Upstream: gone.Hash(), Version: 1}})
	p := a.Home(key(1), anyRequest, cataloger.NewPool(without(f.all, gone)))
	is.Equal(p, assigner.Placement{Upstream: p.Upstream, Reason: assigner.HomeGone})
}

func TestPlacementOfHomeInRegionNotAllowed(t *testing.T) {
	is := is.New(t)
	f := newFixture(4, 4)
	a := f.assigner("east")
	was := a.Home(key(1), anyRequest, cataloger.NewPool(f.all)).Upstream
	elsewhere := anyRequest
	elsewhere.Allowed = func(region string) bool { return region != was.Site.Region() }
	p := a.Home(key(1), elsewhere, cataloger.NewPool(f.all))
	is.Equal(p, assigner.Placement{Upstream: p.Upstream, Reason: assigner.HomeNotAllowed, Left: was})
	is.True(p.Upstream.Site.Region() != was.Site.Region())
}

func TestPlacementOfMoves(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	a := f.assigner("east")
	home := a.Home(key(1), anyRequest, cataloger.NewPool(f.all)).Upstream
	other := without(f.all, home)[0]
	is.Equal(a.Move(key(1), home), assigner.Placement{}) // already its home
	f.now += 1000
	is.Equal(a.Move(key(1), other), assigner.Placement{Upstream: other, Reason: assigner.HomeFull, Left: home})
	is.Equal(a.Home(key(1), anyRequest, cataloger.NewPool(f.all)).Reason, assigner.AtHome)
	f.now += 1000
	is.Equal(a.Move(key(1), home), assigner.Placement{Upstream: home, Reason: assigner.HomeFull, Former: true, Left: other})
}

// TestPlacementOfMovesFromCrowdedHome starts with all keys at one of four upstreams: some of
// them move.
func TestPlacementOfMovesFromCrowdedHome(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	a := f.assigner("east")
	hot := f.all[0]
	var crowd []assigner.Assignment
	for i := range 40 {
		crowd = append(crowd, assigner.Assignment{Key: key(i), Upstream: hot.Hash(), Version: 1})
	}
	a.Merge(crowd)
	relieved := 0
	for i := range 40 {
		f.now += 100
		p := a.Home(key(i), anyRequest, cataloger.NewPool(f.all))
		if p.Reason == assigner.HomeCrowded {
			relieved++
			is.True(p.Upstream != hot)
			continue
		}
		is.Equal(p, assigner.Placement{Upstream: hot, Reason: assigner.AtHome})
	}
	is.True(relieved > 0)
}

func TestPlacementBeyondMaxKeys(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	a := f.assigner("east")
	for i := range assigner.MaxKeys {
		is.Equal(a.Home(key(i), anyRequest, cataloger.NewPool(f.all)).Reason, assigner.NewKey)
	}
	is.Equal(a.Home(key(assigner.MaxKeys), anyRequest, cataloger.NewPool(f.all)).Reason, assigner.Untracked)
}
