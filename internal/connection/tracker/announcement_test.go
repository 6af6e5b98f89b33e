package tracker_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// newSet returns a set with a manual clock.
func newSet() (*tracker.Set, *timekeeper.Millis) {
	now := timekeeper.Millis(1000)
	return &tracker.Set{Clock: timekeeper.Clock{Monotonic: func() timekeeper.Millis { return now }}}, &now
}

// TestPauseIsNeverShortened guards against a pause that a later, shorter one ends, or a response
// to a request that began before.
func TestPauseIsNeverShortened(t *testing.T) {
	is := is.New(t)
	s, now := newSet()
	u := &cataloger.Upstream{ID: "u"}
	a := s.StateOf(u)
	is.True(a.RecordPause(3000))
	is.True(!a.RecordPause(1000))
	is.True(!a.RecordPause(0))
	a.Direct.RecordResponse(false)
	is.Equal(a.PauseLeft(), timekeeper.Millis(3000))
	is.True(a.State(u, &a.Direct).Paused)
	*now += 2999
	is.True(a.State(u, &a.Direct).Paused)
	is.True(a.RecordPause(500)) // reaches further
	is.Equal(a.PauseLeft(), timekeeper.Millis(500))
	*now += 500
	is.True(!a.State(u, &a.Direct).Paused)
}

// TestPauseOutlastsTheEntry guards against requests within a pause after the upstream's entry was
// removed and has returned.
func TestPauseOutlastsTheEntry(t *testing.T) {
	is := is.New(t)
	s, now := newSet()
	u := &cataloger.Upstream{ID: "u"}
	s.StateOf(u).RecordPause(3000)
	s.Sweep(func(cataloger.Incarnation) bool { return false })
	is.Equal(s.StateOf(u).PauseLeft(), timekeeper.Millis(3000))
	before := s.StateOf(u)
	*now += 3000
	s.Sweep(func(cataloger.Incarnation) bool { return false })
	is.True(s.StateOf(u) != before)
}
