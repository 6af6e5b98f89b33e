package fronter_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/gullvale/gullvale/internal/process/fronter"
)

// TestWarmupRateOfOneSender checks the warm-up rate of a sender: three senders with a burst of one
// request each stay within the bound, and use the upstream's rate where the bound is wide.
func TestWarmupRateOfOneSender(t *testing.T) {
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
			rate := fronter.Bounds{ColdOver: c.over, ColdSlack: c.slack}.WarmupRate(c.perSecond)
			is.True(rate > c.want-0.001 && rate < c.want+0.001)
		})
	}
}
