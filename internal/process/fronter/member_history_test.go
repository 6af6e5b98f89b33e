package fronter_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/fronter"
	"github.com/gullvale/gullvale/internal/process/heartbeater"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestFleetSize checks which members count as alive while they are not heard.
func TestFleetSize(t *testing.T) {
	is := is.New(t)
	now := timekeeper.Millis(0)
	self := heartbeater.Member{Name: "self"}
	heard := []heartbeater.Member{self}
	f := fronter.New(fronter.Options{
		Self:    self.Name,
		Bounds:  func() fronter.Bounds { return fronter.Bounds{} },
		Members: func() []heartbeater.Member { return heard },
	})
	f.UseClock(timekeeper.Clock{Monotonic: func() timekeeper.Millis { return now }})
	after := func(m timekeeper.Millis, members ...heartbeater.Member) int {
		heard = append([]heartbeater.Member{self}, members...)
		for end := now + m; now < end || m == 0; m = 1 {
			now = min(now+500, end)
			f.RefreshMembers()
		}
		return f.FleetSize()
	}
	silent, leaving := heartbeater.Member{Name: "silent"}, heartbeater.Member{Name: "leaving", Leaving: true}

	is.Equal(after(0, heartbeater.Member{Name: "near"}), 0) // others may be cut off
	f.ExpectMembers([]heartbeater.Member{self, {Name: "registered"}})
	is.Equal(f.FleetSize(), 3)
	is.Equal(after(1000, silent, leaving), 5)
	is.Equal(after(1000, silent, leaving), 5) // a member that leaves still serves
	is.Equal(after(1000, silent), 4)
	is.Equal(after(5*timekeeper.Minute), 4)
	is.Equal(after(15*timekeeper.Minute), 1) // none was heard for longer than a cut lasts
	is.Equal(after(1000, heartbeater.Member{Name: "leaving"}), 2)
}
