package placer_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/placer"
)

// allExcept returns all mechanisms except m.
func allExcept(m switcher.Mechanism) switcher.Set {
	return switcher.Of(switcher.All()...) &^ switcher.Of(m)
}

// TestMechanismsSwitchedOff checks an upstream that one mechanism passes over: it is passed
// over with all mechanisms and with that one alone, and accepted without it.
func TestMechanismsSwitchedOff(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		state     placer.State
		urgent    bool
		want      placer.Verdict
	}{
		{switcher.QueueLimits, placer.State{Slots: 6, Reported: 40}, true, placer.QueueFull},
		{switcher.FailureShares, placer.State{Slots: 6, Failing: true, FailShare: 0.5}, true, placer.Failing},
		{switcher.BackOff, placer.State{Slots: 6, Down: true}, true, placer.Down},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.Equal(placer.Placer{}.Check(tt.state, tt.urgent), tt.want)
			is.Equal(placer.Placer{Without: allExcept(tt.mechanism)}.Check(tt.state, tt.urgent), tt.want)
			is.Equal(placer.Placer{Without: switcher.Of(tt.mechanism)}.Check(tt.state, tt.urgent), placer.Accepts)
		})
	}
}

// TestRankSwitchedOff checks an upstream whose queue is full for all but urgent requests.
func TestRankSwitchedOff(t *testing.T) {
	is := is.New(t)
	state := placer.State{Slots: 6, Reported: 13}
	is.Equal(placer.Placer{}.Check(state, false), placer.QueueFull)
	is.Equal(placer.Placer{}.Check(state, true), placer.Accepts)
	without := placer.Placer{Without: switcher.Of(switcher.Rank)}
	is.Equal(without.Check(state, false), placer.Accepts)
	is.Equal(without.Check(placer.State{Slots: 6, Reported: 16}, false), placer.QueueFull)
}

// TestWaitingSwitchedOff chooses for a key whose home is full, next to an upstream that is not
// idle. With the mechanism the request is refused; without it, it runs at the other upstream
// and the key keeps its home.
func TestWaitingSwitchedOff(t *testing.T) {
	is := is.New(t)
	states := []placer.State{{Slots: 6, Reported: 16}, {Slots: 6, Reported: 4}}
	i, verdict, move := placer.Placer{}.ChooseWithHome(states, true)
	is.Equal(i, -1)
	is.Equal(verdict, placer.QueueFull)
	is.True(!move)
	i, verdict, move = placer.Placer{Without: switcher.Of(switcher.Waiting)}.ChooseWithHome(states, true)
	is.Equal(i, 1)
	is.Equal(verdict, placer.QueueFull)
	is.True(!move)
}
