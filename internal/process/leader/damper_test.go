package leader_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/leader"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// TestFlappingIsDamped loses one address repeatedly. The first two losses cause no
// hold-off, each further one doubles it up to a maximum, and a minute without a loss
// resets it.
func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	var d leader.Damper
	now := timekeeper.Millis(0)
	for _, want := range []timekeeper.Millis{0, 0, 2000, 4000, 8000, 16000, 30000, 30000} {
		d.RecordLoss("10.0.0.1:7200", now)
		is.Equal(d.Suppresses("10.0.0.1:7200", now), want > 0)
		is.True(!d.Suppresses("10.0.0.1:7200", now+want))
		is.True(want == 0 || d.Suppresses("10.0.0.1:7200", now+want-1))
		is.True(!d.Suppresses("10.0.0.2:7200", now))
		now += want
	}
	now += timekeeper.Minute + 1
	d.RecordLoss("10.0.0.1:7200", now)
	is.True(!d.Suppresses("10.0.0.1:7200", now))
}
