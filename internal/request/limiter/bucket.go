package limiter

import (
	"math"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// spans is how finely the tokens that were handed out lapse.
	spans = 8

	// demandTime is the time over which requests count as demand.
	demandTime = timekeeper.Second

	// leastCapacity lets a bucket hold one token however small its part is.
	leastCapacity = 1.0
)

type (
	// terms are what a bucket is filled by now: tokens a second, the most that it holds, and
	// how long a token that was handed out counts as held.
	terms struct {
		rate     float64
		capacity float64
		lifetime timekeeper.Millis
	}

	// bucket is a region's tokens of one organisation.
	bucket struct {
		level  float64
		at     timekeeper.Millis
		issued issues
		// borrowedUntil is until when the level may be above the capacity.
		borrowedUntil timekeeper.Millis
	}

	// issues counts tokens handed out, in spans of time.
	issues [spans]issue

	issue struct {
		number int64
		tokens float64
	}

	// demand is a rate of requests that follows what comes.
	demand struct {
		level float64
		at    timekeeper.Millis
	}
)

// refill adds what came in since the last time. Tokens that were handed out in advance and
// may still be used count as if they were in the bucket.
func (b *bucket) refill(now timekeeper.Millis, t terms) {
	grown := b.level + t.rate*seconds(max(now-b.at, 0))
	b.at = now
	room := max(max(t.capacity, leastCapacity)-b.issued.within(now, t.lifetime), 0)
	switch {
	case grown <= room:
		b.level = grown
	case b.level > room && now < b.borrowedUntil:
		// Borrowed tokens stay for those who wait for them.
	default:
		b.level = room
	}
}

// issue hands out at most n whole tokens. Those beyond need are not used at once.
func (b *bucket) issue(now timekeeper.Millis, n, need int, t terms) int {
	n = min(n, b.whole())
	b.level -= float64(n)
	if n > need {
		b.issued.note(now, n-need, t.lifetime)
	}
	return n
}

// borrow takes over tokens of another bucket.
func (b *bucket) borrow(now timekeeper.Millis, n int, t terms) {
	b.level += float64(n)
	b.borrowedUntil = now + t.lifetime
}

// rounding keeps sums of fractions from falling just below a whole token.
const rounding = 1e-9

func (b *bucket) whole() int {
	return max(int(b.level+rounding), 0)
}

func (s *issues) note(now timekeeper.Millis, n int, lifetime timekeeper.Millis) {
	number := spanOf(now, lifetime)
	p := &s[number%spans]
	if p.number != number {
		*p = issue{number: number}
	}
	p.tokens += float64(n)
}

// within returns what was handed out within the lifetime: all spans but one are complete.
func (s *issues) within(now, lifetime timekeeper.Millis) float64 {
	sum, number := 0.0, spanOf(now, lifetime)
	for _, p := range s {
		if p.number > number-spans {
			sum += p.tokens
		}
	}
	return sum
}

func spanOf(now, lifetime timekeeper.Millis) int64 {
	return int64(now / max(lifetime/(spans-1), 1))
}

// note counts n requests.
func (d *demand) note(now timekeeper.Millis, n int) {
	d.level = d.rate(now) + float64(n)
	d.at = now
}

// rate returns the requests a second.
func (d *demand) rate(now timekeeper.Millis) float64 {
	return d.level * math.Exp(-seconds(max(now-d.at, 0))/seconds(demandTime))
}
