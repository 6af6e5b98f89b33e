package placer_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/switcher"
	"github.com/gullvale/gullvale/internal/request/placer"
)

// allBut is every mechanism but one.
func allBut(m switcher.Mechanism) switcher.Set {
	return switcher.Of(switcher.All()...) &^ switcher.Of(m)
}

// TestSwitchedOff judges an upstream that a mechanism passes over: with the mechanism,
// also where all others are off, it is passed over, and without it is not.
func TestSwitchedOff(t *testing.T) {
	tests := []struct {
		mechanism switcher.Mechanism
		state     placer.State
		urgent    bool
		want      placer.Verdict
	}{
		{switcher.LineLimits, placer.State{Slots: 6, Reported: 40}, true, placer.Line},
		{switcher.FailureShares, placer.State{Slots: 6, Failing: true, FailShare: 0.5}, true, placer.Failing},
		{switcher.BackOff, placer.State{Slots: 6, Down: true}, true, placer.Down},
	}
	for _, tt := range tests {
		t.Run(tt.mechanism.String(), func(t *testing.T) {
			is := is.New(t)
			is.Equal(placer.Placer{}.Judge(tt.state, tt.urgent), tt.want)
			is.Equal(placer.Placer{Without: allBut(tt.mechanism)}.Judge(tt.state, tt.urgent), tt.want)
			is.Equal(placer.Placer{Without: switcher.Of(tt.mechanism)}.Judge(tt.state, tt.urgent), placer.Fit)
		})
	}
}

// TestRankSwitchedOff judges an upstream whose line is too long for all but the urgent.
func TestRankSwitchedOff(t *testing.T) {
	is := is.New(t)
	state := placer.State{Slots: 6, Reported: 13}
	is.Equal(placer.Placer{}.Judge(state, false), placer.Line)
	is.Equal(placer.Placer{}.Judge(state, true), placer.Fit)
	without := placer.Placer{Without: switcher.Of(switcher.Rank)}
	is.Equal(without.Judge(state, false), placer.Fit)
	is.Equal(without.Judge(placer.State{Slots: 6, Reported: 16}, false), placer.Line)
}

// TestWaitingSwitchedOff chooses for a key whose home is full, beside an upstream that is
// not idle: the key waits, or visits that one and keeps its home.
func TestWaitingSwitchedOff(t *testing.T) {
	is := is.New(t)
	states := []placer.State{{Slots: 6, Reported: 16}, {Slots: 6, Reported: 4}}
	i, why, move := placer.Placer{}.ChooseHomed(states, true)
	is.Equal(i, -1)
	is.Equal(why, placer.Line)
	is.True(!move)
	i, why, move = placer.Placer{Without: switcher.Of(switcher.Waiting)}.ChooseHomed(states, true)
	is.Equal(i, 1)
	is.Equal(why, placer.Line)
	is.True(!move)
}
