package fronter_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/fronter"
)

// TestColdPart lets three senders send their part and the request that each may send
// at once: together they stay within the bound, and use what the upstream bears where
// the bound is wide.
func TestColdPart(t *testing.T) {
	for _, c := range []struct{ perSecond, over, slack, want float64 }{
		{7.2, 1.5, 5, 3.24},
		{2.5, 1.5, 5, 1.125},
		{10, 1, 0, 7.0 / 3},
		{4, 1, 0, 1.0 / 3},
		{1, 1, 0, 0.1},
		{5, 0, 0, 2.25},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			part := fronter.Bounds{ColdOver: c.over, ColdSlack: c.slack}.ColdPart(c.perSecond)
			is.True(part > c.want-0.001 && part < c.want+0.001)
		})
	}
}
