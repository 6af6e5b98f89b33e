package advisor

import (
	"math/rand/v2"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

// minReturnSpread and maxReturnSpread bound the time over which the return of callers is spread
// after a pause. In between, it is half of what is left of the pause.
const (
	minReturnSpread = 250 * timekeeper.Millis(1)
	maxReturnSpread = 2 * timekeeper.Second
)

// SpreadReturn returns when a caller that is refused during a pause should return, given what is
// left of the pause. A random part keeps the callers from returning all at its end.
func SpreadReturn(left timekeeper.Millis) timekeeper.Millis {
	return left + rand.N(min(max(left/2, minReturnSpread), maxReturnSpread))
}
