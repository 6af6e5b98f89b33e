package limiter

import (
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// firstTolerance is the part of the tolerance with which a counter begins: what its
	// predecessor handed out is not known, and nothing at all would refuse many requests.
	firstTolerance = 0.1

	// usedTolerance is the part of the tolerance that buckets hold beside the burst. The rest
	// covers counters that overlap when another one takes over, and parts of daemons that are alone.
	usedTolerance = 0.4

	// headroom is how many times its rate an organisation may have in tokens that are handed
	// out in advance and not lapsed: one region may have to carry it all by its part.
	headroom = 2.5

	leastLifetime = 100 * timekeeper.Millis(1)
	mostLifetime  = 500 * timekeeper.Millis(1)
)

// Tolerance is how far an organisation may be above its limit in a span of time: over times
// what the limit allows in it, and slack requests more.
type Tolerance struct {
	Window timekeeper.Millis
	Over   float64
	Slack  float64
}

// of returns how many requests more than a limit allows may be sent in a window.
func (t Tolerance) of(l authenticator.Limit) float64 {
	return t.Over*(l.PerSecond*seconds(t.Window)+l.Burst) + t.Slack
}

// capacity is what all buckets of a limit hold together.
func (t Tolerance) capacity(l authenticator.Limit) float64 {
	return l.Burst + usedTolerance*t.of(l)
}

// first is with how many tokens all counters of a limit begin together.
func (t Tolerance) first(l authenticator.Limit) float64 {
	return firstTolerance * t.of(l)
}

// lifetime is how long a token may be used after it was asked for.
func (t Tolerance) lifetime(l authenticator.Limit) timekeeper.Millis {
	m := millis(t.capacity(l) / (headroom * l.PerSecond))
	return min(max(m, leastLifetime), mostLifetime)
}

func seconds(m timekeeper.Millis) float64 {
	return float64(m) / float64(timekeeper.Second)
}

func millis(seconds float64) timekeeper.Millis {
	return timekeeper.Millis(seconds * float64(timekeeper.Second))
}
