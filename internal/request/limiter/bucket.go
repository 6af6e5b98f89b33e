package limiter

import (
	"math"

	"github.com/gullvale/gullvale/pkg/timekeeper"
)

const (
	// issueSpans is the number of time spans in which issued tokens are counted.
	issueSpans = 8

	// demandDecayTime is the time constant of a demand rate.
	demandDecayTime = timekeeper.Second

	// minCapacity lets a bucket hold one token however small its share is.
	minCapacity = 1.0
)

type (
	// bucketParams are the refill rate in tokens a second, the capacity in tokens, and how
	// long a token that is issued in advance may still be used.
	bucketParams struct {
		rate     float64
		capacity float64
		lifetime timekeeper.Millis
	}

	// bucket is a region's token bucket of one organisation.
	bucket struct {
		level     float64
		updatedAt timekeeper.Millis
		issued    issueHistory
		// borrowedUntil is the time until which the level may exceed the capacity.
		borrowedUntil timekeeper.Millis
	}

	// issueHistory counts issued tokens by time span.
	issueHistory [issueSpans]issueSpan

	issueSpan struct {
		number int64
		tokens float64
	}

	// demand is an exponentially decaying rate of requests.
	demand struct {
		level     float64
		updatedAt timekeeper.Millis
	}
)

// refill adds the tokens accrued since the last call. Tokens that were issued in advance and
// may still be used count as if they were in the bucket.
func (b *bucket) refill(now timekeeper.Millis, t bucketParams) {
	level := b.level + t.rate*seconds(max(now-b.updatedAt, 0))
	b.updatedAt = now
	room := max(max(t.capacity, minCapacity)-b.issued.within(now, t.lifetime), 0)
	switch {
	case level <= room:
		b.level = level
	case b.level > room && now < b.borrowedUntil:
		// Borrowed tokens stay for the requests that wait for them.
	default:
		b.level = room
	}
}

// issue takes at most n whole tokens and returns how many. Those beyond need are issued in
// advance and stay in the issue history for their lifetime.
func (b *bucket) issue(now timekeeper.Millis, n, need int, t bucketParams) int {
	n = min(n, b.available())
	b.level -= float64(n)
	if n > need {
		b.issued.record(now, n-need, t.lifetime)
	}
	return n
}

// borrow adds tokens of another bucket.
func (b *bucket) borrow(now timekeeper.Millis, n int, t bucketParams) {
	b.level += float64(n)
	b.borrowedUntil = now + t.lifetime
}

// epsilon keeps sums of fractions from falling just below a whole token.
const epsilon = 1e-9

func (b *bucket) available() int {
	return max(int(b.level+epsilon), 0)
}

func (s *issueHistory) record(now timekeeper.Millis, n int, lifetime timekeeper.Millis) {
	number := spanNumber(now, lifetime)
	p := &s[number%issueSpans]
	if p.number != number {
		*p = issueSpan{number: number}
	}
	p.tokens += float64(n)
}

// within returns the tokens issued within the lifetime. All but the current span are complete.
func (s *issueHistory) within(now, lifetime timekeeper.Millis) float64 {
	sum, number := 0.0, spanNumber(now, lifetime)
	for _, p := range s {
		if p.number > number-issueSpans {
			sum += p.tokens
		}
	}
	return sum
}

func spanNumber(now, lifetime timekeeper.Millis) int64 {
	return int64(now / max(lifetime/(issueSpans-1), 1))
}

// record counts n requests.
func (d *demand) record(now timekeeper.Millis, n int) {
	d.level = d.rate(now) + float64(n)
	d.updatedAt = now
}

// rate returns the requests per second.
func (d *demand) rate(now timekeeper.Millis) float64 {
	return d.level * math.Exp(-seconds(max(now-d.updatedAt, 0))/seconds(demandDecayTime))
}
