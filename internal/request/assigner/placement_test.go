package assigner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/request/assigner"
	"github.com/gullvale/gullvale/internal/version/cataloger"
)

// without returns the upstreams but one.
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
	w := newWorld(4)
	a := w.assigner("east")
	first := a.Home(key(1), toAnywhere, w.all)
	is.Equal(first, assigner.Placement{Upstream: first.Upstream, Reason: assigner.NewKey})
	is.Equal(a.Home(key(1), toAnywhere, w.all), assigner.Placement{Upstream: first.Upstream, Reason: assigner.AtHome})

	rest := without(w.all, first.Upstream)
	second := a.Home(key(1), toAnywhere, rest)
	is.Equal(second, assigner.Placement{Upstream: second.Upstream, Reason: assigner.Displaced, Left: first.Upstream})

	back := a.Home(key(1), toAnywhere, without(w.all, second.Upstream))
	is.Equal(back, assigner.Placement{Upstream: first.Upstream, Reason: assigner.Displaced, Former: true, Left: second.Upstream})
	is.Equal(back.Kind(), "home gone, former home")

	is.Equal(a.Home(key(1), toAnywhere, nil), assigner.Placement{})
}

// A home that only another daemon has found is not known by name.
func TestPlacementOfLearntHome(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	a := w.assigner("east")
	gone := w.all[0]
	a.Learn([]assigner.Assignment{{Key: key(1), Upstream: gone.Hash(), Version: 1}})
	p := a.Home(key(1), toAnywhere, without(w.all, gone))
	is.Equal(p, assigner.Placement{Upstream: p.Upstream, Reason: assigner.Displaced})
}

func TestPlacementOfBarredHome(t *testing.T) {
	is := is.New(t)
	w := newWorld(4, 4)
	a := w.assigner("east")
	was := a.Home(key(1), toAnywhere, w.all).Upstream
	elsewhere := toAnywhere
	elsewhere.Allowed = func(region string) bool { return region != was.Site.Region() }
	p := a.Home(key(1), elsewhere, w.all)
	is.Equal(p, assigner.Placement{Upstream: p.Upstream, Reason: assigner.Barred, Left: was})
	is.True(p.Upstream.Site.Region() != was.Site.Region())
}

func TestPlacementOfMoves(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	a := w.assigner("east")
	home := a.Home(key(1), toAnywhere, w.all).Upstream
	other := without(w.all, home)[0]
	is.Equal(a.Move(key(1), home), assigner.Placement{}) // it lives there
	w.now += 1000
	is.Equal(a.Move(key(1), other), assigner.Placement{Upstream: other, Reason: assigner.Overflowed, Left: home})
	is.Equal(a.Home(key(1), toAnywhere, w.all).Reason, assigner.AtHome)
	w.now += 1000
	is.Equal(a.Move(key(1), home), assigner.Placement{Upstream: home, Reason: assigner.Overflowed, Former: true, Left: other})
}

// The load: all keys of four upstreams live at one of them. Some move away.
func TestPlacementOfRelief(t *testing.T) {
	is := is.New(t)
	w := newWorld(4)
	a := w.assigner("east")
	hot := w.all[0]
	var crowd []assigner.Assignment
	for i := range 40 {
		crowd = append(crowd, assigner.Assignment{Key: key(i), Upstream: hot.Hash(), Version: 1})
	}
	a.Learn(crowd)
	relieved := 0
	for i := range 40 {
		w.now += 100
		p := a.Home(key(i), toAnywhere, w.all)
		if p.Reason == assigner.Relieved {
			relieved++
			is.True(p.Upstream != hot)
			continue
		}
		is.Equal(p, assigner.Placement{Upstream: hot, Reason: assigner.AtHome})
	}
	is.True(relieved > 0)
}

func TestPlacementBeyondMostKeys(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	a := w.assigner("east")
	for i := range assigner.MaxKeys {
		is.Equal(a.Home(key(i), toAnywhere, w.all).Reason, assigner.NewKey)
	}
	is.Equal(a.Home(key(assigner.MaxKeys), toAnywhere, w.all).Reason, assigner.Unkept)
}
