package tracker_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/connection/tracker"
	"github.com/gullvale/gullvale/internal/version/cataloger"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestPaceFadesToUsual guards against a host that counts as slow long after its last report.
func TestPaceFadesToUsual(t *testing.T) {
	is := is.New(t)
	s, now := newSet()
	u := &cataloger.Upstream{ID: "u"}
	a := s.StateOf(u)
	pace := func() float64 { return a.State(u, &a.Direct).Pace }
	is.True(!a.State(u, &a.Direct).Paced)
	is.Equal(pace(), 1.0)
	a.RecordLoad(tracker.Report{Running: 1, Slots: 4, Pace: 2.5})
	is.True(a.State(u, &a.Direct).Paced)
	is.Equal(pace(), 2.5)
	*now += 300
	is.Equal(pace(), 1.75)
	a.RecordLoad(tracker.Report{Running: 2, Slots: 4}) // a report without a pace
	is.Equal(pace(), 1.75)
	*now += 300
	is.Equal(pace(), 1.0)
	a.RecordLoad(tracker.Report{Slots: 4, Pace: 0.8})
	is.Equal(pace(), 0.8)
}

// TestRoundTripIsShortestDial checks that a dial that was held up does not lengthen the round trip.
func TestRoundTripIsShortestDial(t *testing.T) {
	is := is.New(t)
	s, now := newSet()
	took := timekeeper.Millis(0)
	s.Dial = func(context.Context, string) (net.Conn, error) {
		*now += took
		c, _ := net.Pipe()
		return c, nil
	}
	u := &cataloger.Upstream{ID: "u"}
	a := s.StateOf(u)
	for _, d := range []struct{ took, want timekeeper.Millis }{{70, 70}, {250, 70}, {68, 68}} {
		took = d.took
		is.NoErr(a.Pool.Check(context.Background()))
		is.Equal(a.State(u, &a.Direct).RoundTrip, d.want)
	}
}
