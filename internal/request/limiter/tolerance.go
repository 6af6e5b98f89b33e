package limiter

import (
	"github.com/gullvale/gullvale/internal/version/authenticator"
	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// initialShare is the share of the tolerance with which an allocator begins. What its
	// predecessor handed out is not known, and beginning with nothing would refuse many
	// requests.
	initialShare = 0.1

	// bucketShare is the share of the tolerance that buckets hold in addition to the burst.
	// The rest covers allocators that overlap during a takeover, and the shares of isolated
	// daemons.
	bucketShare = 0.4

	// headroomFactor determines the lifetime of tokens: the capacity of all buckets covers the
	// tokens that are issued within one lifetime at this multiple of the organisation's rate.
	// A single region, with its share of the capacity, may have to serve all of its requests.
	headroomFactor = 2.5

	minLifetime = 100 * timekeeper.Millis(1)
	maxLifetime = 500 * timekeeper.Millis(1)
)

// Tolerance is how far an organisation may exceed its limit within a window: by a multiple of
// what the limit allows in it, plus a number of requests.
type Tolerance struct {
	Window timekeeper.Millis
	Over   float64
	Slack  float64
}

// excess returns how many requests more than the limit may be sent in a window.
func (t Tolerance) excess(l authenticator.Limit) float64 {
	return t.Over*(l.PerSecond*seconds(t.Window)+l.Burst) + t.Slack
}

// capacity returns the total capacity of all buckets of a limit.
func (t Tolerance) capacity(l authenticator.Limit) float64 {
	return l.Burst + bucketShare*t.excess(l)
}

// initialTokens returns the total number of tokens with which all allocators of a limit begin.
func (t Tolerance) initialTokens(l authenticator.Limit) float64 {
	return initialShare * t.excess(l)
}

// lifetime returns how long a token may be used after it was requested.
func (t Tolerance) lifetime(l authenticator.Limit) timekeeper.Millis {
	m := toMillis(t.capacity(l) / (headroomFactor * l.PerSecond))
	return min(max(m, minLifetime), maxLifetime)
}

func seconds(m timekeeper.Millis) float64 {
	return float64(m) / float64(timekeeper.Second)
}

func toMillis(seconds float64) timekeeper.Millis {
	return timekeeper.Millis(seconds * float64(timekeeper.Second))
}
